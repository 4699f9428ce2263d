package suspects

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

// Node is the membership interface that Share needs.
type Node interface {
	Members() []membership.Member
	Sections(name string) []membership.SectionView
	PublishWide(name string, data []byte) error
	// SectionsChanged returns a channel that signals new sections of other daemons.
	SectionsChanged() <-chan struct{}
}

const (
	// minShareInterval is the minimum time between two exchanges of evidence, so that changes that
	// come close together are sent together.
	minShareInterval = 100 * time.Millisecond
	// maxShareInterval is the maximum, after which the holds of dead daemons are dropped.
	maxShareInterval = 2 * time.Second
)

// sharing is the state of one daemon's exchange of evidence.
type sharing struct {
	tracker          *Tracker
	node             Node
	log              *logrus.Entry
	mergedVersions   map[hostIncarnation]uint64 // section versions merged
	publishedVersion uint64
}

// hostIncarnation identifies one incarnation of a daemon.
type hostIncarnation struct {
	host        string
	incarnation uint64
}

// Share exchanges evidence about requests that crash upstreams with all daemons of all domains,
// because the same request may be sent to any of them. It returns nil when the context ends.
func (t *Tracker) Share(ctx context.Context, node Node) error {
	s := &sharing{tracker: t, node: node, log: t.log, mergedVersions: map[hostIncarnation]uint64{}}
	ticker := time.NewTicker(maxShareInterval)
	defer ticker.Stop()
	for wait.For(ctx, minShareInterval) {
		s.exchange()
		select {
		case <-t.evidenceChanged:
		case <-node.SectionsChanged():
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	return nil
}

func (s *sharing) exchange() {
	s.mergePeers()
	if s.tracker.Version() != s.publishedVersion {
		s.publish()
	}
	for _, m := range s.node.Members() {
		if m.State == membership.Dead {
			s.tracker.ForgetHost(m.Host)
		}
	}
}

func (s *sharing) mergePeers() {
	for _, v := range s.node.Sections(Section) {
		from := hostIncarnation{v.Host, v.Incarnation}
		if v.Host == s.tracker.host || s.mergedVersions[from] == v.Version {
			continue
		}
		s.mergedVersions[from] = v.Version
		if err := s.tracker.Merge(v.Data, time.Now()); err != nil {
			s.log.WithError(err).WithField("from", v.Host).Warn("evidence_undecodable")
		}
	}
}

func (s *sharing) publish() {
	data, version, err := s.tracker.Digest(time.Now())
	if err == nil {
		err = s.node.PublishWide(Section, data)
	}
	if err != nil {
		s.log.WithError(err).Error("evidence_not_published")
		return
	}
	s.publishedVersion = version
}
