package placement

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

func TestSpill(t *testing.T) {
	late := func(a *Request) { a.Deadline = t0.Add(20 * time.Millisecond) }
	tests := []struct {
		rule   string
		own    State
		queued int64
		edit   func(a *Request)
		domain string // empty: not placed
		reason Reason
	}{
		{rule: settings.SpillOverload, domain: "a", reason: ReasonEarliest},
		{rule: settings.SpillNever, own: Dead},
		{rule: settings.SpillDead, own: Dead, domain: "b", reason: ReasonSpillDead},
		{rule: settings.SpillDead, own: Suspect, domain: "b", reason: ReasonSpillDead},
		{rule: settings.SpillDead, edit: late},
		{rule: settings.SpillOverload, queued: 90_000, edit: func(a *Request) { a.Deadline = t0.Add(2 * time.Second) }, domain: "b", reason: ReasonSpillOverload},
		{rule: settings.SpillOverload, edit: late},
		{rule: settings.SpillOverload, own: Dead, edit: func(a *Request) { a.SpillDomains = nil }},
	}
	for i, tt := range tests {
		v := newTestView(2)
		v.SetPool("p", append(specs("a", 2), specs("b", 2)...))
		setAll(Live)(v)
		for _, e := range v.Engines("p") {
			if e.Domain() == "a" {
				v.ApplyReport(e.Name(), report(2, tt.queued))
				v.SetState(e.Name(), tt.own)
			}
		}
		a := testRequest()
		a.Spill, a.SpillDomains = tt.rule, []string{"a", "b", "gone"}
		if tt.edit != nil {
			tt.edit(&a)
		}
		d, err := Place(v, a, t0, newRand(1))
		if err != nil {
			t.Fatal(err)
		}
		if d.Chosen.Domain != tt.domain || (tt.domain != "" && d.Reason != tt.reason) || d.Spilled != (tt.domain == "b") {
			t.Errorf("%d: %v in %q, %v", i, d.Verdict, d.Chosen.Domain, d.Reason)
		}
	}
}

func TestPlaceService(t *testing.T) {
	v := NewView(Options{})
	v.SetPool("basket", append(specs("a", 2), specs("b", 1)...))
	req := ServiceRequest{Pool: "basket", Domain: "a", Spill: settings.SpillDead, SpillDomains: []string{"b"}}
	expect := func(name string, verdict Verdict, reason Reason) {
		t.Helper()
		d, err := PlaceService(v, req, t0, newRand(1))
		if err != nil || d.Chosen.Name != name || d.Verdict != verdict || d.Reason != reason {
			t.Errorf("got %v %q %v %v", d.Verdict, d.Chosen.Name, d.Reason, err)
		}
	}
	v.NotePlaced(Placement{ID: ID{Request: "r"}, Upstream: "a-000"}, t0)
	expect("a-001", Placed, ReasonFewerInFlight)
	v.SetState("a-001", Leaving)
	expect("a-000", Placed, ReasonOnly)
	req.Exclude = []string{"a-000"}
	expect("b-000", Placed, ReasonSpillDead)
	req.SpillDomains = nil
	expect("", NoEngine, ReasonNoneLive)
}

// TestLagCorrection follows one placement from NotePlaced to the report that includes it.
func TestLagCorrection(t *testing.T) {
	v := newTestView(1)
	e := v.Engine("a-000")
	v.NotePlaced(Placement{ID: ID{Request: "r"}, Upstream: "a-000", Tokens: 1000, MaxTokens: 50, Cached: 200}, t0.Add(time.Second))
	expect := func(wantRequests int, wantPrefill, wantMemory int64) {
		t.Helper()
		if r, p, m := e.UnreportedLoad(); r != wantRequests || p != wantPrefill || m != wantMemory {
			t.Errorf("got %d requests, %d prefill, %d memory", r, p, m)
		}
	}
	expect(1, 800, 1050)
	before := report(2, 0)
	before.Taken = t0.Add(time.Second)
	v.ApplyReport("a-000", before) // taken while the placement was on its way to the engine
	expect(1, 800, 1050)
	v.NoteFirstToken(ID{Request: "r"}, 200, t0.Add(2*time.Second))
	expect(1, 0, 1050)
	after := report(3, 0)
	after.Taken = t0.Add(2 * time.Second)
	v.ApplyReport("a-000", after)
	expect(0, 0, 0)
	if v.ApplyReport("a-000", before) {
		t.Error("an older report was applied")
	}
	if e.free() != testMemory-1050 {
		t.Errorf("free %d: the request still holds its memory", e.free())
	}
}

