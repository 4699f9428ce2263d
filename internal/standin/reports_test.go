package standin

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
)

func sendOrder(t *testing.T, e *Engine, fence int64, kind engineapi.OrderKind, name string) (*engineapi.OrderState, engineapi.RefusalCode) {
	t.Helper()
	what := engineapi.NewOptString(name)
	req := &engineapi.Order{Fence: fence, ID: "o", Kind: kind, Model: what, Adapter: what, Role: what}
	res, err := e.Order(context.Background(), req)
	if err != nil {
		t.Fatal(err)
	}
	if refusal, ok := res.(*engineapi.RefusalStatusCode); ok {
		return nil, refusal.Response.Code
	}
	return res.(*engineapi.OrderState), ""
}

func TestFencing(t *testing.T) {
	o := fastEngine()
	o.ChecksFencing = true
	checking, _ := startEngine(t, o)
	ignoring, _ := startEngine(t, fastEngine())
	for _, e := range []*Engine{checking, ignoring} {
		if _, code := sendOrder(t, e, 7, engineapi.OrderKindSetRole, "prefill"); code != "" {
			t.Fatal(code)
		}
	}
	if _, code := sendOrder(t, checking, 6, engineapi.OrderKindSetRole, "decode"); code != engineapi.RefusalCodeStaleFence {
		t.Fatalf("old fence: %q", code)
	}
	if s, code := sendOrder(t, checking, 7, engineapi.OrderKindSetRole, "prefill"); code != "" || s.Role != "prefill" || s.Fence != 7 {
		t.Fatalf("same fence: %+v %q", s, code)
	}
	if s, code := sendOrder(t, ignoring, 6, engineapi.OrderKindSetRole, "decode"); code != "" || s.Role != "decode" {
		t.Fatalf("ignored fence: %+v %q", s, code)
	}
	if err := checking.SetFault(Fault{Kind: FaultIgnoreFencing, On: true}); err != nil {
		t.Fatal(err)
	}
	if s, code := sendOrder(t, checking, 6, engineapi.OrderKindSetRole, "decode"); code != "" || s.Role != "decode" {
		t.Fatalf("fault: %+v %q", s, code)
	}
}

func TestOrdersTakeTimeAndRepeat(t *testing.T) {
	e, s := startEngine(t, fastEngine())
	for range 2 {
		state, code := sendOrder(t, e, 1, engineapi.OrderKindLoadModel, "drafts")
		if code != "" || !slices.Equal(state.Loading, []string{"drafts"}) {
			t.Fatalf("%+v %q", state, code)
		}
	}
	req := generateRequest("r", "question", 2)
	req.Model = "drafts"
	eventually(t, "loaded", func() bool {
		res, err := e.GetOrderState(context.Background())
		state, ok := res.(*engineapi.OrderState)
		return err == nil && ok && slices.Equal(state.Models, []string{testModel, "drafts"})
	})
	all, _ := readChunks(t, generate(t, context.Background(), s.Address, req))
	answerText(t, req, all)
	if state, _ := sendOrder(t, e, 1, engineapi.OrderKindUnloadModel, "drafts"); len(state.Models) != 1 {
		t.Fatalf("after unload %+v", state)
	}
	if code := refusalCode(t, s.Address, req); code != engineapi.RefusalCodeNoModel {
		t.Fatalf("unloaded: %s", code)
	}
	if _, code := sendOrder(t, e, 1, engineapi.OrderKindLoadAdapter, ""); code != engineapi.RefusalCodeBadRequest {
		t.Fatalf("load order without a name: %q", code)
	}
}

