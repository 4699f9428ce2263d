package keyed

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// step is a part of a read: requests to one or more sources at the same time.
type step struct {
	store bool // the source is the store
	again bool // of the store: only while a read of it is open, whose answer may be lost
	// peers returns the sources otherwise. It is called when the step begins.
	peers  func(*hedgedRead) []membership.Member
	maxAge time.Duration // up to which a copy counts as fresh
	// hold is how long a peer may hold its answer back if the step begins while no request is open,
	// and hedgeHold if it begins beside others.
	hold, hedgeHold time.Duration
	readers         bool      // fresh data of the sources ends an outage of the store
	due             time.Time // the step begins then, whether or not the steps before have ended; zero: never
	// postpone returns before when the step must not begin although it is due; may be nil.
	postpone func() time.Time
	// eager is called when no request is open and reports whether the step is to begin then; nil: no.
	eager  func() bool
	before func() // called when the step begins eagerly; may be nil
}

// answer is what a source has answered.
type answer struct {
	step    *step
	host    string // of the peer; empty for the store
	began   time.Time
	reply   SinceReply
	records []platform.KeyedRecord
	ok      bool // the peer has answered
	store   storeAnswer
}

// hedgedRead is one read of a stream. It begins with one source, and asks further ones beside it as
// the data gets older, so that what a read takes is bounded by the age of the data, not by the sum
// of the waits on sources. The first fresh answer ends it; requests to peers that are still open
// then go on until their timeouts, so that silent peers are noticed, and their answers are dropped.
type hedgedRead struct {
	f       *Follower
	ctx     context.Context // of the Follower, for requests to peers
	steps   []step          // not begun yet
	answers chan answer
	open    int             // requests without an answer
	asked   map[string]bool // peers that were asked in this read
	err     error           // of the store, or errNothingFresh

	storeCtx  context.Context // of requests to the store; ends with the read
	restarted context.Context // is canceled by Follower.RestartRead
}

// hedge reads once by the steps. It returns nil if a source had fresh data.
func (f *Follower) hedge(ctx context.Context, steps []step) error {
	r := &hedgedRead{f: f, ctx: ctx, steps: steps, asked: map[string]bool{}, err: errNothingFresh}
	r.notBefore(time.Now())
	var restart, cancel context.CancelFunc
	r.restarted, restart = context.WithCancel(ctx)
	defer restart()
	r.storeCtx, cancel = context.WithCancel(r.restarted)
	defer cancel()
	r.answers = make(chan answer)
	f.beginRead(restart)
	defer f.beginRead(nil)
	return r.run()
}

// run begins the steps and handles the answers until the read ends.
func (r *hedgedRead) run() error {
	done := make(chan struct{})
	defer close(done)
	for {
		if r.restarted.Err() != nil {
			return r.canceled()
		}
		r.beginDue(done)
		if r.open == 0 {
			if r.beginEager(done) {
				continue
			}
			if !r.isStepDueSoon() {
				return r.err
			}
		}
		select {
		case a := <-r.answers:
			r.open--
			if ended, err := r.handle(a); ended {
				return err
			}
		case <-r.nextDue():
		case <-r.restarted.Done():
		}
	}
}

// canceled returns the error of a read that was canceled, by RestartRead or with its context.
func (r *hedgedRead) canceled() error {
	if err := r.ctx.Err(); err != nil {
		return err
	}
	return errRestarted
}

// nextDue returns a channel that receives a value when the next step is due; nil if none will be.
func (r *hedgedRead) nextDue() <-chan time.Time {
	next := r.firstDue()
	if next.IsZero() {
		return nil
	}
	return time.After(time.Until(next))
}

// firstDue returns when the next step is due, zero if none will be.
func (r *hedgedRead) firstDue() time.Time {
	var next time.Time
	for _, s := range r.steps {
		if !s.due.IsZero() && (next.IsZero() || s.due.Before(next)) {
			next = s.due
		}
	}
	return next
}

// notBefore makes no step due before a time.
func (r *hedgedRead) notBefore(t time.Time) {
	for i := range r.steps {
		if s := &r.steps[i]; !s.due.IsZero() {
			s.due = later(s.due, t)
		}
	}
}

// delay makes all steps due later.
func (r *hedgedRead) delay(d time.Duration) {
	for i := range r.steps {
		if s := &r.steps[i]; !s.due.IsZero() {
			s.due = s.due.Add(d)
		}
	}
}

// beginDue begins all steps that are due. After a time in which this process stood still, sources
// must have time to answer between two steps as before.
func (r *hedgedRead) beginDue(done chan struct{}) {
	now := time.Now()
	if late := now.Sub(r.firstDue()); !r.firstDue().IsZero() && late > r.f.part(gapFraction) {
		r.delay(late)
	}
	for {
		i := slices.IndexFunc(r.steps, func(s step) bool { return !s.due.IsZero() && !now.Before(s.due) })
		if i < 0 {
			return
		}
		if s := &r.steps[i]; s.postpone != nil && s.postpone().After(now) {
			s.due = s.postpone()
			continue
		}
		r.begin(i, done)
	}
}

