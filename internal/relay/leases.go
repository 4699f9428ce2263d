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

// Times of the leases of engine memory. Memory must be free within maxLeaseAfterEnd after
// the last request that used it has ended. Most runs end here, and their leases are released
// at once: after leaseCallTimeout, or twice that if a renewal is in progress. The end of a
// run whose engine dies is not visible here, so its leases on the other engines have to
// expire: a call sent just before is carried out at most leaseCallTimeout later and holds
// the memory for leaseLifetime, 3.7 s together. No call is sent after that, because each
// renewal requires that the engine that runs the request has answered.
const (
	maxLeaseAfterEnd   = 4 * time.Second
	leaseLifetime      = 3300 * time.Millisecond
	leaseRenewInterval = 1200 * time.Millisecond // short enough that one renewal may be lost
	leaseCallTimeout   = 400 * time.Millisecond  // for one call, and for one report
	// reportRetryDelay is the pause before an engine that did not answer is asked again, up to
	// maxReportCalls times: one lost message does not mean that it died, and a sound engine may
	// be silent for a second.
	reportRetryDelay = 100 * time.Millisecond
	maxReportCalls   = 3
)

// Times of the check whether reserved memory is used. An engine that was sent a request and
// has not started it leaves the memory on all other engines idle, and no other request may
// use it meanwhile. A healthy engine starts at once.
const (
	// maxLeaseIdle is how long reserved memory may be idle.
	maxLeaseIdle    = 9 * time.Second
	leaseUseTimeout = 5500 * time.Millisecond
	leaseCheckGap   = 400 * time.Millisecond // until the next check if one got no answer
	maxLeaseChecks  = 3
)

// errLeaseUnused ends an attempt whose memory is not used: the engine that was asked is
// stuck.
var errLeaseUnused = merry.Wrap(errSilent, merry.WithMessage("the engine has not begun: the memory set aside for it is unused"))

var (
	errNoMemory        = merry.Sentinel("the memory could not be reserved")
	errLeaseGone       = merry.Sentinel("the engine does not know the lease")
	errEngineRestarted = merry.Sentinel("the engine has restarted")
)

// engineLostError ends an attempt because an engine of its plan is lost.
type engineLostError struct {
	part booking.Part
	err  error
}

// Error implements error.
func (e *engineLostError) Error() string {
	return "engine " + e.part.Upstream + " is lost: " + e.err.Error()
}

// Unwrap returns the underlying error.
func (e *engineLostError) Unwrap() error { return e.err }

// leases holds and renews the memory leases of one attempt.
type leases struct {
	sender Sender
	log    *logrus.Entry
	runner booking.Part // the engine that gets the request
	held   []booking.Part
	// incarnationEnded reports whether the incarnation of a part's engine is known to have
	// ended.
	incarnationEnded func(booking.Part) bool

	stop     context.CancelFunc // ends the renewal; nil without leases
	mu       sync.Mutex         // held while calls are in progress
	released bool
}

// reserveAll reserves the memory of all parts. It returns the ID of an engine that did not
// grant it, empty if all did.
func (l *leases) reserveAll(ctx context.Context) (failed string) {
	l.stop = func() {}
	results := l.callAll(ctx, func(ctx context.Context, x booking.Part) error {
		return l.sender.Reserve(ctx, x, leaseLifetime)
	})
	for i, err := range results {
		if err != nil {
			l.log.WithError(err).WithField("upstream", l.held[i].Upstream).Info("lease_refused")
			failed = l.held[i].Upstream
		}
	}
	return failed
}

// callAll runs call for all leases concurrently and returns the errors in the order of
// l.held.
func (l *leases) callAll(ctx context.Context, call func(context.Context, booking.Part) error) []error {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	results := make([]error, len(l.held))
	var wg sync.WaitGroup
	for i, x := range l.held {
		wg.Go(func() { results[i] = call(ctx, x) })
	}
	wg.Wait()
	return results
}

// renew renews the leases until the context ends. It returns early with the reason if the
// attempt cannot continue.
func (l *leases) renew(ctx context.Context, every time.Duration) *engineLostError {
	for wait.For(ctx, every) {
		if lost := l.renewOnce(ctx); lost != nil {
			return lost
		}
	}
	return nil
}

// renewOnce renews all leases if the engine that runs the request is alive, and checks those
// that could not be renewed.
func (l *leases) renewOnce(ctx context.Context) *engineLostError {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkRunner(ctx); err != nil {
		return &engineLostError{l.runner, err}
	}
	for _, x := range l.held {
		if l.incarnationEnded(x) {
			return &engineLostError{x, errEngineRestarted}
		}
	}
	if l.released || ctx.Err() != nil {
		return nil
	}
	results := l.callAll(context.Background(), func(ctx context.Context, x booking.Part) error {
		return l.sender.Reserve(ctx, x, leaseLifetime)
	})
	for i, err := range results {
		if err == nil {
			continue
		}
		x := l.held[i]
		l.log.WithError(err).WithField("upstream", x.Upstream).Warn("lease_not_renewed")
		if err := l.checkLease(ctx, x); err != nil {
			return &engineLostError{x, err}
		}
		l.renewLate(ctx, x)
	}
	return nil
}

