package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Bounds of the trials of one fingerprint.
const (
	// MaxTrials is how often one that never completes may run under trial and have nothing that
	// speaks for it.
	MaxTrials = 2
	// MaxTrialSends counts all that may have reached an upstream.
	MaxTrialSends = 3
)

// mostTrials bounds the trials of all fingerprints that are remembered.
const mostTrials = 1024

// TrialOutcome says what became of a trial.
type TrialOutcome uint8

// Outcomes of a trial. All but the first are final.
const (
	TrialOpen      TrialOutcome = iota // it may run, or its host has not told
	TrialRan                           // it may have run, and did not complete
	TrialDeclined                      // it was sent, and the upstream did not run it
	TrialNotSent                       //
	TrialCompleted                     // the request ran to its end
)

var trialOutcomeNames = [...]string{"open", "ran", "declined", "not_sent", "completed"}

// String returns the outcome's name for logs.
func (o TrialOutcome) String() string {
	if int(o) >= len(trialOutcomeNames) {
		return "unknown"
	}
	return trialOutcomeNames[o]
}

// Trial is the right to run a fingerprint once that has been in enough deaths. All hosts read
// the trials in one order, that of the store.
//
// Invariant: of the open trials of a fingerprint only the first in that order may run, and it has
// ended before its Life has passed, by the clock of any host that has read of it.
type Trial struct {
	ID          string // unique, over all hosts and their lives
	Fingerprint uint64
	Host        string
	Life        time.Duration // since it was asked for
	Age         time.Duration // since it was asked for, as spread or read
	Outcome     TrialOutcome
}

// trial is what is known of one.
type trial struct {
	Trial
	at    time.Time
	place uint64 // in the order of the store; zero: heard from a peer alone
}

// open reports whether it may still run.
func (r *trial) open(now time.Time) bool {
	return r.Outcome == TrialOpen && now.Sub(r.at) < r.Life
}

// ran reports whether it may run, or has run without completing.
func (r *trial) ran(now time.Time) bool { return r.open(now) || r.Outcome == TrialRan }

// sent reports whether an upstream may have got it. One whose host never told may have been.
func (r *trial) sent() bool { return r.Outcome != TrialNotSent && r.Outcome != TrialCompleted }

// ApplyStoredTrial takes in what the store has of a trial, in the store's order.
func (t *Tracker) ApplyStoredTrial(read Trial, now time.Time) {
	r := t.hearTrial(read, now)
	if r != nil && r.place == 0 {
		t.lastTrial++
		r.place = t.lastTrial
	}
}

// HasStoredTrial reports whether a trial has been read from the store.
func (t *Tracker) HasStoredTrial(id string) bool {
	r := t.trials[id]
	return r != nil && r.place > 0
}

// hearTrial takes in what is said of a trial; nil: it is too old to count. What is final stays.
func (t *Tracker) hearTrial(heard Trial, now time.Time) *trial {
	if heard.Age >= t.opts.QuarantineTime {
		return nil
	}
	r := t.trials[heard.ID]
	if r == nil {
		r = t.addTrial(heard, now)
	}
	if r.Outcome == TrialOpen && heard.Outcome != TrialOpen {
		r.Outcome = heard.Outcome
		t.version++
		if heard.Outcome == TrialCompleted {
			t.acquit(r.Fingerprint)
		}
	}
	return r
}

