package schedule

import (
	"context"
	"errors"
	"maps"
	"net/rpc"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/core/slots"
)

// The keeper also grants the leases on slots of plain servers, while these are scarce; see package
// slots. A daemon without a keeper that can grant them chooses servers by its own calls.

// noSlotsRetry is how long a keeper that does not know the method AcquireSlot, one of an earlier
// release, is not asked for slots.
const noSlotsRetry = 30 * time.Second

// slotLeases is a daemon's part in the leases on slots.
type slotLeases struct {
	ledger   *slots.Ledger          // of all daemons, if this one is the keeper
	scarcity slots.Scarcity         // services that are scarce for this daemon
	held     map[string]slots.Lease // own leases
	// unsupported has the daemons that do not know AcquireSlot, and until when they are not asked.
	unsupported map[string]time.Time
	turns       map[string]chan struct{} // held requests, by ID; a value wakes one
	rechecked   time.Time                // when the held requests were last checked
	reportedAt  map[string]time.Time     // when a scarcity was reported to other daemons
	invalid     map[string]bool          // servers whose number of slots was reported as invalid
}

func newSlotLeases() slotLeases {
	return slotLeases{
		ledger:      slots.New(),
		held:        map[string]slots.Lease{},
		unsupported: map[string]time.Time{},
		turns:       map[string]chan struct{}{},
		reportedAt:  map[string]time.Time{},
		invalid:     map[string]bool{},
	}
}

// applySlots passes the plain servers of the list to the ledger. The caller holds the lock.
func (s *Service) applySlots(engines []booking.Service, list *fleet.Snapshot) {
	booked := map[string]bool{}
	for _, e := range engines {
		booked[e.Name] = true
	}
	plain := map[string]bool{}
	for i := range list.Upstreams {
		u := &list.Upstreams[i]
		if booked[u.Service] {
			continue
		}
		plain[u.ID] = true
		if s.slots.ledger.SetServer(u.ID, u.Service, u.Slots) {
			delete(s.slots.invalid, u.ID)
			continue
		}
		if !s.slots.invalid[u.ID] {
			s.slots.invalid[u.ID] = true
			s.log.WithFields(logrus.Fields{"upstream": u.ID, "slots": u.Slots}).Warn("invalid_slot_count")
		}
	}
	listed := func(id string) bool { return plain[id] }
	s.slots.ledger.Retain(listed)
	for id := range s.slots.invalid {
		if !listed(id) {
			delete(s.slots.invalid, id)
		}
	}
}

// ServerFull records that a server has turned away a call of this daemon because it was full, and
// reports it to the keeper.
func (s *Service) ServerFull(service, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	_, remote := s.chooseKeeper(now)
	s.beginScarcity(service, server, now)
	if !remote {
		s.slots.ledger.RecordFull(server, now)
	}
	s.enqueueSlot(Slot{Full: server}, now)
	s.requestUrgentFlush()
}

// enqueueSlot sends a slot event to the keeper, unless that one does not know any. The caller holds
// the lock.
func (s *Service) enqueueSlot(e Slot, now time.Time) {
	if !s.lacksSlots(s.keeper, now) {
		s.enqueue(Event{Slot: &e})
	}
}

// slotEnds returns those events that are sent also after a RestoreRequest: it does not withdraw
// requests for slots that the keeper still holds.
func slotEnds(events []Event) []Event {
	return slices.DeleteFunc(events, func(e Event) bool { return e.Slot == nil || e.Slot.Ended == "" })
}

// AcquireSlot asks the keeper for a lease on a slot of one of the servers. The verdict is
// slots.Unavailable if no keeper can grant one.
func (s *Service) AcquireSlot(ctx context.Context, r slots.Request) slots.Grant {
	r.Host = s.opts.Host
	s.mu.Lock()
	now := time.Now()
	keeper, remote := s.chooseKeeper(now)
	if !remote {
		defer s.mu.Unlock()
		return s.acquireLocally(ctx, r)
	}
	if s.lacksSlots(keeper.Host, now) {
		s.mu.Unlock()
		return slots.Grant{}
	}
	req := &AcquireSlotRequest{From: s.self(), Ask: slotMessage(r, now), Events: s.takeEvents()}
	s.mu.Unlock()

	var reply AcquireSlotReply
	err := s.call(ctx, keeper, "AcquireSlot", slotTimeout, req, &reply)
	s.mu.Lock()
	defer s.mu.Unlock()
	now = time.Now()
	if err != nil {
		s.recordNoSlots(ctx, keeper, err, now)
		s.enqueueSlot(Slot{Ended: r.ID}, now) // the keeper may hold the request, and grant it later
		return slots.Grant{}
	}
	s.silent.recordAnswer(keeper.Host, now)
	s.recordScarce(reply.Scarce, now)
	if reply.Unknown || s.restoring {
		// A RestoreRequest under way lacks this lease and replaces what the keeper has.
		s.needsRestore = true
		s.requestFlush()
	}
	s.recordHeld(r, reply.Grant)
	return reply.Grant
}

