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

// Times of the leases of engine memory. A lease ends by itself soon after the daemon
// that renews it has died, so that nothing leaks.
const (
	leaseLife  = 3500 * time.Millisecond
	leaseRenew = 1200 * time.Millisecond // so that one renewal may be lost
	leaseOrder = 400 * time.Millisecond  // for one order
)

// Times of the look whether memory that was set aside is used. An engine that was sent a
// request and has not begun it leaves the memory on all others idle, and nobody else may
// use it meanwhile; a sound engine begins at once. Without the look, prompts whose engine
// hung left memory idle for 10 s in three of seven plays of a day with such engines.
const (
	// leaseIdleMost is how long today's sites bear idle memory.
	leaseIdleMost = 9 * time.Second
	leaseUseBy    = 5500 * time.Millisecond
	leaseLookGap  = 400 * time.Millisecond // until the next look when one got no answer
	leaseLooks    = 3
)

// errUnused ends an attempt whose memory is not used: the engine that was asked is stuck.
var errUnused = merry.Wrap(errSilent, merry.WithMessage("the engine has not begun: the memory set aside for it is unused"))

var errNoMemory = merry.Sentinel("the memory could not be reserved")

// leases are those of one attempt.
type leases struct {
	sender Sender
	log    *logrus.Entry
	held   []booking.Part

	mu       sync.Mutex
	stop     chan struct{}
	released bool
}

// take reserves all; it returns the ID of an engine that did not grant it.
func (l *leases) take(ctx context.Context) (failed string) {
	l.stop = make(chan struct{})
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

// renew keeps the leases until they are released.
func (l *leases) renew() {
	ticker := time.NewTicker(leaseRenew)
	defer ticker.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
			l.renewOnce()
		}
	}
}

func (l *leases) renewOnce() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released {
		return
	}
	results := l.each(context.Background(), func(ctx context.Context, x booking.Part) error {
		return l.sender.Reserve(ctx, x, leaseLife)
	})
	for i, err := range results {
		if err != nil {
			l.log.WithError(err).WithField("upstream", l.held[i].Upstream).Warn("lease_not_renewed")
		}
	}
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
		looking, cancel := context.WithTimeout(ctx, leaseOrder)
		unused, err := l.sender.Unused(looking, on)
		cancel()
		if err == nil {
			l.log.WithFields(logrus.Fields{"upstream": on.Upstream, "lease": on.Lease, "unused": unused}).Info("lease_looked_at")
			return unused && ctx.Err() == nil
		}
		l.log.WithError(err).WithField("upstream", on.Upstream).Info("lease_not_looked_at")
	}
	return ctx.Err() == nil
}

// watch returns a context for the sending that ends when the leases turn out idle. read
// ends the watch, at the first event; end frees all, at the end of the attempt.
func (l *leases) watch(ctx context.Context, after time.Duration) (sending context.Context, read, end func()) {
	sending, cancel := context.WithCancelCause(ctx)
	unread, read := context.WithCancel(sending)
	go func() {
		if l.idle(unread, after, leaseLookGap) {
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
	close(l.stop)
	go l.releaseAll()
}

func (l *leases) releaseAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.released = true
	results := l.each(context.Background(), func(ctx context.Context, x booking.Part) error {
		return l.sender.Release(ctx, x)
	})
	for i, err := range results {
		if err != nil {
			l.log.WithError(err).WithField("upstream", l.held[i].Upstream).Warn("lease_left_to_lapse")
		}
	}
}
