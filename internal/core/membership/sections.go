package membership

import (
	"errors"
	"slices"
	"time"
)

// MaxSectionBytes bounds the data of one section.
const MaxSectionBytes = 16 << 10

// ErrSectionTooLarge is returned by Publish for data above MaxSectionBytes.
var ErrSectionTooLarge = errors.New("section too large")

// Publish sets a section of the own host. It spreads to the own domain, and to
// the others too when it is wide. Data must not be changed afterwards.
func (m *Members) Publish(now time.Time, name string, data []byte, wide bool) error {
	if len(data) > MaxSectionBytes {
		return ErrSectionTooLarge
	}
	m.advance(now)
	m.self.version++
	m.self.sections[name] = Section{Name: name, Version: m.self.version, Wide: wide, Data: data}
	m.self.publishedAt[name] = now
	m.published[m.self] = append(m.published[m.self], m.self.sections[name])
	m.publishedCount++
	return nil
}

// SectionsVersion returns a number that changes when some host's section is new here.
func (m *Members) SectionsVersion() int { return m.publishedCount }

// Sections returns a section of every host that has it and is not dead, the
// own one included, ordered by host.
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

// newer returns the sections above a version that may go to a domain, oldest
// version first.
func (m *Members) newer(e *entry, have uint64, domain string) []Section {
	var news []Section
	for _, s := range e.sections {
		if s.Version <= have || !s.Wide && e.id.Domain != domain {
			continue
		}
		s.Age = toAge(m.clock.Sub(e.publishedAt[s.Name]))
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

// takeSections takes sections in and returns those that are newer than what is known.
func (e *entry) takeSections(sections []Section, now time.Time) (taken []Section) {
	for _, s := range sections {
		if len(s.Data) > MaxSectionBytes || s.Version <= e.sections[s.Name].Version {
			continue
		}
		e.publishedAt[s.Name] = now.Add(-fromAge(s.Age))
		taken = append(taken, s)
		s.Age = 0
		e.sections[s.Name] = s
	}
	return taken
}
