package daemon

import (
	"context"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/suspects"
)

// suspectsEvery is the time between two looks for new evidence.
const suspectsEvery = 100 * time.Millisecond

// shareSuspects spreads the evidence about requests that crash engines to all
// domains, for the same request may be sent to any of them.
func (p *process) shareSuspects(ctx context.Context) error {
	seen := map[sectionKey]uint64{}
	ticker := time.NewTicker(suspectsEvery)
	defer ticker.Stop()
	var told uint64
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		p.hearSuspects(seen)
		if p.suspects.Version() != told {
			told = p.tellSuspects(told)
		}
		for _, m := range p.node.Members() {
			if m.State == membership.Dead {
				p.suspects.Forget(m.Host)
			}
		}
	}
}

func (p *process) hearSuspects(seen map[sectionKey]uint64) {
	for _, v := range p.node.Sections(suspects.Section) {
		key := sectionKey{suspects.Section, v.Host, v.Incarnation}
		if v.Host == p.cfg.Host || seen[key] == v.Version {
			continue
		}
		seen[key] = v.Version
		if err := p.suspects.Merge(v.Data, time.Now()); err != nil {
			p.log.WithError(err).WithField("from", v.Host).Warn("evidence_undecodable")
		}
	}
}

// tellSuspects publishes the evidence and returns the version published.
func (p *process) tellSuspects(told uint64) uint64 {
	data, version, err := p.suspects.Digest(time.Now())
	if err == nil {
		err = p.node.PublishWide(suspects.Section, data)
	}
	if err != nil {
		p.log.WithError(err).Error("evidence_not_published")
		return told
	}
	return version
}
