package front

import (
	"context"
	"errors"
	"sync"

	"github.com/buckthorndock/buckthorndock/internal/core/placement"
	"github.com/buckthorndock/buckthorndock/internal/upstream"
)

// recordFaults notes what an attempt's end says of its upstreams and returns those that
// the next attempt is to avoid. When the receiver of a gang reports an error, it
// may be about another member: each is probed on a new connection.
func (g *generation) recordFaults(ctx context.Context, t *target, res streamEnd) []string {
	if res.deadlinePassed {
		return nil
	}
	if len(t.gang) < 2 || !errors.Is(res.err, errEngine) {
		g.s.updateUpstreamState(t.name(), res.end, res.reachable)
		g.s.recordBackOff(t.name(), res.err)
		return []string{t.name()}
	}
	faults := make([]error, len(t.gang))
	var probes sync.WaitGroup
	for i, m := range t.gang {
		probes.Go(func() { _, faults[i] = g.s.opts.Client.Probe(ctx, m.Address, g.job.req.ID, g.attempt) })
	}
	probes.Wait()
	var blamed []string
	for i, m := range t.gang {
		if faults[i] != nil && ctx.Err() == nil {
			blamed = append(blamed, m.Name)
			g.s.opts.Router.SetState(m.Name, stateAfterProbe(faults[i]))
		}
	}
	return blamed
}

// stateAfterProbe tells a member that is gone from one that is silent.
func stateAfterProbe(err error) placement.State {
	if upstream.IsNotStarted(err) {
		return placement.Dead
	}
	return placement.Suspect
}
