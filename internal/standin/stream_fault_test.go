package standin

import (
	"bufio"
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
	"github.com/buckthorndock/buckthorndock/internal/standin/answer"
)

func TestCrossedChunksAndGarbage(t *testing.T) {
	_, s := startEngine(t, quick())
	setFault(t, s.Address, Fault{Kind: FaultCrossChunks, On: true, Count: 1})
	setFault(t, s.Address, Fault{Kind: FaultGarbage, On: true, Count: 1})
	req := generateRequest("r", "question", 8)
	all, garbage := chunks(t, open(t, context.Background(), s.Address, req))
	var own []Chunk
	foreign, late := 0, 0
	for _, c := range all {
		switch {
		case c.RequestID != req.RequestID:
			foreign++
		case c.Attempt != req.Attempt:
			late++
		default:
			own = append(own, c)
		}
	}
	if foreign != 8 || late != 8 || garbage == 0 {
		t.Fatalf("foreign %d, late %d, garbage %d", foreign, late, garbage)
	}
	if whole(t, req, own) != answer.FullText(req.Prompt, 8) {
		t.Fatal("wrong answer")
	}
}

func TestTruncatedStreamIsAnOrphan(t *testing.T) {
	e, s := startEngine(t, quick())
	setFault(t, s.Address, Fault{Kind: FaultTruncate, On: true, Count: 1})
	req := generateRequest("r", "question", 8)
	all, _ := chunks(t, open(t, context.Background(), s.Address, req))
	if len(all) != 4 || all[3].Done {
		t.Fatalf("chunks %+v", all)
	}
	eventually(t, "orphaned", phaseIs(t, e, engineapi.RunningPhaseOrphaned))
	req.ResumeFrom = 4
	all, _ = chunks(t, open(t, context.Background(), s.Address, req))
	whole(t, req, all)
}

func TestDroppedAnswerLeavesAnOrphan(t *testing.T) {
	e, s := startEngine(t, quick())
	setFault(t, s.Address, Fault{Kind: FaultDropAnswer, On: true, Count: 1})
	body := generateRequest("r", "question", 8)
	c, err := engineapi.NewClient("http://" + s.Address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Generate(context.Background(), body); err == nil {
		t.Fatal("the answer was not dropped")
	}
	eventually(t, "orphaned", phaseIs(t, e, engineapi.RunningPhaseOrphaned))
}

func TestSilentConnectionsStayNewOnesWork(t *testing.T) {
	e, s := startEngine(t, slow())
	req := generateRequest("r", "question", 10)
	ctx, cut := context.WithCancel(context.Background())
	defer cut()
	old := open(t, ctx, s.Address, req)
	line := bufio.NewScanner(old.Body)
	if !line.Scan() {
		t.Fatal("no first chunk")
	}
	setFault(t, s.Address, Fault{Kind: FaultSilent, On: true})
	more := make(chan bool, 1)
	go func() {
		for line.Scan() {
		}
		more <- true
	}()
	eventually(t, "the engine believes that it has delivered", func() bool { return len(books(t, e).Running) == 0 })
	select {
	case <-more:
		t.Fatal("the silent connection ended")
	case <-time.After(50 * time.Millisecond):
	}
	fresh := &http.Transport{}
	defer fresh.CloseIdleConnections()
	res, err := (&http.Client{Transport: fresh}).Get("http://" + s.Address + "/v1/books")
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	cut()
	<-more
}

func TestCloseOfASilentConnectionIsNotSeen(t *testing.T) {
	e, s := startEngine(t, slow())
	ctx, cut := context.WithCancel(context.Background())
	open(t, ctx, s.Address, generateRequest("r", "question", 500))
	setFault(t, s.Address, Fault{Kind: FaultSilent, On: true})
	cut()
	time.Sleep(100 * time.Millisecond) // time to see it, if it could be seen
	if phase := books(t, e).Running[0].Phase; phase == engineapi.RunningPhaseOrphaned {
		t.Fatal("the engine saw the close")
	}
}

func TestFrozenEngineMakesNoTokens(t *testing.T) {
	e, _ := startEngine(t, quick())
	if err := e.SetFault(Fault{Kind: FaultFreeze, On: true}); err != nil {
		t.Fatal(err)
	}
	r, stream, no := e.submit(newRun(generateRequest("r", "question", 20)))
	if no != nil {
		t.Fatal(no.Response)
	}
	time.Sleep(50 * e.opts.DecodeStep)
	if p := e.progress(r, stream); p.phase != phaseQueued || p.produced != 0 {
		t.Fatalf("frozen, and %+v", p)
	}
	if err := e.SetFault(Fault{Kind: FaultFreeze}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "goes on", func() bool { return e.progress(r, stream).phase == phaseFinished })
}

func TestLeaving(t *testing.T) {
	e, s := startEngine(t, quick())
	setFault(t, s.Address, Fault{Kind: FaultLeaving, On: true})
	req := generateRequest("r", "question", 2)
	all, _ := chunks(t, open(t, context.Background(), s.Address, req))
	whole(t, req, all)
	if !load(t, e).Leaving {
		t.Fatal("does not report that it is leaving")
	}
	setFault(t, s.Address, Fault{Kind: FaultLeaving, On: true, Ms: 1})
	eventually(t, "refused", e.refusesAsLeaving)
	if code := refused(t, s.Address, generateRequest("r2", "question", 2)); code != engineapi.RefusalCodeLeaving {
		t.Fatalf("code %s", code)
	}
}
