package router

import (
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/placement"
)

const testPool = "engines"

func newSixEngineRouter(now time.Time) *Router {
	r := New(Options{Domain: "hal-a", Now: func() time.Time { return now }, Seed: 1})
	var specs []placement.Spec
	for _, name := range []string{"e1", "e2", "e3", "e4", "e5", "e6"} {
		specs = append(specs, placement.Spec{Name: name, Address: "127.0.0.1:1", Domain: "hal-a"})
	}
	r.view.SetPool(testPool, specs)
	r.pools[testPool] = true
	return r
}

// offer places a prompt of the given length and records the placement.
func offer(t *testing.T, r *Router, request string, tokens int) {
	t.Helper()
	d, err := r.Place(placement.Request{Pool: testPool, Tokens: tokens, MaxTokens: 1, LongFrom: 32_000})
	if err != nil || d.Verdict != placement.Placed {
		t.Fatalf("%s: %v, %v", request, d.Verdict, err)
	}
	r.Placed(placement.Placement{ID: placement.ID{Request: request, Attempt: 1}, Upstream: d.Chosen.Name, Tokens: tokens})
}

// TestFrontsDivideEnginesAlike checks that a front that is offered only short prompts, and
// learns of the long ones of another front, reserves as many engines for long prompts as
// that one does.
func TestFrontsDivideEnginesAlike(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	short, mixed := newSixEngineRouter(now), newSixEngineRouter(now)
	for _, r := range []*Router{short, mixed} {
		for _, name := range []string{"e1", "e2", "e3", "e4", "e5", "e6"} {
			r.ApplyReport(name, placement.Report{Incarnation: "1", Seq: 1, Taken: now, PrefillRate: 1e6, MemoryTotal: 1e6})
		}
	}
	offer(t, short, "a", 2000)
	offer(t, mixed, "b", 400_000)
	offer(t, mixed, "c", 2000)
	if w := mixed.OfferedWork()[testPool]; w.Total() != 402_000 {
		t.Fatalf("offered work is %v", w)
	}
	mine, theirs := short.OfferedWork(), mixed.OfferedWork()
	short.ApplyPeerWork("mixed", theirs)
	short.ApplyPeerWork("mixed", map[string]placement.Work{"unknown": {1}})
	mixed.ApplyPeerWork("short", mine)
	now = now.Add(time.Minute)
	for i, r := range []*Router{short, mixed} {
		r.opts.Now = func() time.Time { return now.Add(-50 * time.Second) }
		offer(t, r, "last", 2000)
		long, live := r.view.LongPromptEngines(testPool, "hal-a")
		if long < 4 || live != 6 {
			t.Errorf("front %d has %d of %d engines for long prompts", i, long, live)
		}
	}
}
