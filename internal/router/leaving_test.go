package router

import (
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/placement"
)

// TestLeavingOutlivesDeath: an upstream that died and is back is as much leaving
// as before, until the list says otherwise.
func TestLeavingOutlivesDeath(t *testing.T) {
	r := routerOfSix(time.Unix(1_000_000, 0))
	want := func(step string, s placement.State) {
		t.Helper()
		if got, _ := r.State("e1"); got != s {
			t.Errorf("%s: %v, not %v", step, got, s)
		}
	}
	r.SetListed([]string{"e1"})
	want("listed", placement.Leaving)
	r.SetState("e1", placement.Live)
	want("live", placement.Leaving)
	r.SetState("e1", placement.Dead)
	want("dead", placement.Dead)
	r.SetListed([]string{"e1"})
	want("listed while dead", placement.Dead)
	r.SetState("e1", placement.Live)
	want("back", placement.Leaving)
	r.SetListed(nil)
	want("no longer listed", placement.Live)
	if got, _ := r.State("e2"); got != placement.Live {
		t.Errorf("e2: %v", got)
	}
}