func loadReport(t *testing.T, e *Engine) *engineapi.LoadReport {
	t.Helper()
	res, err := e.GetLoad(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return res.(*engineapi.LoadReport)
}

func TestLoadReportLags(t *testing.T) {
	o := slowEngine()
	o.LoadLag = time.Hour
	e, s := startEngine(t, o)
	generate(t, context.Background(), s.Address, generateRequest("r", "question", 500))
	eventually(t, "decode", phaseIs(t, e, engineapi.RunningPhaseDecode))
	if r := loadReport(t, e); r.Running != 0 || r.MemoryUsedTokens != 0 || r.Seq != 1 {
		t.Fatalf("within the lag: %+v", r)
	}
	e.mu.Lock()
	e.opts.LoadLag = 0
	e.mu.Unlock()
	if r := loadReport(t, e); r.Running != 1 || r.MemoryUsedTokens != 502 || r.Seq < 3 || r.AgeMs != 0 {
		t.Fatalf("without a lag: %+v", r)
	}
	if err := e.SetFault(Fault{Kind: FaultLoadLag, On: true, Ms: time.Hour.Milliseconds()}); err != nil {
		t.Fatal(err)
	}
	before := loadReport(t, e)
	cancelRun(t, e, "r", 0)
	if r := loadReport(t, e); r.Running != 1 || r.Seq != before.Seq {
		t.Fatalf("fault: %+v after %+v", r, before)
	}
}

func cacheEvents(t *testing.T, e *Engine, from int64) *engineapi.CacheEvents {
	t.Helper()
	res, err := e.GetCacheEvents(context.Background(), engineapi.GetCacheEventsParams{From: from})
	if err != nil {
		t.Fatal(err)
	}
	return res.(*engineapi.CacheEvents)
}

func TestCacheKeepsOnlyFreeMemory(t *testing.T) {
	e, s := startEngine(t, fastEngine())
	req := generateRequest("r", strings.Repeat("x", 4*64), 2)
	req.PrefixBlocks = []string{"b1", "b2", "b3", "b4"}
	for attempt, cached := range []int{0, 63} {
		req.Attempt = attempt + 1
		all, _ := readChunks(t, generate(t, context.Background(), s.Address, req))
		if c := all[0].CachedTokens; c == nil || *c != cached {
			t.Fatalf("attempt %d: first chunk %+v", req.Attempt, all[0])
		}
	}
	eventually(t, "books empty", func() bool { return books(t, e).MemoryUsedTokens == 0 })
	if code := reserve(t, e, "all", 10_000-40); code != "" {
		t.Fatalf("the cache prevented a reservation: %s", code)
	}
	got := cacheEvents(t, e, 1)
	var history []string
	for _, x := range got.Events {
		history = append(history, string(x.Kind)+" "+x.Block)
	}
	want := []string{"cleared ", "stored b1", "stored b2", "stored b3", "stored b4", "evicted b4", "evicted b3"}
	if !slices.Equal(history, want) || got.Next != 8 {
		t.Fatalf("events %q, next %d", history, got.Next)
	}
}

func TestCacheEventsLateAndWithGaps(t *testing.T) {
	o := fastEngine()
	o.EventDelay = time.Hour
	e, s := startEngine(t, o)
	if err := e.SetFault(Fault{Kind: FaultGapEvents, On: true}); err != nil {
		t.Fatal(err)
	}
	req := generateRequest("r", strings.Repeat("x", 4*64), 2)
	req.PrefixBlocks = []string{"b1", "b2", "b3", "b4"}
	readChunks(t, generate(t, context.Background(), s.Address, req))
	if got := cacheEvents(t, e, 1); len(got.Events) != 0 || got.Next != 1 {
		t.Fatalf("too early: %+v", got)
	}
	e.mu.Lock()
	e.opts.EventDelay = 0
	e.mu.Unlock()
	got := cacheEvents(t, e, 1)
	if len(got.Events) != 3 || got.Events[1].Seq != 3 || got.Events[2].Seq != 5 || got.Next != 6 {
		t.Fatalf("gaps: %+v", got)
	}
	if err := e.SetFault(Fault{Kind: FaultLateEvents, On: true, Ms: time.Hour.Milliseconds()}); err != nil {
		t.Fatal(err)
	}
	if got := cacheEvents(t, e, 1); len(got.Events) != 0 {
		t.Fatalf("late: %+v", got)
	}
}