func TestCacheEvents(t *testing.T) {
	v := newTestView(2)
	v.opts.PrefixBlocks = 3
	stored := func(seq int64, b uint64) CacheEvent { return CacheEvent{Seq: seq, Kind: Stored, Block: b} }
	events := []CacheEvent{stored(4, 12), stored(1, 10), stored(2, 11)}
	if missed := v.ApplyCacheEvents("a-000", "a", events); missed != 1 {
		t.Errorf("missed %d events, want 1", missed)
	}
	v.ApplyCacheEvents("a-000", "a", []CacheEvent{stored(3, 99)}) // late: ignored
	e := v.Engine("a-000")
	if depth := e.cachedDepth([]uint64{10, 11, 12, 99}, 4); depth != 3 {
		t.Errorf("depth %d, want 3", depth)
	}
	a := testRequest()
	a.Prefix = []uint64{10, 11}
	if d, _ := Place(v, a, t0, newRand(1)); d.Chosen.Name != "a-000" || d.Reason != ReasonPrefix || d.Chosen.Estimate.Cached != 512 {
		t.Errorf("cached prefix not used: %+v", d)
	}
	full := report(2, 0)
	full.MemoryUsed = testMemory
	v.ApplyReport("a-000", full)
	v.ApplyReport("a-001", report(2, 10_000_000))
	if d, _ := Place(v, a, t0, newRand(1)); d.Chosen.Name != "a-001" {
		t.Errorf("chose %+v, want the engine with free memory", d.Chosen)
	}
	v.ApplyCacheEvents("a-000", "a", []CacheEvent{stored(5, 13)}) // evicts 10
	if e.CachedBlocks() != 3 || len(v.group("p", "a").prefixes.holders) != 3 || e.cached.has(10) {
		t.Errorf("%d blocks, index %v", e.CachedBlocks(), v.group("p", "a").prefixes.holders)
	}
	v.ApplyCacheEvents("a-000", "b", []CacheEvent{stored(1, 14)})
	if e.CachedBlocks() != 1 {
		t.Errorf("%d blocks after a restart, want 1", e.CachedBlocks())
	}
}

// TestCachedPrefixIsFound has so many engines that sampling alone rarely finds the right one.
func TestCachedPrefixIsFound(t *testing.T) {
	v := newTestView(40)
	storeAll(v, "a-017", []uint64{1, 2, 3})
	storeAll(v, "a-018", []uint64{1})
	a := testRequest()
	a.Prefix = []uint64{1, 2, 3, 4}
	for seed := range uint64(20) {
		if d, _ := Place(v, a, t0, newRand(seed)); d.Chosen.Name != "a-017" {
			t.Errorf("seed %d: %s for %v", seed, d.Chosen.Name, d.Reason)
		}
	}
	v.SetState("a-017", Leaving)
	if d, _ := Place(v, a, t0, newRand(1)); d.Chosen.Name != "a-018" {
		t.Errorf("%s, want the engine with the next longest prefix", d.Chosen.Name)
	}
}

