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

// loadLag returns the age of load reports, with the fault load_lag added.
func (e *Engine) loadLag() time.Duration {
	lag := e.opts.LoadLag
	if x, ok := e.faults.get(FaultLoadLag); ok {
		lag += time.Duration(x.Ms) * time.Millisecond
	}
	return lag
}

// recordLoad adds a snapshot for later load reports. Without a lag it is not needed.
func (e *Engine) recordLoad() {
	if e.loadLag() > 0 {
		e.addSnapshot(time.Now())
	}
}

// addSnapshot adds the current load and drops snapshots too old for any report.
func (e *Engine) addSnapshot(now time.Time) {
	e.loadSeq++
	e.loads = append(e.loads, loadSnapshot{at: now, report: e.buildLoadReport(now)})
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
	e.addSnapshot(now)
	shown := e.loads[0]
	shown.report.AgeMs = now.Sub(shown.at).Milliseconds()
	return &shown.report, nil
}

// buildLoadReport returns the current load. QueuedPrefillTokens counts the tokens
// that queued and prefilling runs still have to compute.
func (e *Engine) buildLoadReport(now time.Time) engineapi.LoadReport {
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
		Models:            slices.Clone(e.orders.finishLoads(now).models),
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

// refusesNewRuns reports whether the fault leaving has been on for at least its Ms.
// With an Ms of 0 the engine goes on to accept runs, and the witness records them.
func (e *Engine) refusesNewRuns() bool {
	x, on := e.faults.get(FaultLeaving)
	return on && x.Ms > 0 && time.Since(x.since) >= time.Duration(x.Ms)*time.Millisecond
}
