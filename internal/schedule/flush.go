package schedule

import (
	"context"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
)

// Run sends events and heartbeats to the keeper until the context ends.
func (s *Service) Run(ctx context.Context) error {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-heartbeat.C:
			s.dropSilent(time.Now())
			s.reportSpeeds(time.Now())
			s.probeSilent(ctx)
			s.flush(ctx, true)
			s.reportScarce(ctx)
		case <-s.wake:
			s.awaitEvents()
			s.flush(ctx, false)
			s.reportScarce(ctx)
		case <-s.urgent:
			s.flush(ctx, false)
		}
	}
}

// awaitEvents waits for more events to send, until one is urgent.
func (s *Service) awaitEvents() {
	timer := time.NewTimer(flushDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.urgent:
	}
}

// flush sends the events to the keeper. With heartbeat it sends a message without events too, if
// this daemon has open attempts: heartbeats of daemons without any would load the keeper in
// proportion to the number of daemons.
func (s *Service) flush(ctx context.Context, heartbeat bool) {
	s.mu.Lock()
	keeper, remote := s.chooseKeeper(time.Now())
	if !remote {
		s.events = nil
		s.mu.Unlock()
		return
	}
	if s.needsRestore {
		request := s.restoreRequest(time.Now())
		s.needsRestore, s.restoring, s.events = false, true, slotEnds(s.events)
		s.mu.Unlock()
		err := s.call(ctx, keeper, "Restore", notifyTimeout, request, &RestoreReply{})
		s.mu.Lock()
		s.restoring = false
		if err == nil && len(s.events) > 0 {
			s.requestFlush()
		}
		s.mu.Unlock()
		s.afterFlush(ctx, err, NotifyReply{})
		return
	}
	events, open := s.events, len(s.open)+len(s.slots.held)
	s.events = nil
	s.mu.Unlock()
	if len(events) == 0 && (!heartbeat || open == 0) {
		return
	}
	var reply NotifyReply
	err := s.call(ctx, keeper, "Notify", notifyTimeout, &NotifyRequest{From: s.self(), Events: events}, &reply)
	s.afterFlush(ctx, err, reply)
}

func (s *Service) afterFlush(ctx context.Context, err error, reply NotifyReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		keeper, remote, _ := s.findKeeper()
		if remote {
			s.recordNoAnswer(ctx, keeper, err, time.Now())
		}
		return
	}
	s.needsRestore = s.needsRestore || reply.Unknown
	s.recordScarce(reply.Scarce, time.Now())
}

// Accounts returns the shares and the waiting claims of all services as far as this daemon knows
// them: all if it is the keeper, otherwise its own use.
func (s *Service) Accounts() []booking.ServiceAccounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Accounts(time.Now())
}

// restoreRequest returns what the keeper must know of this daemon. The caller holds the lock.
func (s *Service) restoreRequest(now time.Time) *RestoreRequest {
	return &RestoreRequest{
		From:   s.self(),
		Open:   s.openAttempts(now),
		Limits: s.limitMessages(now),
		Slots:  s.heldSlots(now),
		Use:    s.book.Use(s.opts.Host, now),
	}
}

// openAttempts returns the own open attempts with their age. The caller holds the lock.
func (s *Service) openAttempts(now time.Time) []booking.OpenAttempt {
	open := make([]booking.OpenAttempt, 0, len(s.open))
	for id, o := range s.open {
		attempt := *o
		attempt.Age = now.Sub(s.bookedAt[id])
		open = append(open, attempt)
	}
	return open
}

// dropSilent drops the attempts of daemons that have sent nothing for long: they have gone, or
// use another keeper.
func (s *Service) dropSilent(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Expire(now)
	s.maintainSlots(now)
	for host, c := range s.clients {
		silent := now.Sub(c.lastMessage)
		switch {
		case silent > dropAttemptsAfter && (s.book.Has(host) || s.slots.ledger.Has(host)):
			s.log.WithField("from", host).Info("host_bookings_dropped")
			s.book.DropHost(host)
			s.slots.ledger.DropHost(host)
			delete(s.clients, host)
		case silent > dropClientAfter:
			delete(s.clients, host)
		}
	}
}
