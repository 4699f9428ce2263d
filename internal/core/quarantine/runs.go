package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Run identifies one attempt of a work on an engine.
type Run uint64

type run struct {
	engine string
	Work
	trial          bool
	answeringSince time.Time // arrival of the first piece of its answer; zero before it
	begun          bool      // its answer has gone on for BeginTime, or is complete
}

// brokenRun is a run that broke off, possibly because its engine died.
type brokenRun struct {
	run
	at time.Time
}

// brokenRunTTL is how long after it broke a run counts as evidence if its engine turns out to be dead.
const brokenRunTTL = 30 * time.Second

// Started records that a work starts on an engine. End must be called with the returned Run at
// its end.
func (t *Tracker) Started(engine string, w Work) Run {
	return t.started(run{engine: engine, Work: w})
}

// StartedOnTrial is Started for a run under trial.
func (t *Tracker) StartedOnTrial(engine string, w Work) Run {
	return t.started(run{engine: engine, Work: w, trial: true})
}

func (t *Tracker) started(r run) Run {
	t.lastRun++
	t.runs[t.lastRun] = r
	if t.engines[r.engine] == nil {
		t.engines[r.engine] = make(map[Run]Work)
	}
	t.engines[r.engine][t.lastRun] = r.Work
	if len(t.openRecords[r.Fingerprint]) > 0 {
		t.version++
	}
	return t.lastRun
}

// End records that a run is over. A completed run clears its fingerprint from all
// deaths so far. The end of a run whose engine was recorded as dead has no effect.
func (t *Tracker) End(r Run, completed bool) {
	ended, ok := t.runs[r]
	if !ok {
		return
	}
	t.removeRun(r, ended.engine)
	if completed {
		t.dropBrokenRuns(ended.Fingerprint)
	}
	if len(t.openRecords[ended.Fingerprint]) == 0 {
		return
	}
	t.version++
	if completed {
		t.clearFromAll(ended.Fingerprint)
	}
}

// EndBroken ends a run that broke off, possibly because its engine died. EngineDied within
// brokenRunTTL counts the run as evidence; EngineAlive drops it.
func (t *Tracker) EndBroken(r Run, now time.Time) {
	if broke, ok := t.runs[r]; ok {
		t.brokenRuns[broke.engine] = append(t.brokenRuns[broke.engine], brokenRun{broke, now})
	}
	t.End(r, false)
}

// dropBrokenRuns drops the broken runs of a fingerprint that has completed since.
func (t *Tracker) dropBrokenRuns(fingerprint uint64) {
	for engine, runs := range t.brokenRuns {
		runs = slices.DeleteFunc(runs, func(r brokenRun) bool { return r.Fingerprint == fingerprint })
		t.brokenRuns[engine] = runs
		if len(runs) == 0 {
			delete(t.brokenRuns, engine)
		}
	}
}

// EngineAlive records that an engine has not died.
func (t *Tracker) EngineAlive(engine string) { delete(t.brokenRuns, engine) }

// HasBrokenRuns reports whether an engine has broken runs and has not been found alive or dead since.
func (t *Tracker) HasBrokenRuns(engine string) bool { return len(t.brokenRuns[engine]) > 0 }

func (t *Tracker) removeRun(r Run, engine string) {
	delete(t.runs, r)
	delete(t.engines[engine], r)
	if len(t.engines[engine]) == 0 {
		delete(t.engines, engine)
	}
}

// EngineDied records that an engine died and makes all that ran on it suspects. It
// returns these works, each once. The incarnation that died identifies reports
// of the same death. It must not be called for an engine that was merely unreachable.
func (t *Tracker) EngineDied(engine, incarnation string, now time.Time) []Work {
	dead := t.takeRuns(engine, now)
	if len(dead) == 0 {
		return nil
	}
	works := make(map[uint64]Work)
	for _, d := range dead {
		works[d.Fingerprint] = d.Work
	}
	r := t.addRecord(RecordID{engine, incarnation}, now, slices.Collect(maps.Keys(works)))
	for _, d := range dead {
		r.own[d.Fingerprint] = true
		t.markTried(r, d.Fingerprint, d.trial)
	}
	t.addPartsOf(r, dead)
	return slices.Collect(maps.Values(works))
}

// takeRuns removes and returns the runs on an engine, and those that broke off there.
func (t *Tracker) takeRuns(engine string, now time.Time) []run {
	var dead []run
	for id := range t.engines[engine] {
		dead = append(dead, t.runs[id])
		delete(t.runs, id)
	}
	for _, broke := range t.brokenRuns[engine] {
		if now.Sub(broke.at) < brokenRunTTL {
			dead = append(dead, broke.run)
		}
	}
	delete(t.engines, engine)
	delete(t.brokenRuns, engine)
	return dead
}

func (t *Tracker) isRunning(fingerprint uint64) bool {
	for _, r := range t.runs {
		if r.Fingerprint == fingerprint {
			return true
		}
	}
	for _, holds := range t.peerHolds {
		for _, h := range holds {
			if h.Fingerprint == fingerprint {
				return true
			}
		}
	}
	return false
}
