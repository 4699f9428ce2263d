package owner

import (
	"context"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/ledger"
)

// ServiceName is the name under which RPC is to be registered.
const ServiceName = "Owner"

// Methods of RPC.
const (
	methodReserve = ServiceName + ".Reserve"
	methodRelease = ServiceName + ".Release"
	methodRenew   = ServiceName + ".Renew"
	methodTurn    = ServiceName + ".Turn"
)

// RPC is the net/rpc receiver of a Service.
type RPC struct {
	ctx     context.Context
	service *Service
}

// RPC returns the receiver; calls to engines end with the context.
func (s *Service) RPC(ctx context.Context) *RPC {
	return &RPC{ctx: ctx, service: s}
}

// ReserveReply answers Reserve. When Granted is false the front holds nothing,
// or what it holds is being released.
type ReserveReply struct {
	Granted    bool
	Reason     ledger.Reason
	RetryAfter time.Duration // zero: asking again does not help
}

// Reserve asks for memory on an engine that this host owns.
func (r *RPC) Reserve(ask ledger.ReserveRequest, reply *ReserveReply) error {
	s := r.service
	s.mu.Lock()
	acts := s.ledger.Reserve(ask, s.opts.Clock())
	s.mu.Unlock()
	for _, v := range s.execute(r.ctx, acts) {
		switch v := v.(type) {
		case ledger.Grant:
			*reply = ReserveReply{Granted: true}
		case ledger.Deny:
			*reply = ReserveReply{Reason: v.Reason, RetryAfter: v.RetryAfter}
		}
	}
	s.logVerdict(ask, *reply)
	return nil
}

func (s *Service) logVerdict(ask ledger.ReserveRequest, reply ReserveReply) {
	f := fields{
		"engine":    ask.Engine,
		"id":        ask.ID,
		"holder":    ask.Holder.Host,
		"tokens":    ask.Tokens,
		"gang_size": ask.GangSize,
		"granted":   reply.Granted,
	}
	if reply.Granted {
		metricGrants.Inc()
	} else {
		metricDenials(reply.Reason).Inc()
		f["reason"] = string(reply.Reason)
		f["retry_after"] = reply.RetryAfter
	}
	s.opts.Log.WithFields(f).Info("reserve")
}

// ReleaseArgs names a holding to end.
type ReleaseArgs struct {
	Engine string
	ID     ledger.ID
	Holder ledger.Holder
}

// ReleaseReply answers Release.
type ReleaseReply struct {
	Confirmed bool // the engine holds it no longer; else ask again
}

// Release ends a holding on an engine that this host owns. It is idempotent.
func (r *RPC) Release(args ReleaseArgs, reply *ReleaseReply) error {
	s := r.service
	s.mu.Lock()
	acts := s.ledger.Release(args.Engine, args.ID, args.Holder, s.opts.Clock())
	s.mu.Unlock()
	for _, v := range s.execute(r.ctx, acts) {
		if e, ok := v.(ledger.Ended); ok && e.ID == args.ID {
			reply.Confirmed = true
		}
	}
	return nil
}

// Renew takes the list of all that a front holds on engines of this host.
func (r *RPC) Renew(args ledger.Renewal, reply *ledger.RenewalReply) error {
	s := r.service
	s.mu.Lock()
	answer, acts := s.ledger.Renew(args, s.opts.Clock())
	s.mu.Unlock()
	metricRenewals.Inc()
	s.executeInBackground(r.ctx, acts)
	*reply = answer
	return nil
}

// TurnArgs asks for a pool's turn to gather a gang, or gives it back.
type TurnArgs struct {
	Pool string
	Gang string
	Give bool
}

// TurnReply answers Turn.
type TurnReply struct {
	OK   bool
	Wait time.Duration // when to ask again
}

// Turn lets one gang of a pool gather at a time.
func (r *RPC) Turn(args TurnArgs, reply *TurnReply) error {
	s := r.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if args.Give {
		s.turns.Release(args.Pool, args.Gang)
		reply.OK = true
		return nil
	}
	reply.Wait, reply.OK = s.turns.Acquire(args.Pool, args.Gang, s.opts.Clock())
	return nil
}

// BooksReply is what this host knows of one engine's memory.
type BooksReply struct {
	Owned bool
	Room  ledger.Room
}

// Books returns the ledger's hint for an engine, for status and explain.
func (r *RPC) Books(engine string, reply *BooksReply) error {
	reply.Room, reply.Owned = r.service.Room(engine)
	return nil
}
