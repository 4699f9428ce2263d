package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Defaults of a Tracker.
const (
	DefaultCrashThreshold = 2
	DefaultQuarantineTime = 10 * time.Minute
	DefaultSettleAfter    = 3 * time.Second
	DefaultMaxRecords     = 256
)

// Options configures a Tracker.
type Options struct {
	Host           string
	CrashThreshold int           // deaths of engines after which a proved fingerprint is refused; DefaultCrashes when zero
	QuarantineTime time.Duration // how long it is refused, and evidence counts; DefaultFor when zero
	SettleAfter    time.Duration // time for other hosts' part of a record to arrive; DefaultSettleAfter when zero, none when negative
	MaxRecords     int           // kept records, the newest; DefaultMaxRecords when zero
}

// Standing is what the evidence says of a fingerprint.
type Standing uint8

// Standings, from the best.
const (
	Clear   Standing = iota // place it anywhere
	Suspect                 // place it apart from other suspects
	Isolate                 // place it where nothing else runs
	Held                    // do not place it until its last crash has settled
	Refused                 // refuse it at once
)

var standingNames = [...]string{"clear", "suspect", "isolate", "held", "refused"}

// String returns the standing's name for logs.
func (s Standing) String() string {
	if int(s) >= len(standingNames) {
		return "unknown"
	}
	return standingNames[s]
}

// Run is one attempt of a fingerprint on an engine.
type Run uint64

type run struct {
	engine      string
	fingerprint uint64
	trial       bool
}

// brokenRun is a run that broke when its engine may have died.
type brokenRun struct {
	run
	at time.Time
}

// brokenFor is how long a broken run waits for word of its engine.
const brokenFor = 30 * time.Second

// RecordID names the death of one start of an engine.
type RecordID struct {
	Engine      string
	Incarnation string
}

// record is the evidence of one death: true for a fingerprint that was cleared.
type record struct {
	at      time.Time
	cleared map[uint64]bool
	open    int             // not cleared
	tried   map[uint64]bool // ran under trial
	own     map[uint64]bool // ran for this host
}

// Tracker holds the evidence of one host. It is not safe for concurrent use.
type Tracker struct {
	opts     Options
	lastRun  Run
	runs     map[Run]run
	engines  map[string]map[Run]uint64
	records  map[RecordID]*record
	of       map[uint64][]*record   // records in which a fingerprint is not cleared
	refused  map[uint64]time.Time   // until when
	holds    map[string][]Hold      // of other hosts
	broken   map[string][]brokenRun // by engine
	trials   map[string]*trial      // by ID
	trialsOf map[uint64][]*trial    // by fingerprint
	derived  map[uint64]bool        // refusals that follow from trials, as they were told
	version  uint64
	expired  time.Time // when expire ran last

	lastTrial uint64 // place of the newest that was read
}

// New returns a Tracker without evidence.
func New(o Options) *Tracker {
	t := &Tracker{
		runs:     make(map[Run]run),
		engines:  make(map[string]map[Run]uint64),
		records:  make(map[RecordID]*record),
		of:       make(map[uint64][]*record),
		refused:  make(map[uint64]time.Time),
		holds:    make(map[string][]Hold),
		broken:   make(map[string][]brokenRun),
		trials:   make(map[string]*trial),
		trialsOf: make(map[uint64][]*trial),
		derived:  make(map[uint64]bool),
	}
	t.SetOptions(o)
	return t
}

// SetOptions changes the options, as the settings do.
func (t *Tracker) SetOptions(o Options) {
	o.CrashThreshold = cmp.Or(max(o.CrashThreshold, 0), DefaultCrashThreshold)
	o.QuarantineTime = cmp.Or(max(o.QuarantineTime, 0), DefaultQuarantineTime)
	o.SettleAfter = max(cmp.Or(o.SettleAfter, DefaultSettleAfter), 0)
	o.MaxRecords = cmp.Or(max(o.MaxRecords, 0), DefaultMaxRecords)
	t.opts = o
}

// Standing returns what the evidence says of a fingerprint now.
func (t *Tracker) Standing(fingerprint uint64, now time.Time) Standing {
	if t.isRefused(fingerprint, now) {
		return Refused
	}
	t.expire(now)
	if _, spent := t.spentUntil(fingerprint, now); spent {
		return t.derive(fingerprint)
	}
	rs := t.of[fingerprint]
	if len(rs) == 0 {
		return Clear
	}
	if len(rs) < t.opts.CrashThreshold {
		return Suspect
	}
	if _, condemned := t.condemnedUntil(fingerprint, now); condemned {
		return t.derive(fingerprint)
	}
	proved, settled := t.weigh(rs, now)
	switch {
	case !settled:
		return Held
	case !proved:
		return Isolate
	}
	t.refuse(fingerprint, now.Add(t.opts.QuarantineTime))
	return Refused
}

// Deaths returns the number of records in which a fingerprint is not cleared.
func (t *Tracker) Deaths(fingerprint uint64) int { return len(t.of[fingerprint]) }

// derive notes a refusal that follows from trials: hosts of former releases are to be told.
func (t *Tracker) derive(fingerprint uint64) Standing {
	if !t.derived[fingerprint] {
		t.derived[fingerprint] = true
		t.version++
	}
	return Refused
}

// RefusedFor returns how long a fingerprint stays refused, zero when it is not.
func (t *Tracker) RefusedFor(fingerprint uint64, now time.Time) time.Duration {
	if t.Standing(fingerprint, now) != Refused {
		return 0
	}
	until := t.refused[fingerprint]
	for _, told := range []func(uint64, time.Time) (time.Time, bool){t.spentUntil, t.condemnedUntil} {
		if end, _ := told(fingerprint, now); end.After(until) {
			until = end
		}
	}
	return until.Sub(now)
}

