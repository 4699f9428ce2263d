package standin

import (
	"slices"
	"strings"
	"time"
)

// stepWeight is the weight of the newest step in the smoothed step time.
const stepWeight = 0.2

func containsMarker(prompt string) bool {
	return strings.Contains(prompt, CrashMarker)
}

// step is the work of one iteration of the loop.
type step struct {
	length  time.Duration
	chunks  []prefillChunk
	decodes []*run // each produces one token
}

// prefillChunk is a part of one run's prefill.
type prefillChunk struct {
	run    *run
	tokens int
}

func (s *step) empty() bool {
	return s.length == 0
}

// loop runs steps until the engine is closed or crashes. While there is work, each
// step is timed from the planned end of the one before, so that delays do not add up.
func (e *Engine) loop() {
	end := time.Now()
	for {
		if !e.pauseWhileFrozen() {
			return
		}
		s, crash := e.planStep()
		if crash {
			e.terminate(exitCrash)
			return
		}
		if s.empty() {
			select {
			case <-e.wake:
			case <-e.closed:
				return
			}
			end = time.Now()
			continue
		}
		end = end.Add(s.length)
		if d := time.Until(end); d > 0 {
			time.Sleep(d)
		} else {
			end = time.Now()
		}
		if !e.pauseWhileFrozen() {
			return
		}
		e.applyStep(s)
	}
}

// pauseWhileFrozen waits while the fault freeze is on. It returns false when the
// engine is closed.
func (e *Engine) pauseWhileFrozen() bool {
	for {
		changed := e.faults.nextChange()
		frozen := e.faults.isOn(FaultFreeze)
		select {
		case <-e.closed:
			return false
		default:
		}
		if !frozen {
			return true
		}
		select {
		case <-changed:
		case <-e.closed:
			return false
		}
	}
}

// planStep admits queued runs and chooses the work of the next step. It reports
// whether an admitted run crashes the engine.
func (e *Engine) planStep() (s step, crash bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.admitQueued() {
		return step{}, true
	}
	budget := float64(e.opts.ChunkTokens)
	for _, r := range e.active {
		if r.phase == phaseDecode {
			s.decodes = append(s.decodes, r)
			continue
		}
		n := min(r.prefillLeft, int(budget*r.speed))
		if n <= 0 {
			continue
		}
		budget -= float64(n) / r.speed
		s.chunks = append(s.chunks, prefillChunk{run: r, tokens: n})
	}
	if time.Now().Before(e.assistUntil) {
		budget = 0 // another engine's gang uses the rest of the budget
	}
	computed := float64(e.opts.ChunkTokens) - budget
	s.length = time.Duration(computed / e.opts.PrefillTPS * float64(time.Second))
	if len(s.decodes) > 0 {
		s.length += e.opts.DecodeStep
	}
	return s, false
}

// admitQueued starts queued runs by priority while memory and batch allow. A run
// that does not fit blocks those behind it. It reports whether a started run
// crashes the engine.
func (e *Engine) admitQueued() (crash bool) {
	for len(e.queue) > 0 && len(e.active) < e.opts.Batch {
		r := e.queue[0]
		_, reserved := r.req.ReservationID.Get()
		if !reserved && r.neededTokens() > e.freeTokens() {
			return false
		}
		e.queue = e.queue[1:]
		e.startRun(r, reserved)
		if r.crashes {
			e.witness.set(r.witness, RunCrashed)
			return true
		}
	}
	return false
}

// startRun adds a queued run to the batch, allocates its memory unless it is
// reserved, and begins its prefill.
func (e *Engine) startRun(r *run, reserved bool) {
	// The prefix is looked up before the allocation, which may evict it.
	r.cached = min(e.cache.lookup(r.req.PrefixBlocks), r.promptTokens-1)
	if !reserved {
		r.held = r.neededTokens()
		e.allocate(r.held)
	}
	r.prefillLeft = r.promptTokens - r.cached + r.req.ResumeFrom
	r.phase = phasePrefill
	at, _ := slices.BinarySearchFunc(e.active, r, comparePriority)
	e.active = slices.Insert(e.active, at, r)
	state := RunStarted
	if r.stream == nil {
		state = RunOrphaned
	}
	e.witness.set(r.witness, state)
}

// applyStep applies the results of a step at its end. Runs that ended during the
// step are skipped.
func (e *Engine) applyStep(s step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range s.decodes {
		if r.phase == phaseDecode {
			e.produceToken(r)
		}
	}
	for _, c := range s.chunks {
		if c.run.phase != phasePrefill {
			continue
		}
		c.run.prefillLeft -= c.tokens
		if c.run.prefillLeft > 0 {
			continue
		}
		c.run.phase = phaseDecode
		e.cacheBlocks(c.run)
		e.produceToken(c.run)
	}
	if len(s.decodes) > 0 {
		e.stepTime += time.Duration(stepWeight * float64(s.length-e.stepTime))
	}
	e.recordLoad()
}

// produceToken produces one token of a run, and finishes the run after the last.
func (e *Engine) produceToken(r *run) {
	if r.produced == r.req.ResumeFrom {
		e.witness.firstToken(r.witness)
	}
	if r.produced < r.req.MaxTokens {
		r.produced++
	}
	if r.produced == r.req.MaxTokens {
		r.phase = phaseFinished
		e.active = slices.DeleteFunc(e.active, func(x *run) bool { return x == r })
		e.witness.set(r.witness, RunFinished)
	}
	r.wakeStream()
}
