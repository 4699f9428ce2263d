package front

import (
	"context"
	"errors"
	"sync"

	"github.com/buckthorndock/buckthorndock/internal/core/placement"
	"github.com/buckthorndock/buckthorndock/internal/upstream"
)

// recordFaults updates the state of an attempt's upstreams after its end and returns
// the upstreams that the next attempt must avoid. An error that the receiver of a
// gang reports may be about another member, so each member is probed on a new
// connection.
func (g *generation) recordFaults(ctx context.Context, t *target, res streamEnd) []string {
	if res.deadlinePassed {
		return nil
	}
	if len(t.gang) < 2 || !errors.Is(res.err, errEngine) {
		g.s.updateUpstreamState(t.name(), res)
		g.s.recordBackOff(t.name(), res.err)
		return []string{t.name()}
	}
	faults := make([]error, len(t.gang))
	var probes sync.WaitGroup
	for i, m := range t.gang {
		probes.Go(func() { _, faults[i] = g.s.opts.Client.Probe(ctx, m.Address, g.job.req.ID, g.attempt) })
	}
	probes.Wait()
	var faulty []string
	for i, m := range t.gang {
		if faults[i] != nil && ctx.Err() == nil {
			faulty = append(faulty, m.Name)
			g.s.opts.Router.SetState(m.Name, stateAfterProbe(faults[i]))
		}
	}
	return faulty
}

// stateAfterProbe returns the state of a gang member whose probe failed: dead when
// the probe could not be sent, suspect when it got no good answer.
func stateAfterProbe(err error) placement.State {
	if upstream.IsNotStarted(err) {
		return placement.Dead
	}
	return placement.Suspect
}
