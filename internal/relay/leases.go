package relay

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

// Times of the leases of engine memory. Memory must be free soon after the last request
// that used it has ended, within leaseFreeBy. Most runs end here, and their
// leases are released at once: after leaseOrder, and one order more where a renewal is
// under way. A run that ends with its engine is not heard of here, and its leases on the
// other engines have to lapse: an order sent just before is carried out leaseOrder later
// at the most and holds the memory for leaseLife, 3.7 s together. No order is sent after
// that, for none goes out without a sign of life from the engine that runs the request.
const (
	leaseFreeBy = 4 * time.Second
	leaseLife   = 3300 * time.Millisecond
	leaseRenew  = 1200 * time.Millisecond // so that one renewal may be lost
	leaseOrder  = 400 * time.Millisecond  // for one order, and for one look
	// lookAgain is the pause before the second look at an engine that did not answer the
	// first: one lost message is no death.
	lookAgain = 100 * time.Millisecond
)

// Times of the look whether memory that was set aside is used. An engine that was sent a
// request and has not begun it leaves the memory on all others idle, and nobody else may
// use it meanwhile; a sound engine begins at once.
const (
	// leaseIdleMost is how long memory may be idle.
	leaseIdleMost = 9 * time.Second
	leaseUseBy    = 5500 * time.Millisecond
	leaseLookGap  = 400 * time.Millisecond // until the next look when one got no answer
	leaseLooks    = 3
)

// errUnused ends an attempt whose memory is not used: the engine that was asked is stuck.
var errUnused = merry.Wrap(errSilent, merry.WithMessage("the engine has not begun: the memory set aside for it is unused"))

var (
	errNoMemory    = merry.Sentinel("the memory could not be reserved")
	errLeaseGone   = merry.Sentinel("the engine knows no such lease")
	errAnotherLife = merry.Sentinel("the engine has started anew")
)

// lostError ends an attempt that an engine of its plan cannot go on with.
type lostError struct {
	part booking.Part
	err  error
}

// Error implements error.
func (e *lostError) Error() string { return "engine " + e.part.Upstream + " is lost: " + e.err.Error() }

// Unwrap returns the cause.
func (e *lostError) Unwrap() error { return e.err }

// leases are those of one attempt.
type leases struct {
	sender Sender
	log    *logrus.Entry
	first  booking.Part // the engine that gets the request
	held   []booking.Part
	// over reports whether the life of a part's engine is known to have ended.
	over func(booking.Part) bool

	stop     context.CancelFunc // ends the renewal; nil without leases
	mu       sync.Mutex         // held while orders are under way
	released bool
}

// take reserves all; it returns the ID of an engine that did not grant it.
func (l *leases) take(ctx context.Context) (failed string) {
	l.stop = func() {}
	results := l.each(ctx, func(ctx context.Context, x booking.Part) error {
		return l.sender.Reserve(ctx, x, leaseLife)
	})
	for i, err := range results {
		if err != nil {
			l.log.WithError(err).WithField("upstream", l.held[i].Upstream).Info("lease_refused")
			failed = l.held[i].Upstream
		}
	}
	return failed
}

// each does an order for all leases at once.
func (l *leases) each(ctx context.Context, order func(context.Context, booking.Part) error) []error {
	ctx, cancel := context.WithTimeout(ctx, leaseOrder)
	defer cancel()
	results := make([]error, len(l.held))
	var wg sync.WaitGroup
	for i, x := range l.held {
		wg.Go(func() { results[i] = order(ctx, x) })
	}
	wg.Wait()
	return results
}

// renew keeps the leases until the context ends, or returns why they cannot be kept.
func (l *leases) renew(ctx context.Context, every time.Duration) *lostError {
	for wait.For(ctx, every) {
		if lost := l.renewOnce(ctx); lost != nil {
			return lost
		}
	}
	return nil
}

// renewOnce renews all leases if the engine that runs the request lives, and looks after
// those that could not be renewed.
func (l *leases) renewOnce(ctx context.Context) *lostError {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.lives(ctx); err != nil {
		return &lostError{l.first, err}
	}
	for _, x := range l.held {
		if l.over(x) {
			return &lostError{x, errAnotherLife}
		}
	}
	if l.released || ctx.Err() != nil {
		return nil
	}
	results := l.each(context.Background(), func(ctx context.Context, x booking.Part) error {
		return l.sender.Reserve(ctx, x, leaseLife)
	})
	for i, err := range results {
		if err == nil {
			continue
		}
		x := l.held[i]
		l.log.WithError(err).WithField("upstream", x.Upstream).Warn("lease_not_renewed")
		if err := l.stands(ctx, x); err != nil {
			return &lostError{x, err}
		}
	}
	return nil
}

