package standin

import (
	"context"
	"slices"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
)

// loadSnapshot is a load report as of one moment.
type loadSnapshot struct {
	at     time.Time
	report engineapi.LoadReport
}

func (e *Engine) loadLag() time.Duration {
	lag := e.opts.LoadLag
	if x, ok := e.faults.get(FaultLoadLag); ok {
		lag += time.Duration(x.Ms) * time.Millisecond
	}
	return lag
}

// noteLoad keeps a snapshot for reports to come. Without a lag none is needed.
func (e *Engine) noteLoad() {
	if e.loadLag() > 0 {
		e.snapshot(time.Now())
	}
}

// snapshot adds the present load and drops snapshots that no report can show.
func (e *Engine) snapshot(now time.Time) {
	e.loadSeq++
	e.loads = append(e.loads, loadSnapshot{at: now, report: e.report(now)})
	shown := now.Add(-e.loadLag())
	for len(e.loads) > 1 && !e.loads[1].at.After(shown) {
		e.loads = e.loads[1:]
	}
}

// GetLoad implements engineapi.Handler.
func (e *Engine) GetLoad(context.Context) (engineapi.GetLoadRes, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.snapshot(now)
	shown := e.loads[0]
	shown.report.AgeMs = now.Sub(shown.at).Milliseconds()
	return &shown.report, nil
}

// report counts the load. Queued prefill is what runs in the queue and in prefill
// still have to compute.
func (e *Engine) report(now time.Time) engineapi.LoadReport {
	r := engineapi.LoadReport{
		Incarnation:       e.incarnation,
		Seq:               e.loadSeq,
		StepMs:            float64(e.stepTime) / float64(time.Millisecond),
		PrefillTokensPerS: e.opts.PrefillTPS,
		DecodeTokensPerS:  float64(time.Second) / float64(e.stepTime),
		Queued:            len(e.queue),
		Running:           len(e.active),
		MemoryTotalTokens: e.opts.MemoryTokens,
		MemoryUsedTokens:  e.used,
		Models:            slices.Clone(e.orders.settle(now).models),
		Role:              e.orders.role,
		Leaving:           e.faults.isOn(FaultLeaving),
		BlockTokens:       e.opts.BlockTokens,
	}
	for _, q := range e.queue {
		r.QueuedPrefillTokens += int64(q.promptTokens)
	}
	for _, a := range e.active {
		r.QueuedPrefillTokens += int64(a.prefillLeft)
	}
	return r
}

// refusesAsLeaving tells whether the fault leaving is on for its Ms. Without Ms
// the engine takes what comes, and the witness shows it.
func (e *Engine) refusesAsLeaving() bool {
	x, on := e.faults.get(FaultLeaving)
	return on && x.Ms > 0 && time.Since(x.since) >= time.Duration(x.Ms)*time.Millisecond
}