// addTrial notes a trial that was not known. The oldest is dropped when there are too many.
func (t *Tracker) addTrial(heard Trial, now time.Time) *trial {
	if len(t.trials) >= mostTrials {
		oldest := slices.MinFunc(slices.Collect(maps.Values(t.trials)), func(a, b *trial) int { return a.at.Compare(b.at) })
		t.dropTrial(oldest)
	}
	r := &trial{Trial: heard, at: now.Add(-max(heard.Age, 0))}
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

// acquit clears a fingerprint that completed under trial: its deaths and trials so far count no
// more.
func (t *Tracker) acquit(fingerprint uint64) {
	t.clear(fingerprint)
	for _, r := range t.trialsOf[fingerprint] {
		if r.Outcome != TrialOpen {
			r.Outcome = TrialCompleted
		}
	}
}

// TrialVerdict says what a host may do about a trial.
type TrialVerdict uint8

// Verdicts.
const (
	TrialGranted TrialVerdict = iota // it may run
	TrialBusy                        // another one runs
	TrialSpent                       // none may run any more
)

var trialVerdictNames = [...]string{"granted", "busy", "spent"}

// String returns the verdict's name for logs.
func (v TrialVerdict) String() string {
	if int(v) >= len(trialVerdictNames) {
		return "unknown"
	}
	return trialVerdictNames[v]
}

// EvaluateTrial says whether a trial that has been read may run now; with an empty ID, whether one
// that is asked for may.
func (t *Tracker) EvaluateTrial(id string, fingerprint uint64, now time.Time) TrialVerdict {
	own := t.trials[id]
	var ran, sent int
	busy := false
	for _, r := range t.trialsOf[fingerprint] {
		after := own != nil && r.place > own.place
		if r == own || after {
			continue
		}
		busy = busy || r.open(now)
		if r.ran(now) {
			ran++
		}
		if r.sent() {
			sent++
		}
	}
	switch {
	case ran-t.excused(fingerprint) >= MaxTrials || sent >= MaxTrialSends:
		return TrialSpent
	case busy:
		return TrialBusy
	}
	return TrialGranted
}

// excused returns how often a fingerprint died under trial beside one that is in as many deaths.
func (t *Tracker) excused(fingerprint uint64) int {
	n := 0
	for _, r := range t.of[fingerprint] {
		if r.tried[fingerprint] && t.mostDeathsBeside(r, fingerprint) >= len(t.of[fingerprint]) {
			n++
		}
	}
	return n
}

// mostDeathsBeside returns in how many records one of the others in a record is, at the most.
func (t *Tracker) mostDeathsBeside(r *record, but uint64) int {
	most := 0
	for fingerprint, cleared := range r.cleared {
		if !cleared && fingerprint != but {
			most = max(most, len(t.of[fingerprint]))
		}
	}
	return most
}

// spentUntil returns until when a fingerprint is refused because its trials are used up and none
// of them runs any more.
func (t *Tracker) spentUntil(fingerprint uint64, now time.Time) (until time.Time, spent bool) {
	if len(t.trialsOf[fingerprint]) == 0 || t.EvaluateTrial("", fingerprint, now) != TrialSpent {
		return time.Time{}, false
	}
	for _, r := range t.trialsOf[fingerprint] {
		if !r.sent() {
			continue
		}
		if r.open(now) {
			return time.Time{}, false
		}
		if end := r.at.Add(t.opts.QuarantineTime); end.After(until) {
			until = end
		}
	}
	return until, true
}

// condemnedUntil returns until when a fingerprint is refused because an upstream died when it ran
// under trial, and whatever else died there has been in no other death: a cause that came there
// by chance would be in others by now, or be so soon, and the refusal is over then.
func (t *Tracker) condemnedUntil(fingerprint uint64, now time.Time) (until time.Time, condemned bool) {
	rs := t.of[fingerprint]
	if len(rs) < t.opts.CrashThreshold {
		return time.Time{}, false
	}
	for _, r := range rs {
		if !r.tried[fingerprint] || now.Sub(r.at) < t.opts.SettleAfter || t.mostDeathsBeside(r, fingerprint) > 1 {
			continue
		}
		if end := r.at.Add(t.opts.QuarantineTime); end.After(until) {
			until = end
		}
	}
	return until, !until.IsZero()
}

// digestTrials returns what is known of all trials.
func (t *Tracker) digestTrials(now time.Time) []Trial {
	var all []Trial
	for _, r := range t.trials {
		told := r.Trial
		told.Age = now.Sub(r.at)
		all = append(all, told)
	}
	slices.SortFunc(all, func(a, b Trial) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// expireTrials forgets those that count no more.
func (t *Tracker) expireTrials(now time.Time) {
	for _, r := range t.trials {
		if now.Sub(r.at) >= t.opts.QuarantineTime {
			t.dropTrial(r)
		}
	}
}
