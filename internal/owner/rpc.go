package owner

import (
	"context"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/ledger"
)

// ServiceName is the name under which RPC must be registered.
const ServiceName = "Owner"

// Names of the methods of RPC for calls.
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

// RPC returns the net/rpc receiver of the service. Its calls to engines end with ctx.
func (s *Service) RPC(ctx context.Context) *RPC {
	return &RPC{ctx: ctx, service: s}
}

// ReserveReply is the reply of Reserve. When Granted is false, the front holds
// nothing, or what it holds is being released.
type ReserveReply struct {
	Granted    bool
	Reason     ledger.Reason
	RetryAfter time.Duration // zero: trying again does not help
}

// Reserve reserves memory on an engine that this host owns.
func (r *RPC) Reserve(req ledger.ReserveRequest, reply *ReserveReply) error {
	s := r.service
	s.mu.Lock()
	acts := s.ledger.Reserve(req, s.opts.Clock())
	s.mu.Unlock()
	for _, v := range s.execute(r.ctx, acts) {
		switch v := v.(type) {
		case ledger.Grant:
			*reply = ReserveReply{Granted: true}
		case ledger.Deny:
			*reply = ReserveReply{Reason: v.Reason, RetryAfter: v.RetryAfter}
		}
	}
	s.logVerdict(req, *reply)
	return nil
}

// logVerdict logs and counts the reply to a reserve request.
func (s *Service) logVerdict(req ledger.ReserveRequest, reply ReserveReply) {
	f := fields{
		"engine":    req.Engine,
		"id":        req.ID,
		"holder":    req.Holder.Host,
		"tokens":    req.Tokens,
		"gang_size": req.GangSize,
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

// ReleaseArgs identifies a holding to end.
type ReleaseArgs struct {
	Engine string
	ID     ledger.ID
	Holder ledger.Holder
}

// ReleaseReply is the reply of Release.
type ReleaseReply struct {
	Confirmed bool // the engine no longer holds it; if false, call again
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

// Renew applies a front's list of everything that it holds on engines of this
// host.
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

// TurnArgs requests a pool's turn, the exclusive right to gather a gang there, or
// gives it back.
type TurnArgs struct {
	Pool string
	Gang string
	Give bool // give the turn back
}

// TurnReply is the reply of Turn.
type TurnReply struct {
	OK   bool
	Wait time.Duration // time to wait before the next request, if not OK
}

// Turn grants a pool's turn to one gang at a time, or takes it back.
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

// BooksReply is the state of one engine's memory in this host's ledger.
type BooksReply struct {
	Owned bool
	Room  ledger.Room
}

// Books returns what the ledger knows about an engine's memory, for status and
// explain.
func (r *RPC) Books(engine string, reply *BooksReply) error {
	reply.Room, reply.Owned = r.service.Room(engine)
	return nil
}
