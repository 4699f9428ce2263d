package schedule

import (
	"context"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/notice"
	"github.com/buckthorndock/buckthorndock/internal/core/pace"
)

// A limit, that of a cold upstream too, applies to all daemons together, so the keeper gives out
// the turns: with its plans for engines, by Admit for other upstreams. A daemon without a keeper
// sends nothing to an upstream with a limit, for it does not know what others send.

// ReportLimit reports to the keeper an upstream's limit that was reported to this daemon.
func (s *Service) ReportLimit(l notice.Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.book.Pacer().SetLimit(l, now)
	report := limitMessage(l, now)
	s.enqueue(Event{Limit: &report})
}

func limitMessage(l notice.Limit, now time.Time) Limit {
	return Limit{Upstream: l.Upstream, Limited: l.Limited, PerSecond: l.PerSecond, Age: now.Sub(l.At)}
}

// limitMessages returns all limits that were reported to this daemon, as messages.
func (s *Service) limitMessages(now time.Time) []Limit {
	if s.opts.Limits == nil {
		return nil
	}
	var all []Limit
	for _, l := range s.opts.Limits() {
		all = append(all, limitMessage(l, now))
	}
	return all
}

// recordLimit takes in a limit that another daemon reports. The caller holds the lock.
func (s *Service) recordLimit(l *Limit, now time.Time) {
	s.book.Pacer().SetLimit(notice.Limit{Upstream: l.Upstream, Limited: l.Limited, PerSecond: l.PerSecond, At: now.Add(-l.Age)}, now)
}

// ReportCold reports to the keeper that an upstream is cold according to its own notice.
func (s *Service) ReportCold(c pace.ColdLimit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.book.Pacer().SetCold(c, now)
	s.enqueue(Event{Cold: coldMessage(c, now)})
}

func coldMessage(c pace.ColdLimit, now time.Time) *Cold {
	return &Cold{Upstream: c.Upstream, PerSecond: c.PerSecond, Left: c.Until.Sub(now)}
}

// recordCold takes in another daemon's report that an upstream is cold, unless the known cold
// period ends later. The caller holds the lock.
func (s *Service) recordCold(c *Cold, now time.Time) {
	until := now.Add(c.Left)
	if known, ok := s.book.Pacer().ColdLimit(c.Upstream, now); ok && known.Until.After(until) {
		return
	}
	s.book.Pacer().SetCold(pace.ColdLimit{Upstream: c.Upstream, PerSecond: c.PerSecond, Until: until}, now)
}

// noTurnDelay is the wait that Admit returns when no keeper gives out turns.
const noTurnDelay = 200 * time.Millisecond

// Admit takes a turn at an upstream with a limit, or a cold one, if the wait for it is at most
// within, and returns the wait; ok is false when it has no turn.
func (s *Service) Admit(ctx context.Context, l notice.Limit, within time.Duration) (wait time.Duration, ok bool) {
	s.mu.Lock()
	now := time.Now()
	keeper, remote := s.chooseKeeper(now)
	if !remote {
		defer s.mu.Unlock()
		if s.uncoordinated {
			return noTurnDelay, false
		}
		s.book.Pacer().SetLimit(l, now)
		return s.book.Pacer().Admit(l.Upstream, within, now)
	}
	req := &AdmitRequest{From: s.self(), Limit: limitMessage(l, now), Within: within}
	if c, cold := s.book.Pacer().ColdLimit(l.Upstream, now); cold {
		req.Cold = coldMessage(c, now)
	}
	s.mu.Unlock()
	var reply AdmitReply
	err := s.call(ctx, keeper, "Admit", placeTimeout, req, &reply)
	if err == nil {
		return reply.Wait, reply.OK
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordNoAnswer(ctx, keeper, err, time.Now())
	return noTurnDelay, false
}
