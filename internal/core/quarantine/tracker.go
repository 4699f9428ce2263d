package quarantine

import (
	"cmp"
	"time"
)

// Defaults of a Tracker.
const (
	DefaultCrashes     = 2
	DefaultFor         = 10 * time.Minute
	DefaultSettleAfter = 3 * time.Second
	DefaultMaxRecords  = 256
)

// Options configures a Tracker.
type Options struct {
	Host        string
	Crashes     int           // deaths of engines after which a proved fingerprint is refused; DefaultCrashes when zero
	For         time.Duration // how long it is refused, and evidence counts; DefaultFor when zero
	SettleAfter time.Duration // time for other hosts' part of a record to arrive; DefaultSettleAfter when zero, none when negative
	MaxRecords  int           // kept records, the newest; DefaultMaxRecords when zero
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
}

// RecordID names the death of one start of an engine.
type RecordID struct {
	Engine      string
	Incarnation string
}

// record is the evidence of one death: true for a fingerprint that was cleared.
type record struct {
	at      time.Time
	cleared map[uint64]bool
	open    int // not cleared
}

// Tracker holds the evidence of one host. It is not safe for concurrent use.
type Tracker struct {
	opts    Options
	lastRun Run
	runs    map[Run]run
	engines map[string]map[Run]uint64
	records map[RecordID]*record
	of      map[uint64][]*record // records in which a fingerprint is not cleared
	refused map[uint64]time.Time // until when
	holds   map[string][]Hold    // of other hosts
	version uint64
	expired time.Time // when expire ran last
}

// New returns a Tracker without evidence.
func New(o Options) *Tracker {
	t := &Tracker{
		runs:    make(map[Run]run),
		engines: make(map[string]map[Run]uint64),
		records: make(map[RecordID]*record),
		of:      make(map[uint64][]*record),
		refused: make(map[uint64]time.Time),
		holds:   make(map[string][]Hold),
	}
	t.SetOptions(o)
	return t
}

// SetOptions changes the options, as the settings do.
func (t *Tracker) SetOptions(o Options) {
	o.Crashes = cmp.Or(max(o.Crashes, 0), DefaultCrashes)
	o.For = cmp.Or(max(o.For, 0), DefaultFor)
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
	rs := t.of[fingerprint]
	if len(rs) == 0 {
		return Clear
	}
	if len(rs) < t.opts.Crashes {
		return Suspect
	}
	proved, settled := t.weigh(rs, now)
	switch {
	case !settled:
		return Held
	case !proved:
		return Isolate
	}
	t.refuse(fingerprint, now.Add(t.opts.For))
	return Refused
}

// Deaths returns the number of records in which a fingerprint is not cleared.
func (t *Tracker) Deaths(fingerprint uint64) int { return len(t.of[fingerprint]) }

// RefusedFor returns how long a fingerprint stays refused, zero when it is not.
func (t *Tracker) RefusedFor(fingerprint uint64, now time.Time) time.Duration {
	if t.Standing(fingerprint, now) != Refused {
		return 0
	}
	return t.refused[fingerprint].Sub(now)
}

// MayPlace reports whether a fingerprint may start on an engine now.
func (t *Tracker) MayPlace(engine string, fingerprint uint64, now time.Time) bool {
	if len(t.of) == 0 && len(t.refused) == 0 && len(t.holds) == 0 {
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
	t.lastRun++
	t.runs[t.lastRun] = run{engine, fingerprint}
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
	if len(t.of[ended.fingerprint]) == 0 {
		return
	}
	t.version++
	if completed {
		t.clear(ended.fingerprint)
	}
}

func (t *Tracker) forget(r Run, engine string) {
	delete(t.runs, r)
	delete(t.engines[engine], r)
	if len(t.engines[engine]) == 0 {
		delete(t.engines, engine)
	}
}

// Died notes that an engine died and makes all that ran on it suspects. It
// returns their fingerprints, each once. The incarnation, of the start that died,
// joins the reports of one death; one that was only out of reach is not a death.
func (t *Tracker) Died(engine, incarnation string, now time.Time) []uint64 {
	var ran []uint64
	seen := make(map[uint64]bool)
	for r, fingerprint := range t.engines[engine] {
		delete(t.runs, r)
		if !seen[fingerprint] {
			seen[fingerprint] = true
			ran = append(ran, fingerprint)
		}
	}
	delete(t.engines, engine)
	if len(ran) > 0 {
		t.addRecord(RecordID{engine, incarnation}, now, ran)
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