// HeldFor returns how long a fingerprint waits for its last death to settle.
func (t *Tracker) HeldFor(fingerprint uint64, now time.Time) time.Duration {
	var left time.Duration
	for _, r := range t.of[fingerprint] {
		left = max(left, t.opts.SettleAfter-now.Sub(r.at))
	}
	return left
}

// MayPlace reports whether a fingerprint may start on an engine now.
func (t *Tracker) MayPlace(engine string, fingerprint uint64, now time.Time) bool {
	if len(t.of) == 0 && len(t.refused) == 0 && len(t.holds) == 0 && len(t.trials) == 0 {
		return true
	}
	standing := t.Standing(fingerprint, now)
	if standing == Held || standing == Refused {
		return false
	}
	if standing != Clear && t.runsAnywhere(fingerprint) {
		return false
	}
	for _, other := range t.engines[engine] {
		if !beside(standing, t.Standing(other, now)) {
			return false
		}
	}
	for _, holds := range t.holds {
		for _, h := range holds {
			if h.Engine == engine && !beside(standing, h.Standing) {
				return false
			}
		}
	}
	return true
}

// beside reports whether two requests may run on one engine.
func beside(a, b Standing) bool {
	if a >= Isolate || b >= Isolate {
		return false
	}
	return a == Clear || b == Clear
}

// Started notes that a fingerprint begins on an engine. End must be called with
// the Run at its end.
func (t *Tracker) Started(engine string, fingerprint uint64) Run {
	return t.started(run{engine: engine, fingerprint: fingerprint})
}

// StartedOnTrial is Started for a run under trial.
func (t *Tracker) StartedOnTrial(engine string, fingerprint uint64) Run {
	return t.started(run{engine: engine, fingerprint: fingerprint, trial: true})
}

func (t *Tracker) started(r run) Run {
	engine, fingerprint := r.engine, r.fingerprint
	t.lastRun++
	t.runs[t.lastRun] = r
	if t.engines[engine] == nil {
		t.engines[engine] = make(map[Run]uint64)
	}
	t.engines[engine][t.lastRun] = fingerprint
	if len(t.of[fingerprint]) > 0 {
		t.version++
	}
	return t.lastRun
}

// End notes that a run is over. One that completed clears its fingerprint of all
// deaths so far. The end of a run whose engine was told dead changes nothing.
func (t *Tracker) End(r Run, completed bool) {
	ended, ok := t.runs[r]
	if !ok {
		return
	}
	t.forget(r, ended.engine)
	if completed {
		t.forgetBroken(ended.fingerprint)
	}
	if len(t.of[ended.fingerprint]) == 0 {
		return
	}
	t.version++
	if completed {
		t.clear(ended.fingerprint)
	}
}

// EndBroken notes that a run broke in a way in which a death of its engine shows, while nothing tells
// whether it died. If it did, Died within brokenFor counts the run; Lives drops it.
func (t *Tracker) EndBroken(r Run, now time.Time) {
	if broke, ok := t.runs[r]; ok {
		t.broken[broke.engine] = append(t.broken[broke.engine], brokenRun{broke, now})
	}
	t.End(r, false)
}

// forgetBroken drops the broken runs of a fingerprint, which has completed since.
func (t *Tracker) forgetBroken(fingerprint uint64) {
	for engine, runs := range t.broken {
		runs = slices.DeleteFunc(runs, func(r brokenRun) bool { return r.fingerprint == fingerprint })
		t.broken[engine] = runs
		if len(runs) == 0 {
			delete(t.broken, engine)
		}
	}
}

// EngineAlive notes that an engine has not died.
func (t *Tracker) EngineAlive(engine string) { delete(t.broken, engine) }

// HasBrokenRuns reports whether a run has broken on an engine of which nothing was heard since.
func (t *Tracker) HasBrokenRuns(engine string) bool { return len(t.broken[engine]) > 0 }

func (t *Tracker) forget(r Run, engine string) {
	delete(t.runs, r)
	delete(t.engines[engine], r)
	if len(t.engines[engine]) == 0 {
		delete(t.engines, engine)
	}
}

// EngineDied notes that an engine died and makes all that ran on it suspects. It
// returns their fingerprints, each once. The incarnation, of the start that died,
// joins the reports of one death; one that was only out of reach is not a death.
func (t *Tracker) EngineDied(engine, incarnation string, now time.Time) []uint64 {
	tried := make(map[uint64]bool) // all that ran: whether under trial
	for r := range t.engines[engine] {
		dead := t.runs[r]
		tried[dead.fingerprint] = tried[dead.fingerprint] || dead.trial
		delete(t.runs, r)
	}
	for _, broke := range t.broken[engine] {
		if now.Sub(broke.at) < brokenFor {
			tried[broke.fingerprint] = tried[broke.fingerprint] || broke.trial
		}
	}
	delete(t.engines, engine)
	delete(t.broken, engine)
	ran := slices.Collect(maps.Keys(tried))
	if len(ran) == 0 {
		return nil
	}
	r := t.addRecord(RecordID{engine, incarnation}, now, ran)
	for fingerprint, trial := range tried {
		r.own[fingerprint] = true
		t.tryIn(r, fingerprint, trial)
	}
	return ran
}

func (t *Tracker) runsAnywhere(fingerprint uint64) bool {
	for _, r := range t.runs {
		if r.fingerprint == fingerprint {
			return true
		}
	}
	for _, holds := range t.holds {
		for _, h := range holds {
			if h.Fingerprint == fingerprint {
				return true
			}
		}
	}
	return false
}
