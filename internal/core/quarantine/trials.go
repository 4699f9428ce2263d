package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Bounds of the trials of one fingerprint.
const (
	// MaxTrials is the number of trials in which a fingerprint may run without completing. Deaths
	// shared with another fingerprint that is in at least as many deaths are not counted.
	MaxTrials = 2
	// MaxTrialSends is the number of trials whose request may have reached an upstream.
	MaxTrialSends = 3
)

// maxTrackedTrials limits the number of trials kept, of all fingerprints together.
const maxTrackedTrials = 1024

// TrialOutcome is the result of a trial.
type TrialOutcome uint8

// Outcomes of a trial. All but the first are final.
const (
	TrialOpen      TrialOutcome = iota // it may run, or its host has not reported its end
	TrialRan                           // it may have run and did not complete
	TrialDeclined                      // it was sent and the upstream did not run it
	TrialNotSent                       // it was not sent to an upstream
	TrialCompleted                     // the request completed
	TrialBegun                         // its answer has begun, which is all that a trial of parts has to show
)

var trialOutcomeNames = [...]string{"open", "ran", "declined", "not_sent", "completed", "begun"}

// String returns the outcome's name for logs.
func (o TrialOutcome) String() string {
	if int(o) >= len(trialOutcomeNames) {
		return "unknown"
	}
	return trialOutcomeNames[o]
}

// Trial is the permission to run a fingerprint with CrashThreshold or more deaths once. All hosts
// read the trials in the same order, that of the store.
//
// Invariant: of the open trials of a fingerprint only the first in that order may run, and it has
// ended before its Life has passed, by the clock of any host that has read it.
type Trial struct {
	ID          string // unique over all hosts and their incarnations
	Fingerprint uint64
	Parts       []uint64 // suspect parts of the request's prompt
	Host        string
	Life        time.Duration // time since the request for it after which it counts as ended
	Age         time.Duration // time since the request for it, when it was sent or read
	Outcome     TrialOutcome
}

// trial is a known trial.
type trial struct {
	Trial
	at       time.Time
	position uint64 // in the order of the store; zero: known only from a peer
}

// isOpen reports whether the trial may still run.
func (r *trial) isOpen(now time.Time) bool {
	return r.Outcome == TrialOpen && now.Sub(r.at) < r.Life
}

// countsAsRun reports whether the trial may still run or may have run without completing.
func (r *trial) countsAsRun(now time.Time) bool { return r.isOpen(now) || r.Outcome == TrialRan }

// countsAsSent reports whether the trial's request may have reached an upstream without completing.
// One whose host never reported its end may have.
func (r *trial) countsAsSent() bool {
	return r.Outcome != TrialNotSent && r.Outcome != TrialCompleted && r.Outcome != TrialBegun
}

// ApplyStoredTrial adds or updates a trial read from the store. Calls must follow the store's order.
func (t *Tracker) ApplyStoredTrial(stored Trial, now time.Time) {
	r := t.mergeTrial(stored, now)
	if r != nil && r.position == 0 {
		t.lastPosition++
		r.position = t.lastPosition
	}
}

// HasStoredTrial reports whether a trial has been read from the store.
func (t *Tracker) HasStoredTrial(id string) bool {
	r := t.trials[id]
	return r != nil && r.position > 0
}

// mergeTrial adds or updates a trial and returns it, nil when it is too old to count. A final
// outcome is not changed.
func (t *Tracker) mergeTrial(received Trial, now time.Time) *trial {
	if received.Age >= t.opts.QuarantineTime {
		return nil
	}
	r := t.trials[received.ID]
	if r == nil {
		r = t.addTrial(received, now)
	}
	if len(r.Parts) == 0 {
		r.Parts = received.Parts // it may have come first from a host of an earlier release, without them
	}
	if r.Outcome == TrialOpen && received.Outcome != TrialOpen {
		r.Outcome = received.Outcome
		t.version++
		switch received.Outcome {
		case TrialCompleted:
			t.clearAfterTrial(r.Fingerprint)
			t.clearParts(r.Parts)
		case TrialBegun:
			t.clearParts(r.Parts)
		}
	}
	return r
}

// addTrial adds a new trial as open. It drops the oldest one when maxTrackedTrials are kept.
func (t *Tracker) addTrial(received Trial, now time.Time) *trial {
	if len(t.trials) >= maxTrackedTrials {
		oldest := slices.MinFunc(slices.Collect(maps.Values(t.trials)), func(a, b *trial) int { return a.at.Compare(b.at) })
		t.dropTrial(oldest)
	}
	r := &trial{Trial: received, at: now.Add(-max(received.Age, 0))}
	r.Outcome = TrialOpen
	t.trials[r.ID] = r
	t.trialsOf[r.Fingerprint] = append(t.trialsOf[r.Fingerprint], r)
	t.version++
	return r
}

func (t *Tracker) dropTrial(r *trial) {
	delete(t.trials, r.ID)
	left := slices.DeleteFunc(t.trialsOf[r.Fingerprint], func(o *trial) bool { return o == r })
	t.trialsOf[r.Fingerprint] = left
	if len(left) == 0 {
		delete(t.trialsOf, r.Fingerprint)
		delete(t.derived, r.Fingerprint)
	}
	t.version++
}

