package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

// ServiceRequest is one call of a plain service.
type ServiceRequest struct {
	Pool         string
	Domain       string   // failure domain of the front
	Exclude      []string // upstreams that earlier attempts have ruled out
	Spill        string   // as in Request
	SpillDomains []string // as in Request
}

// PlaceService chooses a server of a plain service: of two random live servers in the
// front's own domain, the one with fewer of the front's own calls in flight. The overload
// of a service is unknown here, so any rule other than never spills only when no server
// is live. The verdict is Placed or NoEngine. The error is ErrUnknownPool.
func PlaceService(v *View, r ServiceRequest, _ time.Time, rng *rand.Rand) (Decision, error) {
	p := v.pools[r.Pool]
	if p == nil {
		return Decision{}, merry.Wrap(ErrUnknownPool, merry.AppendMessage(r.Pool))
	}
	t := serviceTask{view: v, req: &r, rng: rng}
	d := t.placeIn(p.groups[r.Domain], Live)
	if d.Verdict == Placed {
		return d, nil
	}
	if reason, ok := spillReason(r.Spill, &d); ok {
		if s, ok := t.spill(p, reason); ok {
			return s, nil
		}
	}
	suspects := t.placeIn(p.groups[r.Domain], Suspect)
	if suspects.Verdict == Placed {
		suspects.Reason = ReasonSuspectOnly
		return suspects, nil
	}
	return d, nil
}

type serviceTask struct {
	view *View
	req  *ServiceRequest
	rng  *rand.Rand
}

// sampledServers is the number of servers compared: two keep the longest queue short
// ("power of two choices").
const sampledServers = 2

func (t *serviceTask) placeIn(g *group, state State) Decision {
	d := Decision{Verdict: NoEngine, Reason: ReasonNoneLive}
	if g == nil {
		return d
	}
	eligible := t.view.eligible[:0]
	for _, e := range g.engines {
		if e.state == state && !slices.Contains(t.req.Exclude, e.spec.Name) {
			eligible = append(eligible, e)
		}
	}
	t.view.eligible = eligible
	if len(eligible) == 0 {
		return d
	}
	draw := task{rng: t.rng}
	top := newTop(t.rng)
	for _, e := range draw.sample(eligible, sampledServers) {
		top.add(e, Estimate{}, int64(e.inFlight))
	}
	d.Verdict = Placed
	d.Reason = ReasonFewerInFlight
	top.fill(&d, ReasonMoreRequests)
	if len(eligible) == 1 {
		d.Reason = ReasonOnly
	}
	return d
}

func (t *serviceTask) spill(p *pool, reason Reason) (Decision, bool) {
	for _, domain := range t.req.SpillDomains {
		if domain == t.req.Domain {
			continue
		}
		d := t.placeIn(p.groups[domain], Live)
		if d.Verdict == Placed {
			d.Reason = reason
			d.Spilled = true
			return d, true
		}
	}
	return Decision{}, false
}
