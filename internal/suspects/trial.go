package suspects

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/quarantine"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

const (
	// trialWait bounds the question for a trial: a write and a read of the store.
	trialWait = time.Second
	// trialMargin is how much longer than its request a trial counts as running.
	trialMargin = time.Second
	// tryAgain is told to callers whose request waits for another trial, or for the store.
	tryAgain = time.Second
	// unprovenMost is the number of deaths up to which a request may run without the store's word.
	unprovenMost = 2
)

// Trial is the right to run a request once that has been in enough deaths. End must follow.
type Trial struct {
	tracker     *Tracker
	id          string
	fingerprint uint64

	mu   sync.Mutex
	sent bool
	done bool
}

// MarkSent notes that the request goes to an upstream.
func (r *Trial) MarkSent() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = true
}

// WasSent reports whether the request went to an upstream under this trial.
func (r *Trial) WasSent() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent
}

// End tells what became of the trial; the first word counts. One whose request went to no
// upstream was not sent, whatever is told.
func (r *Trial) End(outcome quarantine.TrialOutcome) {
	if r == nil {
		return
	}
	r.mu.Lock()
	done, sent := r.done, r.sent
	r.done = true
	r.mu.Unlock()
	if done {
		return
	}
	if !sent {
		outcome = quarantine.TrialNotSent
	}
	r.tracker.endTrial(r, outcome)
}

func (t *Tracker) endTrial(r *Trial, outcome quarantine.TrialOutcome) {
	now := time.Now()
	t.mu.Lock()
	own := t.trials[r.id]
	own.told.Outcome, own.unwritten = outcome, true
	t.core.Merge(quarantine.Digest{Trials: []quarantine.Trial{own.aged(now)}}, now)
	t.mu.Unlock()
	t.signal()
	wake(t.urgent)
	t.log.WithFields(logrus.Fields{"work": workName(r.fingerprint), "trial": r.id, "outcome": outcome.String()}).Info("trial_ended")
}

// Admit says whether a request may be placed now: as any other, where no trial is returned; under
// the trial; or, where a refusal is returned, later or not at all. A request that has been in
// enough deaths runs one copy at a time among all daemons, as the store orders them. It keeps the
// trial that it has, if that has come to nothing so far; without one, nil is given.
func (t *Tracker) Admit(ctx context.Context, fingerprint uint64, has *Trial, life time.Duration) (*Trial, *request.Refusal) {
	if refusal := t.Refusal(fingerprint, time.Now()); refusal != nil {
		has.End(quarantine.TrialNotSent)
		return nil, refusal
	}
	if has != nil && !has.WasSent() {
		return has, nil
	}
	now := time.Now()
	t.mu.Lock()
	standing, held := t.core.Standing(fingerprint, now), t.core.HeldFor(fingerprint, now)
	verdict, deaths := t.core.EvaluateTrial("", fingerprint, now), t.core.Deaths(fingerprint)
	store := t.store
	t.mu.Unlock()
	switch {
	case standing == quarantine.Held && store != nil:
		return nil, later(held)
	case standing != quarantine.Isolate || store == nil:
		return nil, nil
	case verdict != quarantine.TrialGranted:
		return nil, later(tryAgain)
	}
	return t.ask(ctx, store, fingerprint, life+trialMargin, deaths)
}

func later(after time.Duration) *request.Refusal {
	return request.Refuse(request.CodeSuspect, after, "servers have ended under this request, and its turn to be tried has not come")
}

// ask asks the store for a trial. While it does not answer, a request in few deaths runs without
// its word.
func (t *Tracker) ask(ctx context.Context, store Store, fingerprint uint64, life time.Duration, deaths int) (*Trial, *request.Refusal) {
	began := time.Now()
	r, own := t.newTrial(fingerprint, life, began)
	verdict, err := t.judged(ctx, store, own)
	log := t.log.WithFields(logrus.Fields{
		"work": workName(fingerprint), "trial": r.id, "deaths": deaths, "took_ms": time.Since(began).Milliseconds(),
	})
	switch {
	case err == nil:
		log.WithField("verdict", verdict.String()).Info("trial_judged")
		countTrial(verdict.String())
	case deaths <= unprovenMost && ctx.Err() == nil:
		log.WithError(err).Warn("trial_unasked")
		countTrial("unasked")
		t.noteUnasked(own)
		return r, nil
	default:
		log.WithError(err).Warn("trial_undecided")
		countTrial("undecided")
	}
	if err == nil && verdict == quarantine.TrialGranted {
		return r, nil
	}
	r.End(quarantine.TrialNotSent)
	return nil, later(tryAgain)
}

// judged writes a trial to the store, waits until it has been read back, and returns what the
// store's order says of it.
func (t *Tracker) judged(ctx context.Context, store Store, own *ownTrial) (quarantine.TrialVerdict, error) {
	ctx, cancel := context.WithTimeout(ctx, trialWait)
	defer cancel()
	if err := putTrial(ctx, store, own.aged(own.asked)); err != nil {
		return 0, err
	}
	if err := t.readBack(ctx, own.told.ID); err != nil {
		return 0, err
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.core.Standing(own.told.Fingerprint, now) != quarantine.Isolate {
		return quarantine.TrialBusy, nil // more was read meanwhile
	}
	return t.core.EvaluateTrial(own.told.ID, own.told.Fingerprint, now), nil
}

// noteUnasked has this daemon and its peers know of a trial that the store may not have.
func (t *Tracker) noteUnasked(own *ownTrial) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.Merge(quarantine.Digest{Trials: []quarantine.Trial{own.aged(now)}}, now)
}

func countTrial(verdict string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`buckthorndock_trials_total{verdict=%q}`, verdict)).Inc()
}

// ownTrial is a trial of this daemon as it is told to others.
type ownTrial struct {
	told      quarantine.Trial // without its age
	asked     time.Time
	unwritten bool // the store has not been told its outcome
}

func (o *ownTrial) aged(now time.Time) quarantine.Trial {
	told := o.told
	told.Age = now.Sub(o.asked)
	return told
}

func (t *Tracker) newTrial(fingerprint uint64, life time.Duration, now time.Time) (*Trial, *ownTrial) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastTrial++
	id := fmt.Sprintf("%s/%x/%d", t.host, t.born, t.lastTrial)
	own := &ownTrial{
		told:  quarantine.Trial{ID: id, Fingerprint: fingerprint, Host: t.host, Life: life},
		asked: now,
	}
	t.trials[id] = own
	return &Trial{tracker: t, id: id, fingerprint: fingerprint}, own
}

// readBack waits until a trial has been read from the store, so that all before it have been.
func (t *Tracker) readBack(ctx context.Context, id string) error {
	for {
		t.mu.Lock()
		read, seen := t.wasRead, t.core.HasStoredTrial(id)
		t.mu.Unlock()
		if seen {
			return nil
		}
		t.kickReader()
		select {
		case <-read:
		case <-ctx.Done():
			return merry.Prepend(ctx.Err(), "trial not read back")
		}
	}
}
