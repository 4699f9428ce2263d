package standin

import (
	"context"
	"strings"
	"testing"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
	"github.com/buckthorndock/buckthorndock/internal/standin/answer"
)

// reserve returns the code of the refusal, or nothing when the memory is held.
func reserve(t *testing.T, e *Engine, id string, tokens int64) engineapi.RefusalCode {
	t.Helper()
	res, err := e.Reserve(context.Background(), &engineapi.Reservation{ID: id, Tokens: tokens})
	if err != nil {
		t.Fatal(err)
	}
	if no, ok := res.(*engineapi.RefusalStatusCode); ok {
		return no.Response.Code
	}
	return ""
}

func release(t *testing.T, e *Engine, id string) bool {
	t.Helper()
	res, err := e.Release(context.Background(), &engineapi.ReleaseRequest{ID: id})
	if err != nil {
		t.Fatal(err)
	}
	c, ok := res.(*engineapi.CancelResult)
	return ok && c.Known
}

func TestReservationsAreExact(t *testing.T) {
	e, s := startEngine(t, quick())
	if code := reserve(t, e, "a", 6_000); code != "" {
		t.Fatal(code)
	}
	if code := reserve(t, e, "a", 6_000); code != "" || books(t, e).MemoryUsedTokens != 6_000 {
		t.Fatalf("again: %s, used %d", code, books(t, e).MemoryUsedTokens)
	}
	if code := reserve(t, e, "a", 5_000); code != engineapi.RefusalCodeDuplicate {
		t.Fatalf("other tokens: %s", code)
	}
	if code := reserve(t, e, "b", 4_001); code != engineapi.RefusalCodeNoMemory {
		t.Fatalf("beyond free memory: %s", code)
	}
	req := generateRequest("r", strings.Repeat("x", 4*5_000), 10)
	req.ReservationID = engineapi.NewOptString("b")
	if code := refused(t, s.Address, req); code != engineapi.RefusalCodeNoReservation {
		t.Fatalf("unknown reservation: %s", code)
	}
	req.ReservationID = engineapi.NewOptString("a")
	all, _ := chunks(t, open(t, context.Background(), s.Address, req))
	whole(t, req, all)
	eventually(t, "the run is over", func() bool { return len(books(t, e).Running) == 0 })
	checkSum(t, books(t, e))
	if used := books(t, e).MemoryUsedTokens; used != 6_000 {
		t.Fatalf("the reservation went with its run: used %d", used)
	}
	req.Prompt += strings.Repeat("x", 4*1_000)
	if code := refused(t, s.Address, req); code != engineapi.RefusalCodeNoMemory {
		t.Fatalf("more than reserved: %s", code)
	}
	if !release(t, e, "a") || release(t, e, "a") || books(t, e).MemoryUsedTokens != 0 {
		t.Fatalf("books %+v", books(t, e))
	}
}

func TestReleaseFailsTheRunThatUsesIt(t *testing.T) {
	e, s := startEngine(t, slow())
	reserve(t, e, "a", 1_000)
	req := generateRequest("r", "question", 500)
	req.ReservationID = engineapi.NewOptString("a")
	res := open(t, context.Background(), s.Address, req)
	again := generateRequest("r2", "question", 5)
	again.ReservationID = req.ReservationID
	if code := refused(t, s.Address, again); code != engineapi.RefusalCodeNoReservation {
		t.Fatalf("a second user: %s", code)
	}
	release(t, e, "a")
	all, _ := chunks(t, res)
	if last := all[len(all)-1]; last.Done || last.Error == "" {
		t.Fatalf("last chunk %+v", last)
	}
	eventually(t, "books empty", func() bool { return len(books(t, e).Running) == 0 })
}

// gang starts three engines; the first receives.
func gang(t *testing.T, o EngineOptions) (engines []*Engine, addresses []string) {
	t.Helper()
	for range 3 {
		e, s := startEngine(t, o)
		engines = append(engines, e)
		addresses = append(addresses, s.Address)
	}
	return engines, addresses
}

func gangRequest(addresses []string, tokens int) *engineapi.GenerateRequest {
	req := generateRequest("audit", strings.Repeat("x", 4*tokens), 10)
	req.ReservationID = engineapi.NewOptString("g")
	req.Gang = addresses
	return req
}

