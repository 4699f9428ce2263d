package router

import (
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/placement"
)

// TestListedLeaving: the list's mark holds over suspicion and death until the
// list takes it back, and ends with a new life of the engine.
func TestListedLeaving(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const address = "127.0.0.1:1" // of all six
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
		"marked":                 {[]func(*Router){listed}, placement.Leaving},
		"taken back":             {[]func(*Router){listed, func(r *Router) { r.SetListedLeaving(nil) }}, placement.Live},
		"suspect all the same":   {[]func(*Router){listed, state(placement.Suspect)}, placement.Leaving},
		"suspect before":         {[]func(*Router){state(placement.Suspect), listed}, placement.Leaving},
		"dead":                   {[]func(*Router){listed, state(placement.Dead), listed}, placement.Dead},
		"back, the same life":    {[]func(*Router){report("1", now), listed, state(placement.Dead), state(placement.Live)}, placement.Leaving},
		"a new life":             {[]func(*Router){report("1", now), listed, report("2", now.Add(time.Second)), listed}, placement.Live},
		"marked in its new life": {[]func(*Router){report("2", now), listed, report("2", now.Add(time.Second)), listed}, placement.Leaving},
	} {
		r := routerOfSix(now)
		for _, step := range c.steps {
			step(r)
		}
		if got, _ := r.State("e1"); got != c.want {
			t.Errorf("%s: %v, not %v", name, got, c.want)
		}
	}
}
