package router

import (
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/placement"
)

// TestListedLeaving checks that the list's mark outlasts the states suspect and dead until
// the list drops it, and that it ends with a new incarnation of the engine.
func TestListedLeaving(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const address = "127.0.0.1:1" // shared by all six engines
	listed := func(r *Router) { r.SetListedLeaving(map[string]bool{address: true}) }
	report := func(incarnation string, taken time.Time) func(*Router) {
		return func(r *Router) {
			r.ApplyReport("e1", placement.Report{Incarnation: incarnation, Seq: 1, Taken: taken, MemoryTotal: 1})
		}
	}
	state := func(s placement.State) func(*Router) { return func(r *Router) { r.SetState("e1", s) } }
	for name, c := range map[string]struct {
		steps []func(*Router)
		want  placement.State
	}{
		"marked":                        {[]func(*Router){listed}, placement.Leaving},
		"mark dropped":                  {[]func(*Router){listed, func(r *Router) { r.SetListedLeaving(nil) }}, placement.Live},
		"suspect after the mark":        {[]func(*Router){listed, state(placement.Suspect)}, placement.Leaving},
		"suspect before":                {[]func(*Router){state(placement.Suspect), listed}, placement.Leaving},
		"dead":                          {[]func(*Router){listed, state(placement.Dead), listed}, placement.Dead},
		"back, same incarnation":        {[]func(*Router){report("1", now), listed, state(placement.Dead), state(placement.Live)}, placement.Leaving},
		"new incarnation":               {[]func(*Router){report("1", now), listed, report("2", now.Add(time.Second)), listed}, placement.Live},
		"marked in its new incarnation": {[]func(*Router){report("2", now), listed, report("2", now.Add(time.Second)), listed}, placement.Leaving},
	} {
		r := newSixEngineRouter(now)
		for _, step := range c.steps {
			step(r)
		}
		if got, _ := r.State("e1"); got != c.want {
			t.Errorf("%s: state %v, want %v", name, got, c.want)
		}
	}
}
