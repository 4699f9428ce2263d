package standin

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
	"github.com/buckthorndock/buckthorndock/internal/standin/answer"
)

func TestGenerateManyAtOnce(t *testing.T) {
	e, s := startEngine(t, quick())
	var wg sync.WaitGroup
	for i := range 100 {
		prompt := strings.Repeat(fmt.Sprintf("crash log %d ", i), 40)
		req := generateRequest(fmt.Sprintf("r%d", i), prompt, 1+i%20)
		wg.Go(func() {
			all, _ := chunks(t, open(t, context.Background(), s.Address, req))
			if got, want := whole(t, req, all), answer.FullText(prompt, req.MaxTokens); got != want {
				t.Errorf("%s: %q, want %q", req.RequestID, got, want)
			}
		})
		checkSum(t, books(t, e))
	}
	wg.Wait()
	eventually(t, "books empty", func() bool {
		b := books(t, e)
		return b.MemoryUsedTokens == 0 && len(b.Running) == 0
	})
	for _, r := range e.Runs() {
		if r.State != RunFinished || r.FirstTokenMs < 1 {
			t.Fatalf("run %+v", r)
		}
	}
}

func TestOrphanIsKeptUntilResumed(t *testing.T) {
	e, s := startEngine(t, slow())
	req := generateRequest("r", "a whole archive", 60)
	ctx, cut := context.WithCancel(context.Background())
	open(t, ctx, s.Address, req)
	eventually(t, "decode", phaseIs(t, e, engineapi.RunningPhaseDecode))
	cut()
	eventually(t, "orphaned", phaseIs(t, e, engineapi.RunningPhaseOrphaned))
	eventually(t, "finished alone", stateIs(e, 0, RunFinished))
	if b := books(t, e); b.MemoryUsedTokens != int64(answer.PromptTokens(req.Prompt)+60) {
		t.Fatalf("used %d", b.MemoryUsedTokens)
	}
	req.ResumeFrom = 7
	all, _ := chunks(t, open(t, context.Background(), s.Address, req))
	if got := answer.FullText(req.Prompt, 7) + whole(t, req, all); got != answer.FullText(req.Prompt, 60) {
		t.Fatalf("resumed: %q", got)
	}
	eventually(t, "books empty", func() bool { return len(books(t, e).Running) == 0 })
	if n := len(e.Runs()); n != 1 {
		t.Fatalf("%d runs", n)
	}
}

func TestSecondConnectionTakesOver(t *testing.T) {
	e, s := startEngine(t, slow())
	req := generateRequest("r", "question", 60)
	first := open(t, context.Background(), s.Address, req)
	second := open(t, context.Background(), s.Address, req)
	all, _ := chunks(t, second)
	if whole(t, req, all) != answer.FullText(req.Prompt, 60) {
		t.Fatal("wrong answer")
	}
	old, _ := chunks(t, first)
	if n := len(old); n > 0 && old[n-1].Done {
		t.Fatal("both connections got the end")
	}
	other := generateRequest("r", "another question", 60)
	other.Attempt = 2
	chunks(t, open(t, context.Background(), s.Address, other))
	if runs := e.Runs(); len(runs) != 2 || runs[1].Attempt != 2 {
		t.Fatalf("runs %+v", runs)
	}
}

func TestOldConnectionChangesNothing(t *testing.T) {
	e, _ := startEngine(t, slow())
	r, first, _ := e.submit(newRun(generateRequest("r", "question", 500)))
	_, second, _ := e.submit(newRun(generateRequest("r", "question", 500)))
	e.orphan(r, first)
	e.delivered(r, first)
	if p := e.progress(r, second); p.replaced || p.phase == phaseGone {
		t.Fatalf("the old connection's end: %+v", p)
	}
	e.orphan(r, second)
	if phase := books(t, e).Running[0].Phase; phase != engineapi.RunningPhaseOrphaned {
		t.Fatalf("phase %s", phase)
	}
}

func TestCancelIsIdempotent(t *testing.T) {
	e, s := startEngine(t, slow())
	req := generateRequest("r", "question", 500)
	res := open(t, context.Background(), s.Address, req)
	if cancelRun(t, e, "r", 2) {
		t.Fatal("attempt 2 is known")
	}
	if !cancelRun(t, e, "r", 1) || cancelRun(t, e, "r", 1) || cancelRun(t, e, "r", 0) {
		t.Fatal("the first cancel must know the run, the others not")
	}
	all, _ := chunks(t, res)
	if last := all[len(all)-1]; last.Done || last.Error != failCancelled {
		t.Fatalf("last chunk %+v", last)
	}
	if b := books(t, e); b.MemoryUsedTokens != 0 || len(b.Running) != 0 {
		t.Fatalf("books %+v", b)
	}
	if s := e.Runs()[0].State; s != RunCancelled {
		t.Fatalf("state %s", s)
	}
}

