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
	// SectionsChanged tells that some daemon has published something.
	SectionsChanged() <-chan struct{}
}

const (
	// shareEvery is the least time between two exchanges of evidence, so that what comes
	// together goes together.
	shareEvery = 100 * time.Millisecond
	// lookEvery is the most: daemons that have died are forgotten.
	lookEvery = 2 * time.Second
)

// sharing is the state of one daemon's exchange of evidence.
type sharing struct {
	tracker *Tracker
	node    Node
	log     *logrus.Entry
	seen    map[life]uint64 // versions taken in
	told    uint64
}

// life names one life of a daemon.
type life struct {
	host        string
	incarnation uint64
}

// Share spreads the evidence about requests that crash upstreams to all daemons of all
// domains, for the same request may be sent to any of them, until the context ends.
func (t *Tracker) Share(ctx context.Context, node Node) error {
	s := &sharing{tracker: t, node: node, log: t.log, seen: map[life]uint64{}}
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for wait.For(ctx, shareEvery) {
		s.exchange()
		select {
		case <-t.changed:
		case <-node.SectionsChanged():
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	return nil
}

func (s *sharing) exchange() {
	s.hear()
	if s.tracker.Version() != s.told {
		s.tell()
	}
	for _, m := range s.node.Members() {
		if m.State == membership.Dead {
			s.tracker.ForgetHost(m.Host)
		}
	}
}

func (s *sharing) hear() {
	for _, v := range s.node.Sections(Section) {
		from := life{v.Host, v.Incarnation}
		if v.Host == s.tracker.host || s.seen[from] == v.Version {
			continue
		}
		s.seen[from] = v.Version
		if err := s.tracker.Merge(v.Data, time.Now()); err != nil {
			s.log.WithError(err).WithField("from", v.Host).Warn("evidence_undecodable")
		}
	}
}

func (s *sharing) tell() {
	data, version, err := s.tracker.Digest(time.Now())
	if err == nil {
		err = s.node.PublishWide(Section, data)
	}
	if err != nil {
		s.log.WithError(err).Error("evidence_not_published")
		return
	}
	s.told = version
}