// isStepDueSoon reports whether a step is due so soon that a read without open requests waits for it.
// It does only while the data is old, and not during an outage of the store, when no step is likely
// to succeed.
func (r *hedgedRead) isStepDueSoon() bool {
	at, ok := r.f.readAt()
	if !ok || time.Since(at) < r.f.part(takeOverFraction) || r.f.outage.reported(r.f.opts.Within) {
		return false
	}
	soon := time.Now().Add(r.f.part(lingerFraction))
	return slices.ContainsFunc(r.steps, func(s step) bool { return !s.due.IsZero() && s.due.Before(soon) })
}

// beginEager begins the next step that may begin because no request is open. It returns false if
// there is none.
func (r *hedgedRead) beginEager(done chan struct{}) bool {
	i := slices.IndexFunc(r.steps, func(s step) bool { return s.eager != nil && s.eager() })
	if i < 0 {
		return false
	}
	if r.steps[i].before != nil {
		r.steps[i].before()
	}
	r.begin(i, done)
	return true
}

// begin begins a step and removes it from the steps to come.
func (r *hedgedRead) begin(i int, done chan struct{}) {
	s := r.steps[i]
	r.steps = slices.Delete(r.steps, i, i+1)
	if s.store {
		if !s.again || r.f.attempts.isOpen(storeSource) {
			r.readStore(&s, done)
		}
		return
	}
	if r.open > 0 {
		s.hold = s.hedgeHold
	}
	for _, m := range s.peers(r) {
		if r.f.canAsk(m.Host) {
			r.askPeer(&s, m, done)
		}
	}
}

// canAsk reports whether a daemon is another one that is not avoided and has no open request.
func (f *Follower) canAsk(host string) bool {
	feed := f.opts.Feed
	return host != feed.host && !feed.isUnresponsive(host) && !f.attempts.isOpen(host)
}

// askPeer requests the records from a peer.
func (r *hedgedRead) askPeer(s *step, m membership.Member, done chan struct{}) {
	r.open++
	r.asked[m.Host] = true
	from, began := r.f.position().next, time.Now()
	end := r.f.attempts.begin(m.Host)
	go func() {
		a := answer{step: s, host: m.Host, began: began}
		var how outcome
		a.reply, a.records, how = r.f.askPeer(r.ctx, m, from, s.hold)
		a.ok = how == answered
		end(how)
		r.send(a, done)
	}()
}

// readStore requests the records from the store. Beside other requests the store does not keep
// the request open until a record comes.
func (r *hedgedRead) readStore(s *step, done chan struct{}) {
	longPoll := r.f.opts.LongPoll
	if r.open > 0 {
		longPoll = 0
	}
	r.open++
	r.f.ownRead = time.Now()
	read := r.f.beginStoreRead(longPoll)
	go func() {
		r.send(answer{step: s, store: read(r.storeCtx)}, done)
	}()
}

// send passes an answer to the read unless that has ended.
func (r *hedgedRead) send(a answer, done chan struct{}) {
	select {
	case r.answers <- a:
	case <-done:
	}
}

// handle applies an answer. ended says that the read has ended, with err.
func (r *hedgedRead) handle(a answer) (ended bool, err error) {
	if a.step.store {
		return r.handleStore(a.store)
	}
	if !a.ok {
		return false, nil
	}
	r.f.outage.report(a.host, a.reply.StoreFailing)
	if !r.f.applyReply(a.host, a.reply, a.records, a.began, a.step.maxAge) {
		return false, nil
	}
	r.f.fromPeer, r.f.helper = true, a.host
	if a.step.readers {
		r.f.markFresh()
	}
	return true, nil
}

// handleStore applies an answer of the store.
func (r *hedgedRead) handleStore(a storeAnswer) (ended bool, err error) {
	err = r.f.applyStore(a)
	switch {
	case err == nil:
		r.f.fromPeer = false
		r.f.markFresh()
		return true, nil
	case needsFullRead(err):
		return true, err
	case r.restarted.Err() != nil:
		return true, r.canceled()
	}
	storeReadErrors(r.f.opts.Stream).Inc()
	r.f.markStale(err)
	r.err = err
	return false, nil
}

// storeAnswer is the result of a request to the store.
type storeAnswer struct {
	page  platform.KeyedPage
	all   bool // the page has all keys
	began time.Time
	err   error
}

// beginStoreRead returns a function that reads the store from the current position on, or all keys.
func (f *Follower) beginStoreRead(longPoll time.Duration) func(context.Context) storeAnswer {
	next := f.position().next
	a := storeAnswer{began: time.Now(), all: next < 0 || f.readAllNext}
	storeReads(f.opts.Stream).Inc()
	endAttempt := f.attempts.begin(storeSource)
	endOutage := f.outage.begin(a.began.Add(longPoll + f.part(overdueFraction)))
	return func(ctx context.Context) storeAnswer {
		ctx, cancel := context.WithTimeout(ctx, f.opts.Timeout+longPoll)
		defer cancel()
		if a.all {
			a.page, a.err = f.opts.Store.Newest(ctx, f.opts.Stream)
		} else {
			a.page, a.err = f.opts.Store.Since(ctx, f.opts.Stream, next, longPoll)
		}
		endAttempt(outcomeOf(ctx, a.err))
		endOutage(a.err == nil || needsFullRead(a.err), errors.Is(ctx.Err(), context.Canceled))
		return a
	}
}
