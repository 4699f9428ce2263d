package placement

import (
	"math"
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
	// Factor returns how much longer a server takes than the usual one; nil: all take as long.
	Factor func(server string) float64
}

// PlaceService chooses a server of a plain service: of two random live servers in the
// front's own domain, the one that ends a new call first, by the front's own calls in flight
// and the factors of the servers. The overload
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
		top.add(e, Estimate{}, t.score(e))
	}
	d.Verdict = Placed
	d.Reason = ReasonFewerInFlight
	top.fill(&d, ReasonMoreRequests)
	if len(eligible) == 1 {
		d.Reason = ReasonOnly
	}
	return d
}

// scoreUnit is the score of a call, so that scores are precise to a thousandth of one.
const scoreUnit = 1000

// score is the number of the front's own calls that a server has with one more, times its factor.
func (t *serviceTask) score(e *Engine) int64 {
	calls := int64(e.inFlight) + 1
	if t.req.Factor == nil {
		return scoreUnit * calls
	}
	return int64(math.Round(scoreUnit * float64(calls) * t.req.Factor(e.spec.Name)))
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