// TestEstimateParts compares each part of an estimate with a value computed by hand.
func TestEstimateParts(t *testing.T) {
	v := newTestView(1)
	r := report(2, 12_000)
	r.Running, r.MemoryUsed = 1, testMemory-600
	r.SplitKnown, r.QueuedByPriority = true, [request.NumPriorities]int64{0, 12_000, 4_000}
	v.ApplyReport("a-000", r)
	v.NotePlaced(Placement{ID: ID{Request: "r"}, Upstream: "a-000", Priority: request.Bulk, Tokens: 1600}, t0)
	a := testRequest()
	a.Policy = settings.PolicyLeastLoadedPriority
	a.Tokens, a.MaxTokens = 8000, 0
	d, err := Place(v, a, t0.Add(5*time.Second), newRand(1))
	if err != nil || d.Verdict != WaitMemory {
		t.Fatal(d.Verdict, err)
	}
	used := float64(testMemory - 600 + 1600)
	want := Estimate{
		Queue:      500 * time.Millisecond, // 12000, of which 8000 are done after MaxDrain
		Prefill:    time.Second,
		Residual:   30 * time.Millisecond,
		Stale:      2 * time.Second, // beyond 3 s
		LessUrgent: 700 * time.Millisecond,
		MemoryWait: timeForTokens(8000+1000, used/10),
	}
	want.FirstToken = want.Queue + want.Prefill + want.Residual + want.Stale + want.MemoryWait
	want.Finish = want.FirstToken
	if d.Chosen.Estimate != want {
		t.Errorf("got  %+v\nwant %+v", d.Chosen.Estimate, want)
	}
	if wait := d.Earliest.Sub(t0); wait != 5*time.Second+want.MemoryWait {
		t.Errorf("earliest after %v", wait)
	}
	a.Deadline = t0.Add(9 * time.Second) // before the wait for memory ends, after the rest
	if d, _ = Place(v, a, t0.Add(5*time.Second), newRand(1)); d.Verdict != WaitMemory {
		t.Errorf("%v: refused because of the estimated wait for memory", d.Verdict)
	}
}

func TestUnknownSplitFollowsOfferedWork(t *testing.T) {
	v := newTestView(1)
	for p, tokens := range []int{1000, 1000, 2000} {
		id := ID{Request: fmt.Sprint(p)}
		v.NotePlaced(Placement{ID: id, Upstream: "a-000", Priority: request.Priority(p), Tokens: tokens}, t0)
		v.NoteFinished(id, End{}, t0)
	}
	e := v.Engine("a-000")
	v.ApplyReport("a-000", report(2, 8000))
	for p, want := range []int64{2000, 4000, 8000} {
		if got := e.queueAhead(&v.opts, request.Priority(p), t0); got != want {
			t.Errorf("%d tokens ahead at %v, want %d", got, request.Priority(p), want)
		}
	}
}

func TestPeerWorkExpires(t *testing.T) {
	v := newTestView(2)
	v.ApplyPeerWork("p", "a", "h", Work{3: 5}, t0)
	v.ApplyPeerWork("p", "a", "h", Work{3: 7}, t0)
	v.ApplyPeerWork("p", "a", "bad", Work{3: -1}, t0)
	b := &v.group("p", "a").boundary
	now, later := b.total(t0), b.total(t0.Add(peerWorkMaxAge+1))
	if now.Total() != 7 || later.Total() != 0 {
		t.Errorf("%v, later %v", now, later)
	}
}

func TestRequestWithoutSeparationKeepsLimits(t *testing.T) {
	v := newTestView(4)
	a := testRequest()
	for i, longFrom := range []int{20_000, 0} {
		a.LongFrom = longFrom
		if _, err := Place(v, a, t0.Add(time.Duration(i)*time.Minute), newRand(1)); err != nil {
			t.Fatal(err)
		}
		if long, live := v.LongPromptEngines("p", "a"); long != 2 || live != 4 {
			t.Errorf("%d of %d engines take long prompts, want 2 of 4", long, live)
		}
	}
}

func TestGangMembersAreCountedOnceEach(t *testing.T) {
	v := newTestView(2)
	for i := range 2 {
		p := Placement{ID: ID{Request: "r", Member: i}, Upstream: fmt.Sprintf("a-%03d", i), Tokens: 60_000}
		if !v.NotePlaced(p, t0) || v.NotePlaced(p, t0) {
			t.Errorf("member %d is not recorded exactly once", i)
		}
		if free := v.Engine(p.Upstream).free(); free != testMemory-60_000 {
			t.Errorf("member %d: %d tokens free", i, free)
		}
	}
}

func TestGangSizeCountsTheLargestEngines(t *testing.T) {
	v := newTestView(4)
	for i, total := range []int64{100, 900, 300, 800} {
		r := report(2, 0)
		r.MemoryTotal = total
		v.ApplyReport(fmt.Sprintf("a-%03d", i), r)
	}
	for need, want := range map[int64]int{900: 1, 901: 2, 1700: 2, 1701: 3, 2100: 4, 2101: 0} {
		if got := gangSize(v.Engines("p"), need); got != want {
			t.Errorf("gang of %d for %d tokens, want %d", got, need, want)
		}
	}
}

