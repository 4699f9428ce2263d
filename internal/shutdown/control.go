package shutdown

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrLeaving is the cause of the end of contexts that a shutdown ends.
var ErrLeaving = merry.Sentinel("this daemon shuts down")

// Control tells requests in progress of a shutdown. It is safe for concurrent use.
type Control struct {
	begun   context.Context // ends when the shutdown begins
	sending context.Context // ends at Times.LastSend
	serving context.Context // ends at Times.End
	exiting context.Context // ends at Times.Exit

	begin, stopSending, stopServing, exit context.CancelCauseFunc

	mu    sync.Mutex
	times *Times // nil before Begin
}

// New returns the Control of a daemon that is not shutting down.
func New() *Control {
	c := &Control{}
	c.begun, c.begin = context.WithCancelCause(context.Background())
	c.exiting, c.exit = context.WithCancelCause(context.Background())
	c.serving, c.stopServing = context.WithCancelCause(c.exiting)
	c.sending, c.stopSending = context.WithCancelCause(c.serving)
	return c
}

// Begin begins the shutdown. Only the first call counts.
func (c *Control) Begin(t Times) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.times != nil {
		return
	}
	c.times = &t
	c.begin(ErrLeaving)
	time.AfterFunc(time.Until(t.LastSend), func() { c.stopSending(ErrLeaving) })
	time.AfterFunc(time.Until(t.End), func() { c.stopServing(ErrLeaving) })
	time.AfterFunc(time.Until(t.Exit), func() { c.exit(ErrLeaving) })
}

// Begun returns a channel that is closed when the shutdown begins.
func (c *Control) Begun() <-chan struct{} { return c.begun.Done() }

// Times returns the times of the shutdown; ok is false before it begins.
func (c *Control) Times() (t Times, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.times == nil {
		return Times{}, false
	}
	return *c.times, true
}

// MaySendAt reports whether something may be sent to an upstream at a time.
func (c *Control) MaySendAt(at time.Time) bool {
	t, leaving := c.Times()
	return !leaving || !at.After(t.LastSend)
}

// ServesUntil reports whether a request that ends at a time is waited for.
func (c *Control) ServesUntil(at time.Time) bool {
	t, leaving := c.Times()
	return !leaving || !at.After(t.End)
}

// ComesLate reports whether a request that was read at a time is served whole or not at all.
func (c *Control) ComesLate(read time.Time) bool {
	t, leaving := c.Times()
	return leaving && read.After(t.Late)
}

// RunsUntil reports whether the process still runs at a time.
func (c *Control) RunsUntil(at time.Time) bool {
	t, leaving := c.Times()
	return !leaving || !at.After(t.Exit)
}

// SendingEnded reports whether nothing is sent any more.
func (c *Control) SendingEnded() bool { return c.sending.Err() != nil }

// WhileSending returns a context that ends with ctx and, with the cause ErrLeaving, when nothing
// may be sent any more. stop releases its resources.
func (c *Control) WhileSending(ctx context.Context) (until context.Context, stop context.CancelFunc) {
	return bounded(ctx, c.sending)
}

// WhileServable returns the context of WhileSending for a request that takes a time at an upstream. It
// ends as well when less than that time is left before Times.End.
func (c *Control) WhileServable(ctx context.Context, takes time.Duration) (until context.Context, stop context.CancelFunc) {
	ctx, stopSending := c.WhileSending(ctx)
	until, cancel := context.WithCancelCause(ctx)
	stopBegun := context.AfterFunc(c.begun, func() {
		t, _ := c.Times()
		time.AfterFunc(time.Until(t.End.Add(-takes)), func() { cancel(ErrLeaving) })
	})
	return until, func() {
		stopBegun()
		cancel(nil)
		stopSending()
	}
}

// WhileServing returns a context that ends with ctx and, with the cause ErrLeaving, when requests
// in progress are given up. stop releases its resources.
func (c *Control) WhileServing(ctx context.Context) (until context.Context, stop context.CancelFunc) {
	return bounded(ctx, c.serving)
}

// WhileAnswering is WhileServing for a request whose answer, once begun reports true, can only be whole or
// cut: it then ends when the process does.
func (c *Control) WhileAnswering(ctx context.Context, begun func() bool) (until context.Context, stop context.CancelFunc) {
	until, cancel := context.WithCancelCause(ctx)
	stopServing := context.AfterFunc(c.serving, func() {
		if !begun() {
			cancel(ErrLeaving)
		}
	})
	stopExit := context.AfterFunc(c.exiting, func() { cancel(ErrLeaving) })
	return until, func() {
		stopServing()
		stopExit()
		cancel(nil)
	}
}

// AfterSending calls fn when nothing may be sent any more, unless stop is called before.
func (c *Control) AfterSending(fn func()) (stop func() bool) { return context.AfterFunc(c.sending, fn) }

// bounded returns a context that ends with ctx, or with the cause of by when that has ended.
func bounded(ctx, by context.Context) (context.Context, context.CancelFunc) {
	until, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(by, func() { cancel(context.Cause(by)) })
	return until, func() {
		stop()
		cancel(nil)
	}
}
