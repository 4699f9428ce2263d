package standin

import (
	"slices"
	"strings"
	"time"
)

// stepWeight is how much the newest step counts in the smoothed step time.
const stepWeight = 0.2

func containsMarker(prompt string) bool {
	return strings.Contains(prompt, CrashMarker)
}

// step is the work of one turn of the loop.
type step struct {
	length  time.Duration
	chunks  []chunk
	decodes []*run
}

// chunk is a part of one run's prefill.
type chunk struct {
	run    *run
	tokens int
}

func (s *step) empty() bool {
	return s.length == 0
}

// loop steps the engine until it is closed. Its steps follow each other without
// drift as long as there is work.
func (e *Engine) loop() {
	end := time.Now()
	for {
		if !e.pauseFrozen() {
			return
		}
		s, crash := e.plan()
		if crash {
			e.die(exitCrash)
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
		if !e.pauseFrozen() {
			return
		}
		e.apply(s)
	}
}

// pauseFrozen waits while the engine is frozen; false means that it is closed.
func (e *Engine) pauseFrozen() bool {
	for {
		changed := e.faults.wait()
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

// plan admits what fits and chooses the work of the next step. It tells whether
// a run that was admitted crashes the engine.
func (e *Engine) plan() (s step, crash bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.admit() {
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
		s.chunks = append(s.chunks, chunk{run: r, tokens: n})
	}
	if time.Now().Before(e.assistUntil) {
		budget = 0 // another engine's gang computes with what is left
	}
	computed := float64(e.opts.ChunkTokens) - budget
	s.length = time.Duration(computed / e.opts.PrefillTPS * float64(time.Second))
	if len(s.decodes) > 0 {
		s.length += e.opts.DecodeStep
	}
	return s, false
}

// admit starts queued runs in order of urgency while memory and batch allow. A
// run that does not fit is not overtaken.
func (e *Engine) admit() (crash bool) {
	for len(e.queue) > 0 && len(e.active) < e.opts.Batch {
		r := e.queue[0]
		_, reserved := r.req.ReservationID.Get()
		if !reserved && r.need() > e.free() {
			return false
		}
		e.queue = e.queue[1:]
		e.start(r, reserved)
		if r.crashes {
			e.witness.set(r.witness, RunCrashed)
			return true
		}
	}
	return false
}

func (e *Engine) start(r *run, reserved bool) {
	// The prefix is looked up before memory is taken, which may evict it.
	r.cached = min(e.cache.lookup(r.req.PrefixBlocks), r.promptTokens-1)
	if !reserved {
		r.held = r.need()
		e.hold(r.held)
	}
	r.prefillLeft = r.promptTokens - r.cached + r.req.ResumeFrom
	r.phase = phasePrefill
	at, _ := slices.BinarySearchFunc(e.active, r, byUrgency)
	e.active = slices.Insert(e.active, at, r)
	state := RunStarted
	if r.stream == nil {
		state = RunOrphaned
	}
	e.witness.set(r.witness, state)
}

// apply carries out a step whose time has passed. Runs that ended meanwhile are
// left out.
func (e *Engine) apply(s step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range s.decodes {
		if r.phase == phaseDecode {
			e.produce(r)
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
		e.produce(c.run)
	}
	if len(s.decodes) > 0 {
		e.stepTime += time.Duration(stepWeight * float64(s.length-e.stepTime))
	}
	e.noteLoad()
}

// produce makes one token of a run, and ends it with its last.
func (e *Engine) produce(r *run) {
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
	r.notify()
}