// TestRanksAgree has two fronts that added the engines in different orders, of which only the
// second knows that one engine died.
func TestRanksAgree(t *testing.T) {
	list := specs("a", 9)
	one, two := NewView(Options{}), NewView(Options{})
	one.SetPool("p", list)
	slices.Reverse(list)
	for i := range list {
		two.SetPool("p", list[:i+1])
	}
	order := func(v *View) (names []string) {
		v.group("p", "a").rankLive()
		for _, e := range v.group("p", "a").live {
			names = append(names, e.Name())
		}
		return names
	}
	before := order(one)
	two.SetState("a-004", Dead)
	without := slices.DeleteFunc(slices.Clone(before), func(n string) bool { return n == "a-004" })
	if got := order(two); !slices.Equal(got, without) || len(before) != 9 {
		t.Errorf("%v, then %v", before, got)
	}
}

func TestTiesAreSpread(t *testing.T) {
	v := newTestView(4)
	for _, policy := range policies {
		counts := map[string]int{}
		rng := newRand(9)
		for range 400 {
			a := testRequest()
			a.Policy = policy
			d, _ := Place(v, a, t0, rng)
			counts[d.Chosen.Name]++
		}
		for _, e := range v.Engines("p") {
			if counts[e.Name()] < 40 {
				t.Errorf("%s: %v", policy, counts)
			}
		}
	}
}

func TestLearntRates(t *testing.T) {
	v := newTestView(1)
	now := t0
	for i := range 20 {
		id := ID{Request: fmt.Sprint(i)}
		v.NotePlaced(Placement{ID: id, Upstream: "a-000", Model: "m", Tokens: 2000, MaxTokens: 100}, now)
		now = now.Add(time.Second)
		v.NoteFirstToken(id, 0, now)
		v.NoteFinished(id, End{Complete: true, AnswerTokens: 50}, now.Add(5*time.Second))
	}
	e := v.Engine("a-000")
	if rate := e.estimatePrefillRate(&v.opts, now); rate < 2000 || rate > 3000 {
		t.Errorf("prefill rate %.0f, want near the observed 2000", rate)
	}
	if rate := e.estimatePrefillRate(&v.opts, now.Add(time.Hour)); rate < 7900 {
		t.Errorf("prefill rate %.0f, want the reported 8000 once the observations are old", rate)
	}
	v.NotePrompt("m", 1000, 500, now)
	if ratio := v.TokensPerByte("m", 0.3, now); ratio <= 0.3 || ratio >= 0.5 {
		t.Errorf("%.2f tokens per byte, want between the prior and the observation", ratio)
	}
}

func TestPromotion(t *testing.T) {
	v := newTestView(4)
	sent := func(tokens int) request.Priority {
		a := testRequest()
		a.Tokens = tokens
		d, _ := Place(v, a, t0, newRand(1))
		return d.EnginePriority
	}
	for tokens, want := range map[int]request.Priority{
		1000: request.Urgent, 5000: request.Normal, 30_000: request.Normal, 79_999: request.Normal, 80_000: request.Bulk,
	} {
		if got := sent(tokens); got != want {
			t.Errorf("%d tokens are sent as %v, want %v", tokens, got, want)
		}
	}
	v.ApplyPeerWork("p", "a", "other", Work{1: 1e6}, t0)
	v.group("p", "a").boundary.checkedAt = time.Time{}
	if sent(1000) != request.Normal {
		t.Error("promoted although the shortest prompts are all the work")
	}
}

func TestPrefixBlocks(t *testing.T) {
	text := strings.Repeat("abcdefgh", 100)
	all := PrefixBlocks(text, 64, 5)
	if len(all) != 5 || len(PrefixBlocks(text[:130], 64, 5)) != 2 || len(PrefixBlocks(text, 0, 5)) != 0 {
		t.Error("wrong number of blocks")
	}
	other := PrefixBlocks("x"+text[1:], 64, 5)
	if slices.Equal(all[:2], other[:2]) || all[4] == other[4] || all[0] == all[1] {
		t.Error("a block does not cover the text before it")
	}
}

func FuzzParseHexBlock(f *testing.F) {
	for _, s := range []string{"", "00000000000000ff", "ffffffffffffffff", "+000000000000001", "00000000000000FF"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		block, ok := ParseHexBlock(s)
		if ok && HexBlock(block) != strings.ToLower(s) {
			t.Errorf("%q read as %x", s, block)
		}
	})
}
