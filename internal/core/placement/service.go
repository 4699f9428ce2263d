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
	Spill        string   // as in Ask
	SpillDomains []string // as in Ask
}

// PlaceService chooses a server of a plain service: the one with fewer own calls
// in flight among two live ones drawn in the own domain. Overload of a service is
// not known here, so that any rule but never spills only when none is live.
// The verdict is Placed or NoEngine.
func PlaceService(v *View, a ServiceRequest, _ time.Time, rng *rand.Rand) (Decision, error) {
	p := v.pools[a.Pool]
	if p == nil {
		return Decision{}, merry.Wrap(ErrUnknownPool, merry.AppendMessage(a.Pool))
	}
	t := serviceTask{view: v, ask: &a, rng: rng}
	d := t.placeIn(p.groups[a.Domain], Live)
	if d.Verdict == Placed {
		return d, nil
	}
	if reason, ok := spillReason(a.Spill, &d); ok {
		if s, ok := t.spill(p, reason); ok {
			return s, nil
		}
	}
	suspects := t.placeIn(p.groups[a.Domain], Suspect)
	if suspects.Verdict == Placed {
		suspects.Reason = ReasonSuspectOnly
		return suspects, nil
	}
	return d, nil
}

type serviceTask struct {
	view *View
	ask  *ServiceRequest
	rng  *rand.Rand
}

// servicesDrawn is enough to keep the longest queue short, by the power of two
// choices.
const servicesDrawn = 2

func (t *serviceTask) placeIn(g *group, state State) Decision {
	d := Decision{Verdict: NoEngine, Reason: ReasonNoneLive}
	if g == nil {
		return d
	}
	able := t.view.able[:0]
	for _, e := range g.engines {
		if e.state == state && !slices.Contains(t.ask.Exclude, e.spec.Name) {
			able = append(able, e)
		}
	}
	t.view.able = able
	if len(able) == 0 {
		return d
	}
	draw := task{rng: t.rng}
	top := newTop(t.rng)
	for _, e := range draw.sample(able, servicesDrawn) {
		top.add(e, Estimate{}, int64(e.inFlight))
	}
	d.Verdict = Placed
	d.Reason = ReasonFewerInFlight
	top.fill(&d, ReasonMoreRequests)
	if len(able) == 1 {
		d.Reason = ReasonOnly
	}
	return d
}

func (t *serviceTask) spill(p *pool, reason Reason) (Decision, bool) {
	for _, domain := range t.ask.SpillDomains {
		if domain == t.ask.Domain {
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