// lives returns nil if the engine that runs the request gives a sign of life, or if the
// context ends.
func (l *leases) lives(ctx context.Context) error {
	if l.over(l.first) {
		return errAnotherLife
	}
	_, err := l.look(ctx, l.first)
	return err
}

// stands returns nil if an engine still holds a lease, or if the context ends.
func (l *leases) stands(ctx context.Context, x booking.Part) error {
	report, err := l.look(ctx, x)
	if err != nil || ctx.Err() != nil {
		return err
	}
	if _, listed := report.Leases[x.Lease]; !listed {
		return errLeaseGone
	}
	return nil
}

// look asks an engine for its report, twice if it has to. The error is nil when the
// context ends.
func (l *leases) look(ctx context.Context, at booking.Part) (Report, error) {
	report, err := l.lookOnce(ctx, at)
	if err != nil && wait.For(ctx, lookAgain) {
		report, err = l.lookOnce(ctx, at)
	}
	if ctx.Err() != nil {
		return report, nil
	}
	return report, err
}

func (l *leases) lookOnce(ctx context.Context, at booking.Part) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseOrder)
	defer cancel()
	report, err := l.sender.Report(ctx, at)
	if err == nil && report.Born != 0 && at.Life.Born != 0 && report.Born != at.Life.Born {
		err = errAnotherLife
	}
	return report, err
}

// idle reports, after a while, that a lease is not used yet, or that its engine cannot
// tell. It returns false as soon as the context ends.
func (l *leases) idle(ctx context.Context, after, gap time.Duration) bool {
	if len(l.held) == 0 || !wait.For(ctx, after) {
		return false
	}
	on := l.held[len(l.held)-1]
	for look := range leaseLooks {
		if look > 0 && !wait.For(ctx, gap) {
			return false
		}
		report, err := l.lookOnce(ctx, on)
		if err == nil {
			used, listed := report.Leases[on.Lease]
			l.log.WithFields(logrus.Fields{"upstream": on.Upstream, "lease": on.Lease, "listed": listed, "used": used}).Info("lease_looked_at")
			return listed && !used && ctx.Err() == nil
		}
		l.log.WithError(err).WithField("upstream", on.Upstream).Info("lease_not_looked_at")
	}
	return ctx.Err() == nil
}

// leaseTimes are those of a watch; tests shorten them.
type leaseTimes struct {
	renew time.Duration // between two renewals
	useBy time.Duration // until the look whether the memory is used
}

// watch keeps the leases and returns a context for the sending that ends when they cannot
// be kept or turn out idle. read ends the look for idle ones, at the first event; end
// frees all, at the end of the attempt.
func (l *leases) watch(ctx context.Context, t leaseTimes) (sending context.Context, read, end func()) {
	sending, cancel := context.WithCancelCause(ctx)
	unread, read := context.WithCancel(sending)
	if len(l.held) == 0 {
		return sending, read, func() { cancel(nil) }
	}
	kept, stop := context.WithCancel(context.WithoutCancel(ctx))
	l.stop = stop
	go func() {
		if lost := l.renew(kept, t.renew); lost != nil {
			l.log.WithError(lost).WithField("upstream", lost.part.Upstream).Warn("engine_of_plan_lost")
			cancel(lost)
		}
	}()
	go func() {
		if l.idle(unread, t.useBy, leaseLookGap) {
			cancel(errUnused)
		}
	}()
	return sending, read, func() { cancel(nil) }
}

// release gives the memory back. It waits for a renewal under way, which would
// otherwise set the memory aside anew.
func (l *leases) release() {
	if l.stop == nil {
		return
	}
	l.stop()
	go l.releaseAll()
}

// releaseAll gives back what engines hold that are still in the life that granted it.
func (l *leases) releaseAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.released = true
	results := l.each(context.Background(), func(ctx context.Context, x booking.Part) error {
		if l.over(x) {
			return nil
		}
		return l.sender.Release(ctx, x)
	})
	for i, err := range results {
		if err != nil {
			l.log.WithError(err).WithField("upstream", l.held[i].Upstream).Warn("lease_left_to_lapse")
		}
	}
}