// acquireLocally answers a request of this daemon, the keeper. One that knows of other daemons
// only that they do not answer grants no leases. The caller holds the lock.
func (s *Service) acquireLocally(ctx context.Context, r slots.Request) slots.Grant {
	if s.uncoordinated {
		return slots.Grant{}
	}
	g := s.acquireHeld(ctx, r)
	now := time.Now()
	s.recordScarce(s.slots.ledger.ScarceServices(now), now)
	s.recordHeld(r, g)
	return g
}

// recordHeld records an own lease. The caller holds the lock.
func (s *Service) recordHeld(r slots.Request, g slots.Grant) {
	if g.Verdict == slots.Granted {
		s.slots.held[r.ID] = slots.Lease{ID: r.ID, Server: g.Server, Until: r.Deadline}
	}
}

// recordNoSlots records that the keeper did not answer a request for a slot, or does not know the
// method. The caller holds the lock.
func (s *Service) recordNoSlots(ctx context.Context, keeper membership.Member, err error, now time.Time) {
	var answered rpc.ServerError
	if !errors.As(err, &answered) {
		s.recordNoAnswer(ctx, keeper, err, now)
		return
	}
	s.recordLacksSlots(keeper.Host, err, now)
	s.needsRestore = true // events were lost with the message
	s.requestFlush()
}

// recordLacksSlots records that a daemon answered that it does not know a method about slots. The
// caller holds the lock.
func (s *Service) recordLacksSlots(host string, err error, now time.Time) {
	s.slots.unsupported[host] = now.Add(noSlotsRetry)
	s.log.WithError(err).WithField("host", host).Info("slots_not_supported")
}

// lacksSlots reports whether a daemon is known not to grant slots. The caller holds the lock.
func (s *Service) lacksSlots(host string, now time.Time) bool {
	return now.Before(s.slots.unsupported[host])
}

// ReleaseSlot ends a lease, or withdraws a request that waits for a slot.
func (s *Service) ReleaseSlot(lease string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	delete(s.slots.held, lease)
	s.endSlot(lease, now)
	s.enqueueSlot(Slot{Ended: lease}, now)
	s.requestUrgentFlush()
}

// applySlotEvent takes in a slot event of another daemon. The caller holds the lock.
func (s *Service) applySlotEvent(e *Slot, now time.Time) {
	if e.Ended != "" {
		s.endSlot(e.Ended, now)
	}
	if e.Full == "" {
		return
	}
	if !s.slots.ledger.RecordFull(e.Full, now) {
		s.log.WithField("upstream", e.Full).Info("full_server_not_known")
	}
	s.recordScarce(s.slots.ledger.ScarceServices(now), now)
}

// maintainSlots ends the leases that have passed their deadlines and logs which services have
// ceased to be scarce. The caller holds the lock.
func (s *Service) maintainSlots(now time.Time) {
	s.slots.ledger.Expire(now)
	s.wakeNext(now)
	maps.DeleteFunc(s.slots.unsupported, func(_ string, until time.Time) bool { return !now.Before(until) })
	for id, lease := range s.slots.held {
		if !now.Before(lease.Until) {
			delete(s.slots.held, id)
		}
	}
	for _, service := range s.slots.scarcity.Ended(now) {
		s.log.WithField("service", service).Info("service_no_longer_scarce")
	}
}

// restoreOwnSlots enters the own leases in the ledger when this daemon becomes the keeper. The
// caller holds the lock.
func (s *Service) restoreOwnSlots(remote bool, now time.Time) {
	if remote {
		return
	}
	held := make([]slots.Lease, 0, len(s.slots.held))
	for _, lease := range s.slots.held {
		held = append(held, lease)
	}
	s.slots.ledger.Restore(s.opts.Host, held, now)
}

// heldSlots returns the own leases as messages. The caller holds the lock.
func (s *Service) heldSlots(now time.Time) []SlotLease {
	var list []SlotLease
	for _, x := range s.slots.held {
		if left := x.Until.Sub(now); left > 0 {
			list = append(list, SlotLease{ID: x.ID, Server: x.Server, Left: left})
		}
	}
	slices.SortFunc(list, func(a, b SlotLease) int { return int(a.Left - b.Left) })
	return list
}

// SlotUsage is the state of the slots of plain servers as the keeper knows it.
type SlotUsage struct {
	Servers []slots.ServerUsage
	Waiting []slots.WaitingUsage
}

// SlotUsage returns what this daemon knows as the keeper; ok is false if another one is.
func (s *Service) SlotUsage() (u SlotUsage, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keeper != "" {
		return SlotUsage{}, false
	}
	now := time.Now()
	return SlotUsage{Servers: s.slots.ledger.Usage(now), Waiting: s.slots.ledger.Waiting(now)}, true
}
