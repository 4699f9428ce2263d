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
	// trialTimeout limits the time of a trial request: a write to the store and a read.
	trialTimeout = time.Second
	// trialMargin is how much longer than its request's deadline a trial counts as running.
	trialMargin = time.Second
	// trialRetryAfter is the retry delay sent to callers whose request has to wait for another
	// trial or for the store.
	trialRetryAfter = time.Second
)

// Trial is the permission to run a request that needs one once. End must be called when it is
// over. A nil Trial is valid and does nothing.
type Trial struct {
	tracker *Tracker
	id      string
	work    quarantine.Work

	ofParts bool // the request needs it for parts of its prompt only

	mu   sync.Mutex
	sent bool
	done bool
}

// Began records that the request's answer has begun. That ends a trial of parts.
func (r *Trial) Began() {
	if r != nil && r.ofParts {
		r.End(quarantine.TrialBegun)
	}
}

// MarkSent records that the request is sent to an upstream.
func (r *Trial) MarkSent() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = true
}

// WasSent reports whether the request was sent to an upstream under this trial.
func (r *Trial) WasSent() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent
}

// End records the outcome of the trial; only the first call counts. If the request was sent to no
// upstream, the outcome is TrialNotSent whatever the argument.
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
	own.trial.Outcome, own.outcomeUnwritten = outcome, true
	t.core.Merge(quarantine.Digest{Trials: []quarantine.Trial{own.withAge(now)}}, now)
	t.mu.Unlock()
	t.signalEvidence()
	notify(t.urgentWrite)
	t.log.WithFields(logrus.Fields{"work": formatHash(r.work.Fingerprint), "trial": r.id, "outcome": outcome.String()}).Info("trial_ended")
}

// Admit decides whether a request may be placed now. It returns a trial if the request may run only
// under one, a refusal if it must wait or is refused, and neither if it may run like any other. Of
// requests that need one for the same cause, one runs at a time among all daemons, in the store's order. The
// trial that the request already has, nil if none, is returned again unless its request was sent.
// life is the time that the request has left.
func (t *Tracker) Admit(ctx context.Context, w quarantine.Work, has *Trial, life time.Duration) (*Trial, *request.Refusal) {
	if refusal := t.Refusal(w, time.Now()); refusal != nil {
		has.End(quarantine.TrialNotSent)
		return nil, refusal
	}
	if has != nil && !has.WasSent() {
		return has, nil
	}
	now := time.Now()
	t.mu.Lock()
	standing, held := t.core.Standing(w, now), t.core.HeldFor(w, now)
	needed, verdict := t.core.NeedsTrial(w, now), t.core.EvaluateTrial("", w, now)
	store := t.store
	t.mu.Unlock()
	switch {
	case standing == quarantine.Held && store != nil:
		return nil, refuseForNow(max(held, trialRetryAfter))
	case !needed || store == nil:
		return nil, nil
	case verdict != quarantine.TrialGranted:
		return nil, refuseForNow(trialRetryAfter)
	}
	return t.requestTrial(ctx, store, w, life+trialMargin)
}

func refuseForNow(after time.Duration) *request.Refusal {
	return request.Refuse(request.CodeSuspect, after, "servers have crashed while running this request; it has to wait for its turn to be tried")
}

// requestTrial requests a trial through the store. While the store does not answer, a request with
// just enough deaths to need one gets an unconfirmed trial.
func (t *Tracker) requestTrial(ctx context.Context, store Store, w quarantine.Work, life time.Duration) (*Trial, *request.Refusal) {
	start := time.Now()
	r, own := t.newTrial(w, life, start)
	verdict, err := t.decideTrial(ctx, store, own, w)
	log := t.log.WithFields(logrus.Fields{
		"work": formatHash(w.Fingerprint), "parts": formatHashes(w.Parts), "trial": r.id, "of_parts": r.ofParts, "took_ms": time.Since(start).Milliseconds(),
	})
	switch {
	case err == nil:
		log.WithField("verdict", verdict.String()).Info("trial_decided")
		countTrial(verdict.String())
	case ctx.Err() == nil && t.mayRunUnconfirmed(w):
		log.WithError(err).Warn("trial_run_without_store")
		countTrial("unasked")
		t.mergeUnconfirmedTrial(own)
		return r, nil
	default:
		log.WithError(err).Warn("trial_undecided")
		countTrial("undecided")
	}
	if err == nil && verdict == quarantine.TrialGranted {
		return r, nil
	}
	r.End(quarantine.TrialNotSent)
	return nil, refuseForNow(trialRetryAfter)
}

// decideTrial writes a trial to the store, waits until it has been read back, and returns the verdict
// that follows from the store's order.
func (t *Tracker) decideTrial(ctx context.Context, store Store, own *ownTrial, w quarantine.Work) (quarantine.TrialVerdict, error) {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	if err := putTrial(ctx, store, own.withAge(own.requestedAt)); err != nil {
		return 0, err
	}
	if err := t.awaitReadBack(ctx, own.trial.ID); err != nil {
		return 0, err
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.core.Standing(w, now) >= quarantine.Held {
		return quarantine.TrialBusy, nil // the read brought other evidence
	}
	return t.core.EvaluateTrial(own.trial.ID, w, now), nil
}

func (t *Tracker) mayRunUnconfirmed(w quarantine.Work) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.MayRunUnconfirmed(w)
}

// mergeUnconfirmedTrial makes this daemon and, through digests, its peers aware of a trial that may
// be missing in the store.
func (t *Tracker) mergeUnconfirmedTrial(own *ownTrial) {
	now := time.Now()
	t.update(func() { t.core.Merge(quarantine.Digest{Trials: []quarantine.Trial{own.withAge(now)}}, now) })
	t.signalEvidence()
}

func countTrial(verdict string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`buckthorndock_trials_total{verdict=%q}`, verdict)).Inc()
}

// ownTrial is a trial of this daemon.
type ownTrial struct {
	trial            quarantine.Trial // Age unused
	requestedAt      time.Time
	outcomeUnwritten bool // the outcome is not in the store yet
}

func (o *ownTrial) withAge(now time.Time) quarantine.Trial {
	r := o.trial
	r.Age = now.Sub(o.requestedAt)
	return r
}

func (t *Tracker) newTrial(w quarantine.Work, life time.Duration, now time.Time) (*Trial, *ownTrial) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trialCount++
	id := fmt.Sprintf("%s/%x/%d", t.host, t.startedAt, t.trialCount)
	own := &ownTrial{
		trial:       quarantine.Trial{ID: id, Fingerprint: w.Fingerprint, Parts: t.core.SuspectParts(w), Host: t.host, Life: life},
		requestedAt: now,
	}
	t.trials[id] = own
	ofParts := t.core.Standing(quarantine.Work{Fingerprint: w.Fingerprint}, now) < quarantine.Isolate
	return &Trial{tracker: t, id: id, work: w, ofParts: ofParts}, own
}

// awaitReadBack waits until a trial has been read from the store, and thus all trials before it.
func (t *Tracker) awaitReadBack(ctx context.Context, id string) error {
	for {
		t.mu.Lock()
		read, seen := t.readDone, t.core.HasStoredTrial(id)
		t.mu.Unlock()
		if seen {
			return nil
		}
		t.requestRead()
		select {
		case <-read:
		case <-ctx.Done():
			return merry.Prepend(ctx.Err(), "trial not read back from the store")
		}
	}
}
