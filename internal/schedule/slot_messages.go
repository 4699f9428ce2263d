package schedule

import (
	"context"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/slots"
)

// Slot reports the end of a slot lease or a full server.
type Slot struct {
	Ended string // lease, or request for one, that has ended
	Full  string // server that has turned a call away because it was full
}

// SlotAsk asks for a lease on a slot of one of some servers.
type SlotAsk struct {
	ID      string // of the lease
	Service string
	Route   string        // of the call
	Servers []string      // the preferred ones first
	Rank    int           // 0 is the most urgent
	Age     time.Duration // since the call arrived at the sender
	Left    time.Duration // until its deadline
}

// SlotLease is a lease that the sender has.
type SlotLease struct {
	ID     string
	Server string
	Left   time.Duration // until it expires
}

// AcquireSlotRequest asks the keeper for a slot. The keeper applies Events first.
type AcquireSlotRequest struct {
	From   sender
	Ask    SlotAsk
	Events []Event
}

// AcquireSlotReply answers an AcquireSlotRequest.
type AcquireSlotReply struct {
	Grant   slots.Grant
	Unknown bool     // as in PlaceReply
	Scarce  []string // as in PlaceReply
}

// AcquireSlot answers another daemon's request for a slot, after slots.HoldFor at the latest.
func (r *RPC) AcquireSlot(req *AcquireSlotRequest, reply *AcquireSlotReply) error {
	s := r.s
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	reply.Unknown = !s.recordSender(req.From, now)
	s.applyEvents(req.Events, now)
	reply.Grant = s.acquireHeld(context.Background(), coreRequest(req.From.Host, req.Ask, now))
	reply.Scarce = s.scarceFor(req.From.Host, time.Now())
	return nil
}

func slotMessage(r slots.Request, now time.Time) SlotAsk {
	return SlotAsk{
		ID: r.ID, Service: r.Service, Route: r.Route, Servers: r.Servers, Rank: r.Rank,
		Age: now.Sub(r.Arrived), Left: r.Deadline.Sub(now),
	}
}

func coreRequest(host string, a SlotAsk, now time.Time) slots.Request {
	return slots.Request{
		ID: a.ID, Host: host, Service: a.Service, Route: a.Route, Servers: a.Servers, Rank: a.Rank,
		Arrived: now.Add(-max(a.Age, 0)), Deadline: now.Add(a.Left),
	}
}

func coreLeases(list []SlotLease, now time.Time) []slots.Lease {
	leases := make([]slots.Lease, 0, len(list))
	for _, x := range list {
		leases = append(leases, slots.Lease{ID: x.ID, Server: x.Server, Until: now.Add(x.Left)})
	}
	return leases
}
