package quarantine

import (
	"cmp"
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
	CrashThreshold int           // deaths of engines after which a proven cause is refused; DefaultCrashThreshold when zero
	QuarantineTime time.Duration // how long a refusal lasts and evidence counts; DefaultQuarantineTime when zero
	SettleAfter    time.Duration // time for other hosts' parts of a record to arrive; DefaultSettleAfter when zero, none when negative
	MaxRecords     int           // number of records kept, the newest; DefaultMaxRecords when zero
}

// Standing is the status of a fingerprint according to the evidence.
type Standing uint8

// Standings, from the least to the most restrictive.
const (
	Clear   Standing = iota // place it anywhere
	Suspect                 // place it apart from other suspects
	Isolate                 // place it where nothing else runs
	Held                    // do not place it until its last death has settled
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

// MaxParts is the number of parts of one work that count. Adapters leave out the others.
const MaxParts = 32

// Work is what an engine runs for one request, and all its repeats.
type Work struct {
	Fingerprint uint64   // of the whole request
	Parts       []uint64 // of its prompt that other requests may share, at most MaxParts
}

// RecordID identifies the death of one incarnation of an engine.
type RecordID struct {
	Engine      string
	Incarnation string
}

// record is the evidence of one death. Its maps are keyed by fingerprint.
type record struct {
	at        time.Time
	cleared   map[uint64]bool // all that ran: whether it completed afterwards
	openCount int             // not cleared
	tried     map[uint64]bool // those that ran under trial
	own       map[uint64]bool // those that ran for this host

	works     map[uint64][]uint64 // by fingerprint: parts of those whose answers had not begun
	workParts int                 // in works
	parts     map[uint64]bool     // these parts and others: whether an answer with them has begun

	clearedParts int // in parts
}

// Tracker holds the evidence of one host. It is not safe for concurrent use.
type Tracker struct {
	opts        Options
	lastRun     Run
	runs        map[Run]run
	engines     map[string]map[Run]Work
	records     map[RecordID]*record
	openRecords map[uint64][]*record   // by fingerprint: records in which it is not cleared
	refused     map[uint64]time.Time   // by fingerprint: end of the refusal
	peerHolds   map[string][]Hold      // by host
	brokenRuns  map[string][]brokenRun // by engine
	trials      map[string]*trial      // by ID
	trialsOf    map[uint64][]*trial    // by fingerprint
	derived     map[uint64]bool        // by fingerprint: its refusal, which follows from trials, raised version
	version     uint64
	lastExpiry  time.Time // time of the last scan by expire

	lastPosition uint64 // store position of the newest trial read

	begins    recentBegins
	openParts map[uint64][]*record // by part: records in which it is not cleared
}

// New returns a Tracker without evidence.
func New(o Options) *Tracker {
	t := &Tracker{
		runs:        make(map[Run]run),
		engines:     make(map[string]map[Run]Work),
		records:     make(map[RecordID]*record),
		openRecords: make(map[uint64][]*record),
		refused:     make(map[uint64]time.Time),
		peerHolds:   make(map[string][]Hold),
		brokenRuns:  make(map[string][]brokenRun),
		trials:      make(map[string]*trial),
		trialsOf:    make(map[uint64][]*trial),
		derived:     make(map[uint64]bool),
		openParts:   make(map[uint64][]*record),
	}
	t.SetOptions(o)
	return t
}

// SetOptions replaces the options, for example after a change of the settings.
func (t *Tracker) SetOptions(o Options) {
	o.CrashThreshold = cmp.Or(max(o.CrashThreshold, 0), DefaultCrashThreshold)
	o.QuarantineTime = cmp.Or(max(o.QuarantineTime, 0), DefaultQuarantineTime)
	o.SettleAfter = max(cmp.Or(o.SettleAfter, DefaultSettleAfter), 0)
	o.MaxRecords = cmp.Or(max(o.MaxRecords, 0), DefaultMaxRecords)
	t.opts = o
}

// Standing returns the standing of a work at a time.
func (t *Tracker) Standing(w Work, now time.Time) Standing {
	standing := t.fingerprintStanding(w.Fingerprint, now)
	switch parts, _ := t.evaluateParts(w, now); parts {
	case partsOnTrial:
		return max(standing, Suspect)
	case partsHeld:
		return max(standing, Held)
	case partsRefused:
		return Refused
	}
	return standing
}

// NeedsTrial reports whether a work may start only under a trial.
func (t *Tracker) NeedsTrial(w Work, now time.Time) bool {
	if t.fingerprintStanding(w.Fingerprint, now) == Isolate {
		return true
	}
	parts, _ := t.evaluateParts(w, now)
	return parts == partsOnTrial
}

// MayRunUnconfirmed reports whether a work that needs a trial may run under one that the store has
// not confirmed: it has just enough deaths to need one.
func (t *Tracker) MayRunUnconfirmed(w Work) bool {
	if len(t.openRecords[w.Fingerprint]) > maxUnconfirmedDeaths {
		return false
	}
	return !slices.ContainsFunc(t.SuspectParts(w), func(p uint64) bool { return len(t.openParts[p]) > PartThreshold })
}

// maxUnconfirmedDeaths is the number of deaths up to which a fingerprint may run under a trial that
// the store has not confirmed.
const maxUnconfirmedDeaths = 2

// fingerprintStanding returns the standing that follows from the deaths of one fingerprint.
func (t *Tracker) fingerprintStanding(fingerprint uint64, now time.Time) Standing {
	if t.isRefused(fingerprint, now) {
		return Refused
	}
	t.expire(now)
	if _, spent := t.trialsSpentUntil(fingerprint, now); spent {
		return t.noteDerivedRefusal(fingerprint)
	}
	rs := t.openRecords[fingerprint]
	if len(rs) == 0 {
		return Clear
	}
	if len(rs) < t.opts.CrashThreshold {
		return Suspect
	}
	if _, proved := t.provedByTrialUntil(fingerprint, now); proved {
		return t.noteDerivedRefusal(fingerprint)
	}
	proved, settled := t.evaluateRecords(rs, now)
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
func (t *Tracker) Deaths(fingerprint uint64) int { return len(t.openRecords[fingerprint]) }

// noteDerivedRefusal raises the version for a refusal that follows from trials, because hosts of
// earlier releases need it in the digest. It returns Refused.
func (t *Tracker) noteDerivedRefusal(fingerprint uint64) Standing {
	if !t.derived[fingerprint] {
		t.derived[fingerprint] = true
		t.version++
	}
	return Refused
}

// RefusedFor returns how long a work stays refused, zero when it is not refused.
func (t *Tracker) RefusedFor(w Work, now time.Time) time.Duration {
	left := t.fingerprintRefusedFor(w.Fingerprint, now)
	if parts, until := t.evaluateParts(w, now); parts == partsRefused {
		left = max(left, until.Sub(now))
	}
	return left
}

// fingerprintRefusedFor is RefusedFor for a fingerprint's own refusal.
func (t *Tracker) fingerprintRefusedFor(fingerprint uint64, now time.Time) time.Duration {
	if t.fingerprintStanding(fingerprint, now) != Refused {
		return 0
	}
	until := t.refused[fingerprint]
	for _, refusalEnd := range []func(uint64, time.Time) (time.Time, bool){t.trialsSpentUntil, t.provedByTrialUntil} {
		if end, _ := refusalEnd(fingerprint, now); end.After(until) {
			until = end
		}
	}
	return until.Sub(now)
}

// HeldFor returns the time until the last death of a work's fingerprint settles, zero when all have
// settled.
func (t *Tracker) HeldFor(w Work, now time.Time) time.Duration {
	var left time.Duration
	for _, r := range t.openRecords[w.Fingerprint] {
		left = max(left, t.opts.SettleAfter-now.Sub(r.at))
	}
	return left
}

// MayPlace reports whether a work may start on an engine now.
func (t *Tracker) MayPlace(engine string, w Work, now time.Time) bool {
	if len(t.openRecords) == 0 && len(t.openParts) == 0 && len(t.refused) == 0 && len(t.peerHolds) == 0 && len(t.trials) == 0 {
		return true
	}
	standing := t.Standing(w, now)
	if standing == Held || standing == Refused {
		return false
	}
	if standing != Clear && (t.isRunning(w.Fingerprint) || t.isSuspectPartRunning(w)) {
		return false
	}
	for _, other := range t.engines[engine] {
		if !mayRunTogether(standing, t.Standing(other, now)) {
			return false
		}
	}
	for _, holds := range t.peerHolds {
		for _, h := range holds {
			if h.Engine == engine && !mayRunTogether(standing, h.Standing) {
				return false
			}
		}
	}
	return true
}

// mayRunTogether reports whether requests of two standings may run on one engine.
func mayRunTogether(a, b Standing) bool {
	if a >= Isolate || b >= Isolate {
		return false
	}
	return a == Clear || b == Clear
}