// clearAfterTrial clears a fingerprint that completed under trial: its deaths and trials so far no
// longer count.
func (t *Tracker) clearAfterTrial(fingerprint uint64) {
	t.clearFromAll(fingerprint)
	for _, r := range t.trialsOf[fingerprint] {
		if r.Outcome != TrialOpen {
			r.Outcome = TrialCompleted
		}
	}
}

// TrialVerdict is the decision whether a trial may run.
type TrialVerdict uint8

// Verdicts.
const (
	TrialGranted TrialVerdict = iota // it may run
	TrialBusy                        // another trial of the fingerprint may be running
	TrialSpent                       // no more trials of the fingerprint may run
)

var trialVerdictNames = [...]string{"granted", "busy", "spent"}

// String returns the verdict's name for logs.
func (v TrialVerdict) String() string {
	if int(v) >= len(trialVerdictNames) {
		return "unknown"
	}
	return trialVerdictNames[v]
}

// EvaluateTrial returns whether a trial that has been read from the store may run now or, with an
// empty ID, whether a new trial may.
func (t *Tracker) EvaluateTrial(id string, w Work, now time.Time) TrialVerdict {
	if verdict := t.evaluateFingerprintTrial(id, w.Fingerprint, now); verdict != TrialGranted {
		return verdict
	}
	return t.evaluatePartTrial(id, w, now)
}

// evaluateFingerprintTrial is EvaluateTrial for the trials of one fingerprint.
func (t *Tracker) evaluateFingerprintTrial(id string, fingerprint uint64, now time.Time) TrialVerdict {
	own := t.trials[id]
	var ran, sent int
	busy := false
	for _, r := range t.trialsOf[fingerprint] {
		after := own != nil && r.position > own.position
		if r == own || after {
			continue
		}
		busy = busy || r.isOpen(now)
		if r.countsAsRun(now) {
			ran++
		}
		if r.countsAsSent() {
			sent++
		}
	}
	switch {
	case ran-t.excusedDeaths(fingerprint) >= MaxTrials || sent >= MaxTrialSends:
		return TrialSpent
	case busy:
		return TrialBusy
	}
	return TrialGranted
}

// excusedDeaths returns the number of deaths under trial that a fingerprint shares with another
// one that is in at least as many deaths.
func (t *Tracker) excusedDeaths(fingerprint uint64) int {
	n := 0
	for _, r := range t.openRecords[fingerprint] {
		if r.tried[fingerprint] && t.maxDeathsBeside(r, fingerprint) >= len(t.openRecords[fingerprint]) {
			n++
		}
	}
	return n
}

// maxDeathsBeside returns the highest number of deaths of the other open fingerprints of a record.
func (t *Tracker) maxDeathsBeside(r *record, except uint64) int {
	highest := 0
	for fingerprint, cleared := range r.cleared {
		if !cleared && fingerprint != except {
			highest = max(highest, len(t.openRecords[fingerprint]))
		}
	}
	return highest
}

// trialsSpentUntil returns the end of a fingerprint's refusal when its trials are used up and none of
// them may still be running.
func (t *Tracker) trialsSpentUntil(fingerprint uint64, now time.Time) (until time.Time, spent bool) {
	if len(t.trialsOf[fingerprint]) == 0 || t.evaluateFingerprintTrial("", fingerprint, now) != TrialSpent {
		return time.Time{}, false
	}
	for _, r := range t.trialsOf[fingerprint] {
		if !r.countsAsSent() {
			continue
		}
		if r.isOpen(now) {
			return time.Time{}, false
		}
		if end := r.at.Add(t.opts.QuarantineTime); end.After(until) {
			until = end
		}
	}
	return until, true
}

// provedByTrialUntil returns the end of a fingerprint's refusal when an upstream died while it ran
// under trial, and every other open fingerprint of that record has been in no other death. If one
// of them were the cause, it would be in other deaths by now, or soon will be, and then the refusal
// ends.
func (t *Tracker) provedByTrialUntil(fingerprint uint64, now time.Time) (until time.Time, proved bool) {
	rs := t.openRecords[fingerprint]
	if len(rs) < t.opts.CrashThreshold {
		return time.Time{}, false
	}
	for _, r := range rs {
		if !r.tried[fingerprint] || now.Sub(r.at) < t.opts.SettleAfter || t.maxDeathsBeside(r, fingerprint) > 1 {
			continue
		}
		if end := r.at.Add(t.opts.QuarantineTime); end.After(until) {
			until = end
		}
	}
	return until, !until.IsZero()
}

// digestTrials returns all known trials, ordered by ID.
func (t *Tracker) digestTrials(now time.Time) []Trial {
	var all []Trial
	for _, r := range t.trials {
		d := r.Trial
		d.Age = now.Sub(r.at)
		all = append(all, d)
	}
	slices.SortFunc(all, func(a, b Trial) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// expireTrials drops the trials that are too old to count.
func (t *Tracker) expireTrials(now time.Time) {
	for _, r := range t.trials {
		if now.Sub(r.at) >= t.opts.QuarantineTime {
			t.dropTrial(r)
		}
	}
}