// renewLate renews a lease whose renewal got no answer, now that its engine answers: the next
// regular renewal may come after it has expired.
func (l *leases) renewLate(ctx context.Context, x booking.Part) {
	if ctx.Err() != nil {
		return
	}
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaseCallTimeout)
	defer cancel()
	if err := l.sender.Reserve(callCtx, x, leaseLifetime); err != nil {
		l.log.WithError(err).WithField("upstream", x.Upstream).Warn("lease_not_renewed")
	}
}

// checkRunner returns nil if the engine that runs the request answers, or if the context
// ends.
func (l *leases) checkRunner(ctx context.Context) error {
	if l.incarnationEnded(l.runner) {
		return errEngineRestarted
	}
	_, err := l.report(ctx, l.runner)
	return err
}

// checkLease returns nil if an engine still holds a lease, or if the context ends.
func (l *leases) checkLease(ctx context.Context, x booking.Part) error {
	report, err := l.report(ctx, x)
	if err != nil || ctx.Err() != nil {
		return err
	}
	if _, listed := report.Leases[x.Lease]; !listed {
		return errLeaseGone
	}
	return nil
}

// report asks an engine for its report, again if it does not answer. The error is nil if the
// context ends.
func (l *leases) report(ctx context.Context, at booking.Part) (Report, error) {
	report, err := l.reportOnce(ctx, at)
	for calls := 1; calls < maxReportCalls && err != nil && wait.For(ctx, reportRetryDelay); calls++ {
		report, err = l.reportOnce(ctx, at)
	}
	if ctx.Err() != nil {
		return report, nil
	}
	return report, err
}

// reportOnce asks an engine for its report. It returns errEngineRestarted if the engine's
// process is not the one that was planned for.
func (l *leases) reportOnce(ctx context.Context, at booking.Part) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	report, err := l.sender.Report(ctx, at)
	if err == nil && report.Born != 0 && at.Life.Born != 0 && report.Born != at.Life.Born {
		err = errEngineRestarted
	}
	return report, err
}

// unused waits for a while and then reports whether a lease is not in use yet, or whether
// its engine does not answer. It returns false as soon as the context ends.
func (l *leases) unused(ctx context.Context, after, gap time.Duration) bool {
	if len(l.held) == 0 || !wait.For(ctx, after) {
		return false
	}
	on := l.held[len(l.held)-1]
	for i := range maxLeaseChecks {
		if i > 0 && !wait.For(ctx, gap) {
			return false
		}
		report, err := l.reportOnce(ctx, on)
		if err == nil {
			used, listed := report.Leases[on.Lease]
			l.log.WithFields(logrus.Fields{"upstream": on.Upstream, "lease": on.Lease, "listed": listed, "used": used}).Info("lease_checked")
			return listed && !used && ctx.Err() == nil
		}
		l.log.WithError(err).WithField("upstream", on.Upstream).Info("lease_check_failed")
	}
	return ctx.Err() == nil
}

// leaseTimes are the intervals of leases.maintain; tests shorten them.
type leaseTimes struct {
	renew time.Duration // between two renewals
	useBy time.Duration // until the check whether the memory is used
}

// maintain renews the leases in the background. The context that it returns, for the
// sending, is cancelled when they cannot be kept or turn out to be unused. stopCheck stops
// the check for unused leases, at the first event; end cancels the returned context, at the
// end of the attempt.
func (l *leases) maintain(ctx context.Context, t leaseTimes) (sending context.Context, stopCheck, end func()) {
	sending, cancel := context.WithCancelCause(ctx)
	checkCtx, stopCheck := context.WithCancel(sending)
	if len(l.held) == 0 {
		return sending, stopCheck, func() { cancel(nil) }
	}
	renewing, stop := context.WithCancel(context.WithoutCancel(ctx))
	l.stop = stop
	go func() {
		if lost := l.renew(renewing, t.renew); lost != nil {
			l.log.WithError(lost).WithField("upstream", lost.part.Upstream).Warn("plan_engine_lost")
			cancel(lost)
		}
	}()
	go func() {
		if l.unused(checkCtx, t.useBy, leaseCheckGap) {
			cancel(errLeaseUnused)
		}
	}()
	return sending, stopCheck, func() { cancel(nil) }
}

// release releases the memory in the background. It waits for a renewal in progress, which
// would otherwise reserve the memory again.
func (l *leases) release() {
	if l.stop == nil {
		return
	}
	l.stop()
	go l.releaseAll()
}

// releaseAll releases the memory on engines whose incarnation that granted it is not known
// to have ended.
func (l *leases) releaseAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.released = true
	results := l.callAll(context.Background(), func(ctx context.Context, x booking.Part) error {
		if l.incarnationEnded(x) {
			return nil
		}
		return l.sender.Release(ctx, x)
	})
	for i, err := range results {
		if err != nil {
			l.log.WithError(err).WithField("upstream", l.held[i].Upstream).Warn("lease_release_failed")
		}
	}
}
