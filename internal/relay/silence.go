package relay

import (
	"context"
	"sync"
	"time"
)

// silence cancels an attempt whose upstream says nothing for too long, as long as
// the request may still be moved: a silent upstream is no reason to end an answer
// that no other can give.
type silence struct {
	run    *run
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	timer   *time.Timer
	gap     time.Duration
	stopped bool
}

func (g *run) watchSilence(limit, gap time.Duration, cancel context.CancelCauseFunc) *silence {
	s := &silence{run: g, cancel: cancel, gap: gap}
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit > 0 && g.req.Route.Repeatable() {
		s.timer = time.AfterFunc(limit, s.over)
	}
	return s
}

// movesLeft reports whether the request may run once more.
func (g *run) movesLeft() bool {
	return g.req.Route.Repeatable() && g.runs+1 < g.req.Route.MaxAttempts && g.attempt < mostAttempts
}

func (s *silence) over() {
	if s.move(errSilent) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.timer.Reset(s.gap)
	}
}

// move cancels the attempt if the request may be moved. It returns false when it may not.
//
// The repeat is taken from the budget before: several attempts may be moved at once, and one
// that is cancelled for a repeat which another took would be lost.
func (s *silence) move(why error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || s.run.paid || !s.run.movesLeft() || !s.run.relay.takeRepeat(s.run.req.Service.Name, why) {
		return false
	}
	s.run.paid = true
	s.cancel(why)
	return true
}

// heard notes an event.
func (s *silence) heard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil && !s.stopped {
		s.timer.Reset(s.gap)
	}
}

func (s *silence) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
}
