package suspects

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/quarantine"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

const crashingPart = 700

// newWork returns a work, different from all others, whose prompt has a crashing part.
func newWork(n int) quarantine.Work {
	return quarantine.Work{Fingerprint: uint64(5000 + n), Parts: []uint64{crashingPart}}
}

// crashUnderPart ends engines of a daemon under new works with the crashing part.
func crashUnderPart(t *testing.T, tr *Tracker, n int) {
	t.Helper()
	for i := range n {
		engine := fmt.Sprint(tr.host, i)
		if _, ok := tr.TryStart(engine, newWork(len(tr.host)*100+i), nil, time.Now()); !ok {
			t.Fatal("not started")
		}
		tr.EngineDied(engine, engine, time.Now())
	}
}

// TestOneDaemonAtATimeTriesAPart guards against daemons that do not exchange digests and each try
// another request with the same suspect part, and against a part that stays suspect at the others
// once an answer with it has begun at one.
func TestOneDaemonAtATimeTriesAPart(t *testing.T) {
	forEachStore(t, func(t *testing.T, _ *memoryStore, store func() Store) {
		all := startDaemons(t, store, "a", "b", "c", "d")
		crashUnderPart(t, all[0], quarantine.PartThreshold)
		time.Sleep(settleTime)
		var mu sync.Mutex
		granted := map[*Tracker]*Trial{}
		var asked sync.WaitGroup
		for i, tr := range all {
			asked.Go(func() {
				trial, refusal := tr.Admit(t.Context(), newWork(i), nil, time.Minute)
				mu.Lock()
				defer mu.Unlock()
				if trial != nil {
					granted[tr] = trial
				} else if refusal == nil || refusal.Code != request.CodeSuspect || refusal.RetryAfter <= 0 {
					t.Errorf("%s: neither a trial nor a refusal to retry later: %v", tr.host, refusal)
				}
			})
		}
		asked.Wait()
		if len(granted) != 1 {
			t.Fatalf("%d of %d daemons were granted a trial", len(granted), len(all))
		}
		for tr, trial := range granted {
			run, ok := tr.TryStart("e", newWork(0), trial, time.Now())
			trial.MarkSent()
			if !ok || tr.Answering(run, time.Now()) || !tr.Answering(run, time.Now().Add(quarantine.BeginTime)) {
				t.Fatal("the answer has not begun")
			}
			trial.Began()
		}
		time.Sleep(settleTime)
		for _, tr := range all {
			if trial, refusal := tr.Admit(t.Context(), newWork(50), nil, time.Second); trial != nil || refusal != nil {
				t.Errorf("%s does not know that an answer has begun: %v", tr.host, refusal)
			}
		}
	})
}

// TestDeathUnderTrialRefusesThePartEverywhere guards against daemons that reach each other through
// the store alone and try a part that has crashed an engine under trial.
func TestDeathUnderTrialRefusesThePartEverywhere(t *testing.T) {
	forEachStore(t, func(t *testing.T, _ *memoryStore, store func() Store) {
		all := startDaemons(t, store, "a", "b", "c")
		crashUnderPart(t, all[0], quarantine.PartThreshold)
		time.Sleep(settleTime)
		trial, _ := all[1].Admit(t.Context(), newWork(1), nil, time.Minute)
		if _, ok := all[1].TryStart("e", newWork(1), trial, time.Now()); trial == nil || !ok {
			t.Fatalf("trial %v, started %v", trial, ok)
		}
		trial.MarkSent()
		all[1].EngineDied("e", "e", time.Now())
		trial.End(quarantine.TrialRan)
		time.Sleep(settleTime)
		for _, tr := range all {
			if _, refusal := tr.Admit(t.Context(), newWork(60), nil, time.Second); refusal == nil || refusal.Code != request.CodeQuarantined {
				t.Errorf("%s: %v", tr.host, refusal)
			}
		}
	})
}

// TestTrialOfALongRequestEnds guards against a crash of the daemon when a request under trial lasts
// longer than records are kept.
func TestTrialOfALongRequestEnds(t *testing.T) {
	forEachStore(t, func(t *testing.T, _ *memoryStore, store func() Store) {
		tr := startDaemons(t, store, "a")[0]
		crashUnderPart(t, tr, quarantine.PartThreshold)
		time.Sleep(settleTime)
		trial, refusal := tr.Admit(t.Context(), newWork(1), nil, 2*staleAfter)
		if trial == nil {
			t.Fatal(refusal)
		}
		trial.MarkSent()
		time.Sleep(staleAfter + time.Minute)
		trial.End(quarantine.TrialRan)
	})
}

// TestUnconfirmedTrialIsToldToOthers guards against a trial that runs without the store and of which
// other daemons hear with the next change only.
func TestUnconfirmedTrialIsToldToOthers(t *testing.T) {
	forEachStore(t, func(t *testing.T, m *memoryStore, store func() Store) {
		tr := startDaemons(t, store, "a")[0]
		crashUnderPart(t, tr, quarantine.PartThreshold)
		time.Sleep(settleTime)
		select {
		case <-tr.evidenceChanged:
		default:
		}
		m.setUnreachable(true)
		if trial, refusal := tr.Admit(t.Context(), newWork(1), nil, time.Minute); trial == nil {
			t.Fatal(refusal)
		}
		select {
		case <-tr.evidenceChanged:
		default:
			t.Error("no change is signalled")
		}
	})
}