func TestGangServesWhatNoEngineHolds(t *testing.T) {
	engines, addresses := gang(t, quick())
	req := gangRequest(addresses, 25_000)
	reserve(t, engines[0], "g", 9_000)
	reserve(t, engines[1], "g", 9_000)
	reserve(t, engines[2], "other", 900)
	if code := refused(t, addresses[0], req); code != engineapi.RefusalCodeNoReservation {
		t.Fatalf("a member without reservation: %s", code)
	}
	reserve(t, engines[2], "g", 7_000)
	if code := refused(t, addresses[0], req); code != engineapi.RefusalCodeNoMemory {
		t.Fatalf("too little together: %s", code)
	}
	release(t, engines[2], "g")
	reserve(t, engines[2], "g", 9_000)
	all, _ := chunks(t, open(t, context.Background(), addresses[0], req))
	if whole(t, req, all) != answer.FullText(req.Prompt, 10) {
		t.Fatal("wrong answer")
	}
	release(t, engines[2], "other")
	for _, e := range engines {
		release(t, e, "g")
		if used := books(t, e).MemoryUsedTokens; used != 0 {
			t.Fatalf("used %d", used)
		}
	}
}

func TestGangFailsWithAMember(t *testing.T) {
	o := quick()
	o.DecodeStep = patience // the answer never gets far by itself
	engines, addresses := gang(t, o)
	for _, e := range engines {
		reserve(t, e, "g", 9_000)
	}
	res := open(t, context.Background(), addresses[0], gangRequest(addresses, 25_000))
	eventually(t, "started", stateIs(engines[0], 0, RunStarted))
	release(t, engines[2], "g")
	all, _ := chunks(t, res)
	if last := all[len(all)-1]; last.Done || !strings.Contains(last.Error, "no reservation g") {
		t.Fatalf("last chunk %+v", last)
	}
	if state := engines[0].Runs()[0].State; state != RunCrashed {
		t.Fatalf("state %s", state)
	}
}

func TestGangPrefillIsTheSumOfItsMembers(t *testing.T) {
	engines, addresses := gang(t, quick())
	for _, e := range engines {
		reserve(t, e, "g", 9_000)
	}
	r := newRun(gangRequest(addresses, 20_000))
	if no := engines[0].gather(context.Background(), r); no != nil {
		t.Fatal(no.Response)
	}
	if r.speed != 3 {
		t.Fatalf("speed %v", r.speed)
	}
}

func TestGangKeepsItsMembersBusy(t *testing.T) {
	o := quick()
	o.PrefillTPS = 1_000
	engines, addresses := gang(t, o)
	for _, e := range engines {
		reserve(t, e, "g", 9_000)
	}
	open(t, context.Background(), addresses[0], gangRequest(addresses, 25_000))
	eventually(t, "a member computes for the gang", func() bool {
		s, _ := engines[1].plan()
		return s.length > 0 && len(s.chunks) == 0
	})
}

func TestKVMovesBetweenEngines(t *testing.T) {
	from, s := startEngine(t, quick())
	to, other := startEngine(t, quick())
	req := generateRequest("r", strings.Repeat("x", 4*64), 2)
	req.PrefixBlocks = []string{"b1", "b2", "b3", "b4"}
	chunks(t, open(t, context.Background(), s.Address, req))
	res, err := from.ExportKV(context.Background(), &engineapi.KVExport{ID: "x", PrefixBlocks: []string{"b1", "b2", "b9"}})
	if x, ok := res.(*engineapi.KVExport); err != nil || !ok || x.Tokens.Value != 32 || len(x.PrefixBlocks) != 2 {
		t.Fatalf("export %#v, %v", res, err)
	}
	eventually(t, "only the export holds", func() bool { return books(t, from).MemoryUsedTokens == 32 })
	imported, err := to.ImportKV(context.Background(), &engineapi.KVImport{ExportID: "x", Source: s.Address})
	if _, ok := imported.(*engineapi.KVExport); err != nil || !ok {
		t.Fatalf("import %#v, %v", imported, err)
	}
	if !release(t, from, "x") || books(t, from).MemoryUsedTokens != 0 {
		t.Fatal("the export was not released")
	}
	all, _ := chunks(t, open(t, context.Background(), other.Address, req))
	if c := all[0].CachedTokens; c == nil || *c != 32 {
		t.Fatalf("first chunk %+v", all[0])
	}
	missing, err := to.ImportKV(context.Background(), &engineapi.KVImport{ExportID: "x", Source: s.Address})
	if no, ok := missing.(*engineapi.RefusalStatusCode); err != nil || !ok || no.Response.Code != engineapi.RefusalCodeNotFound {
		t.Fatalf("import of a released export: %#v, %v", missing, err)
	}
}
