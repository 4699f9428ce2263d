package schedule

import (
	"time"

	"github.com/sirupsen/logrus"
)

// RPC has the methods that other daemons call.
type RPC struct{ s *Service }

// RPC returns the receiver to register with the peers.
func (s *Service) RPC() *RPC { return &RPC{s} }

// Place plans an attempt of another daemon.
func (r *RPC) Place(req *PlaceRequest, reply *PlaceReply) error {
	s := r.s
	s.mu.Lock()
	now := time.Now()
	defer s.demand.record(&req.Ask, s.book.EngineTime(req.Ask), now) // after the lock is released
	defer s.mu.Unlock()
	reply.Unknown = !s.recordSender(req.From, now)
	s.applyEvents(req.Events, now)
	reply.Plan = s.book.Place(req.Ask, now)
	s.logInvalid(req.From.Host)
	s.scheduleDisplace(req.Ask.ID, reply.Plan)
	reply.Scarce = s.scarceFor(req.From.Host, now)
	return nil
}

// logInvalid logs the values of a daemon's message that the accounts have ignored. The caller holds
// the lock.
func (s *Service) logInvalid(from string) {
	for _, v := range s.book.TakeInvalid() {
		s.log.WithFields(logrus.Fields{
			"from": from, "customer": v.Customer, "weight": v.Weight, "rank": v.Rank, "cost_ms": v.Cost.Milliseconds(),
		}).Warn("claim_value_ignored")
	}
}

// Notify applies the events of another daemon.
func (r *RPC) Notify(req *NotifyRequest, reply *NotifyReply) error {
	s := r.s
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	reply.Unknown = !s.recordSender(req.From, now)
	s.applyEvents(req.Events, now)
	reply.Scarce = s.scarceFor(req.From.Host, now)
	return nil
}

// Restore replaces the open attempts and slot leases of another daemon and the use of its customers,
// and takes in the limits that were reported to it.
func (r *RPC) Restore(req *RestoreRequest, reply *RestoreReply) error {
	s := r.s
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.clients[req.From.Host] = client{incarnation: req.From.Incarnation, lastMessage: now, restored: true}
	s.book.Restore(req.From.Host, req.Open, now)
	s.book.RestoreUse(req.From.Host, req.Use, now)
	s.logInvalid(req.From.Host)
	for i := range req.Limits {
		s.recordLimit(&req.Limits[i], now)
	}
	s.slots.ledger.Restore(req.From.Host, coreLeases(req.Slots, now), now)
	s.wakeNext(now)
	reply.Taken = len(req.Open)
	return nil
}

// recordSender records a message of another daemon. It returns false if the daemon has not
// sent its open attempts in this incarnation. The caller holds the lock.
func (s *Service) recordSender(from sender, now time.Time) bool {
	c, known := s.clients[from.Host]
	if known && c.incarnation != from.Incarnation {
		s.book.DropHost(from.Host)
		s.slots.ledger.DropHost(from.Host)
		c = client{}
	}
	s.clients[from.Host] = client{incarnation: from.Incarnation, lastMessage: now, restored: c.restored}
	return c.restored
}

func (s *Service) applyEvents(events []Event, now time.Time) {
	for _, e := range events {
		switch {
		case e.Limit != nil:
			s.recordLimit(e.Limit, now)
		case e.Cold != nil:
			s.recordCold(e.Cold, now)
		case e.Slot != nil:
			s.applySlotEvent(e.Slot, now)
		case e.Speed != nil:
			s.recordSpeed(e.Speed, now)
		case e.Ended:
			s.book.End(e.Attempt)
		default:
			s.book.RecordFirstEvent(e.Attempt)
		}
	}
}

// Admit gives another daemon a turn at an upstream with a limit, or a cold one.
func (r *RPC) Admit(req *AdmitRequest, reply *AdmitReply) error {
	s := r.s
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.recordSender(req.From, now)
	s.recordLimit(&req.Limit, now)
	if req.Cold != nil {
		s.recordCold(req.Cold, now)
	}
	reply.Wait, reply.OK = s.book.Pacer().Admit(req.Limit.Upstream, req.Within, now)
	return nil
}

// Move moves attempts of this daemon to other engines.
func (r *RPC) Move(req *MoveRequest, reply *MoveReply) error {
	reply.Moved = r.s.move(req.Attempts)
	return nil
}