func TestQueueWhenMemoryIsFull(t *testing.T) {
	e, s := startEngine(t, slow())
	big := generateRequest("big", strings.Repeat("x", 4*9_000), 900)
	open(t, context.Background(), s.Address, big)
	eventually(t, "admitted", func() bool { return books(t, e).MemoryUsedTokens == 9_900 })
	open(t, context.Background(), s.Address, generateRequest("next", strings.Repeat("y", 800), 1))
	eventually(t, "queued", func() bool { return len(books(t, e).Running) == 2 })
	if b := books(t, e); b.Running[1].Phase != engineapi.RunningPhaseQueued || b.Running[1].Tokens != 0 {
		t.Fatalf("running %+v", b.Running)
	}
	cancelRun(t, e, "big", 0)
	eventually(t, "started", stateIs(e, 1, RunFinished))
	if code := refused(t, s.Address, generateRequest("never", strings.Repeat("z", 50_000), 1)); code != engineapi.RefusalCodeNoMemory {
		t.Fatalf("code %s", code)
	}
}

func TestUrgentPrefillGoesFirst(t *testing.T) {
	o := quick()
	o.PrefillTPS = 2_000
	o.ChunkTokens = 50
	e, s := startEngine(t, o)
	bulk := generateRequest("bulk", strings.Repeat("x", 4*8_000), 5)
	bulk.Priority = 2
	open(t, context.Background(), s.Address, bulk)
	eventually(t, "prefill", phaseIs(t, e, engineapi.RunningPhasePrefill))
	urgent := generateRequest("urgent", "is there milk", 1)
	urgent.Priority = 0
	chunks(t, open(t, context.Background(), s.Address, urgent))
	if e.Runs()[0].State == RunFinished {
		t.Fatal("the bulk prefill was not overtaken")
	}
}

func TestBadRequests(t *testing.T) {
	_, s := startEngine(t, quick())
	for name, change := range map[string]func(*engineapi.GenerateRequest){
		"no id":        func(r *engineapi.GenerateRequest) { r.RequestID = "" },
		"attempt 0":    func(r *engineapi.GenerateRequest) { r.Attempt = 0 },
		"empty prompt": func(r *engineapi.GenerateRequest) { r.Prompt = "" },
		"no tokens":    func(r *engineapi.GenerateRequest) { r.MaxTokens = 0 },
		"priority 3":   func(r *engineapi.GenerateRequest) { r.Priority = 3 },
		"resume late":  func(r *engineapi.GenerateRequest) { r.ResumeFrom = 6 },
	} {
		req := generateRequest("r", "question", 5)
		change(req)
		if code := refused(t, s.Address, req); code != engineapi.RefusalCodeBadRequest {
			t.Errorf("%s: %s", name, code)
		}
	}
	unknown := generateRequest("r", "question", 5)
	unknown.Model = "other"
	if code := refused(t, s.Address, unknown); code != engineapi.RefusalCodeNoModel {
		t.Errorf("unknown model: %s", code)
	}
}

func TestCrashMarkerEndsTheEngine(t *testing.T) {
	codes := make(chan int, 1)
	o := quick()
	o.Exit = func(code int) { codes <- code }
	e, s := startEngine(t, o)
	open(t, context.Background(), s.Address, generateRequest("r", "please "+CrashMarker+" now", 5))
	if code := <-codes; code != 3 {
		t.Fatalf("exit code %d", code)
	}
	if state := e.Runs()[0].State; state != RunCrashed {
		t.Fatalf("state %s", state)
	}
}

func TestDieWithinTheProcess(t *testing.T) {
	e, s := startEngine(t, slow())
	res := open(t, context.Background(), s.Address, generateRequest("r", "question", 500))
	if err := e.SetFault(Fault{Kind: FaultDie, On: true}); err != nil {
		t.Fatal(err)
	}
	if all, _ := chunks(t, res); len(all) > 0 && all[len(all)-1].Done {
		t.Fatal("the stream ended whole")
	}
	if _, err := http.Get("http://" + s.Address + "/v1/load"); err == nil {
		t.Fatal("a dead engine answers")
	}
}
