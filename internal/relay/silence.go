package relay

import (
	"context"
	"sync"
	"time"
)

// silenceTimer cancels an attempt whose upstream has sent nothing for too long, if the
// request may still be moved: silence alone is no reason to end an answer that no other
// upstream can give.
type silenceTimer struct {
	run    *run
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	timer   *time.Timer
	gap     time.Duration
	stopped bool
}

// newSilenceTimer starts a timer that expires after limit or, once events arrive, after gap.
func (g *run) newSilenceTimer(limit, gap time.Duration, cancel context.CancelCauseFunc) *silenceTimer {
	s := &silenceTimer{run: g, cancel: cancel, gap: gap}
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit > 0 && g.req.Route.Repeatable() {
		s.timer = time.AfterFunc(limit, s.expire)
	}
	return s
}

// mayMove reports whether the request may be run once more.
func (g *run) mayMove() bool {
	return g.mayRunAgain() && g.runs+1 < g.req.Route.MaxAttempts && g.attempt < maxSends
}

// expire moves the attempt or, if that is not allowed now, waits for another gap.
func (s *silenceTimer) expire() {
	if s.move(errSilent) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.timer.Reset(s.gap)
	}
}

// move cancels the attempt if the request may be moved. It returns false if it may not.
//
// The repeat is taken from the budget before the attempt is cancelled: several attempts may
// be moved at the same time, and a request cancelled for a repeat that another one took
// would be lost.
func (s *silenceTimer) move(why error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || s.run.repeatTaken || !s.run.mayMove() || !s.run.relay.takeRepeat(s.run.req.Service.Name, why) {
		return false
	}
	s.run.repeatTaken = true
	s.cancel(why)
	return true
}

// reset restarts the timer after an event.
func (s *silenceTimer) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil && !s.stopped {
		s.timer.Reset(s.gap)
	}
}

func (s *silenceTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
}
