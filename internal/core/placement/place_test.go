package placement

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

var t0 = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

const testMemory = 100_000

func specs(domain string, n int) []Spec {
	list := make([]Spec, n)
	for i := range list {
		list[i] = Spec{Name: fmt.Sprintf("%s-%03d", domain, i), Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Domain: domain}
	}
	return list
}

func report(seq int64, queued int64) Report {
	return Report{
		Incarnation: "a", Seq: seq, Taken: t0, Step: 30 * time.Millisecond,
		PrefillRate: 8000, DecodeRate: 30, QueuedPrefill: queued,
		MemoryTotal: testMemory, BlockTokens: 256, Models: []string{"m", "other@3"},
	}
}

// newTestView has n engines in domain a, with no load.
func newTestView(n int) *View {
	v := NewView(Options{})
	v.SetPool("p", specs("a", n))
	for _, e := range v.Engines("p") {
		v.ApplyReport(e.Name(), report(1, 0))
	}
	return v
}

func testRequest() Request {
	return Request{Pool: "p", Model: "m", Domain: "a", Tokens: 1000, MaxTokens: 100, Priority: request.Normal, LongFrom: 20_000}
}

func TestPlaceVerdicts(t *testing.T) {
	tests := []struct {
		name    string
		setup   func(v *View)
		edit    func(a *Request)
		verdict Verdict
		reason  Reason
	}{
		{name: "idle", verdict: Placed, reason: ReasonEarliest},
		{name: "random", edit: func(a *Request) { a.Policy = settings.PolicyRandom }, verdict: Placed, reason: ReasonRandom},
		{name: "fewest", edit: func(a *Request) { a.Policy = settings.PolicyLeastLoaded }, verdict: Placed, reason: ReasonFewestRequests},
		{name: "one left", edit: func(a *Request) { a.Exclude = []string{"a-000", "a-001"} }, verdict: Placed, reason: ReasonOnly},
		{name: "all excluded", edit: func(a *Request) { a.Exclude = []string{"a-000", "a-001", "a-002"} }, verdict: NoEngine, reason: ReasonNoneLive},
		{name: "unknown model", edit: func(a *Request) { a.Model = "x" }, verdict: NoEngine, reason: ReasonNoneLive},
		{name: "model with version", edit: func(a *Request) { a.Model = "other" }, verdict: Placed, reason: ReasonEarliest},
		{name: "foreign domain", edit: func(a *Request) { a.Domain = "b" }, verdict: NoEngine, reason: ReasonNoneLive},
		{name: "all suspect", setup: setAll(Suspect), verdict: Placed, reason: ReasonSuspectOnly},
		{name: "all leaving", setup: setAll(Leaving), verdict: NoEngine, reason: ReasonNoneLive},
		{name: "long", edit: func(a *Request) { a.Tokens = 50_000 }, verdict: Placed, reason: ReasonEarliest},
		{name: "gang", edit: func(a *Request) { a.Tokens = 250_000 }, verdict: NeedsGang, reason: ReasonOverOneEngine},
		{name: "gang short of engines", setup: func(v *View) { v.SetState("a-000", Leaving) }, edit: func(a *Request) { a.Tokens = 250_000 }, verdict: NoEngine, reason: ReasonGangEnginesMissing},
		{name: "never", edit: func(a *Request) { a.Tokens = 5_000_000 }, verdict: NeverPossible, reason: ReasonOverPool},
		{name: "never unless unknown", setup: func(v *View) { v.SetState("a-001", Dead) }, edit: func(a *Request) { a.Tokens = 5_000_000 }, verdict: NoEngine, reason: ReasonMemoryUnknown},
		{name: "too late", edit: func(a *Request) { a.Deadline = t0.Add(20 * time.Millisecond) }, verdict: TooLate, reason: ReasonDeadline},
		{name: "memory full", setup: fillAll, verdict: WaitMemory, reason: ReasonMemoryFull},
		{name: "memory full and late", setup: fillAll, edit: func(a *Request) { a.Deadline = t0.Add(time.Millisecond) }, verdict: TooLate, reason: ReasonDeadline},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := newTestView(3)
			a := testRequest()
			if tt.setup != nil {
				tt.setup(v)
			}
			if tt.edit != nil {
				tt.edit(&a)
			}
			d, err := Place(v, a, t0, newRand(1))
			if err != nil {
				t.Fatal(err)
			}
			if d.Verdict != tt.verdict || d.Reason != tt.reason {
				t.Fatalf("got %v, %v; want %v, %v: %+v", d.Verdict, d.Reason, tt.verdict, tt.reason, d)
			}
			checkFields(t, &d)
		})
	}
}

// checkFields checks what each verdict promises of the other fields.
func checkFields(t *testing.T, d *Decision) {
	t.Helper()
	if named := d.Chosen.Name != ""; named != (d.Verdict == Placed || d.Verdict == WaitMemory) {
		t.Errorf("%v with chosen %q", d.Verdict, d.Chosen.Name)
	}
	if timed := d.Earliest.After(t0); timed != (d.Verdict == TooLate || d.Verdict == WaitMemory) {
		t.Errorf("%v with earliest %v", d.Verdict, d.Earliest)
	}
	if d.Verdict == NeedsGang && (d.GangSize != 3 || d.GangDomain != "a") {
		t.Errorf("gang of %d in %q", d.GangSize, d.GangDomain)
	}
	if d.Verdict == NeverPossible && d.MemoryLimit != 3*testMemory {
		t.Errorf("limit %d", d.MemoryLimit)
	}
	if d.Verdict == TooLate && d.Backlog.Rate <= 0 {
		t.Errorf("backlog %+v", d.Backlog)
	}
}

func setAll(s State) func(v *View) {
	return func(v *View) {
		for _, e := range v.Engines("p") {
			v.SetState(e.Name(), s)
		}
	}
}

func fillAll(v *View) {
	for _, e := range v.Engines("p") {
		r := report(2, 0)
		r.MemoryUsed = testMemory - 500
		v.ApplyReport(e.Name(), r)
	}
}

func TestPlaceErrors(t *testing.T) {
	v := newTestView(1)
	tests := []struct {
		req  Request
		want error
	}{
		{Request{Pool: "nowhere"}, ErrUnknownPool},
		{Request{Pool: "p", Policy: "best"}, ErrUnknownPolicy},
		{Request{Pool: "p", Tokens: -1}, ErrNegativeTokens},
	}
	for _, tt := range tests {
		if _, err := Place(v, tt.req, t0, newRand(1)); !errors.Is(err, tt.want) {
			t.Errorf("%+v: got %v, want %v", tt.req, err, tt.want)
		}
	}
}
