package membership

import (
	"errors"
	"slices"
	"time"
)

// MaxSectionBytes limits the data of one section.
const MaxSectionBytes = 16 << 10

// ErrSectionTooLarge is returned by Publish for data above MaxSectionBytes.
var ErrSectionTooLarge = errors.New("section too large")

// Publish sets a section of this host. It spreads within this domain, and to
// all other domains when it is wide. Data must not be modified afterwards. It
// returns ErrSectionTooLarge for data above MaxSectionBytes.
func (m *Members) Publish(now time.Time, name string, data []byte, wide bool) error {
	if len(data) > MaxSectionBytes {
		return ErrSectionTooLarge
	}
	m.advance(now)
	m.self.version++
	m.self.sections[name] = Section{Name: name, Version: m.self.version, Wide: wide, Data: data}
	m.self.publishedAt[name] = now
	m.pendingSections[m.self] = append(m.pendingSections[m.self], m.self.sections[name])
	m.sectionsVersion++
	return nil
}

// SectionsVersion returns a counter that changes when a new section of any host is known here.
func (m *Members) SectionsVersion() int { return m.sectionsVersion }

// Sections returns the named section of every host that publishes it and is not
// dead, this host included, ordered by host.
func (m *Members) Sections(now time.Time, name string) []SectionView {
	m.advance(now)
	var views []SectionView
	for _, e := range m.order {
		s, ok := e.sections[name]
		if !ok || m.state(e) == Dead {
			continue
		}
		views = append(views, SectionView{
			Host:        e.id.Host,
			Domain:      e.id.Domain,
			Incarnation: e.id.Incarnation,
			Version:     s.Version,
			PublishedAt: e.publishedAt[name],
			Data:        s.Data,
		})
	}
	return views
}

// newerSections returns the sections above a version that may be sent to a
// domain, lowest version first.
func (m *Members) newerSections(e *entry, have uint64, domain string) []Section {
	var news []Section
	for _, s := range e.sections {
		if s.Version <= have || !s.Wide && e.id.Domain != domain {
			continue
		}
		s.Age = encodeAge(m.clock.Sub(e.publishedAt[s.Name]))
		news = append(news, s)
	}
	slices.SortFunc(news, func(a, b Section) int {
		if a.Version < b.Version {
			return -1
		}
		return 1
	})
	return news
}

// applySections stores the sections that are newer than the known ones and returns them.
func (e *entry) applySections(sections []Section, now time.Time) (taken []Section) {
	for _, s := range sections {
		if len(s.Data) > MaxSectionBytes || s.Version <= e.sections[s.Name].Version {
			continue
		}
		e.publishedAt[s.Name] = now.Add(-decodeAge(s.Age))
		taken = append(taken, s)
		s.Age = 0
		e.sections[s.Name] = s
	}
	return taken
}
