package suspects

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

// Node is what sharing needs of the membership.
type Node interface {
	Members() []membership.Member
	Sections(name string) []membership.SectionView
	PublishWide(name string, data []byte) error
	// News tells that some daemon has published something.
	News() <-chan struct{}
}

const (
	// minShareInterval is the least time between two exchanges of evidence, so that what comes
	// together goes together.
	minShareInterval = 100 * time.Millisecond
	// maxShareInterval is the most: daemons that have died are forgotten.
	maxShareInterval = 2 * time.Second
)

// sharing is the state of one daemon's exchange of evidence.
type sharing struct {
	tracker          *Tracker
	node             Node
	log              *logrus.Entry
	mergedVersions   map[hostIncarnation]uint64 // versions taken in
	publishedVersion uint64
}

// hostIncarnation names one hostIncarnation of a daemon.
type hostIncarnation struct {
	host        string
	incarnation uint64
}

// Share spreads the evidence about requests that crash upstreams to all daemons of all
// domains, for the same request may be sent to any of them, until the context ends.
func (t *Tracker) Share(ctx context.Context, node Node) error {
	s := &sharing{tracker: t, node: node, log: t.log, mergedVersions: map[hostIncarnation]uint64{}}
	ticker := time.NewTicker(maxShareInterval)
	defer ticker.Stop()
	for wait.For(ctx, minShareInterval) {
		s.exchange()
		select {
		case <-t.evidenceChanged:
		case <-node.News():
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
