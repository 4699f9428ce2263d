package join

import (
	"context"

	"github.com/buckthorndock/buckthorndock/internal/claims"
)

// EnterArgs asks a key's home for a run in flight.
type EnterArgs struct {
	Run     Run
	Instead string
}

// EnterReply names the run to join, if Join is set.
type EnterReply struct {
	Join  bool
	Other Run
}

// LeaveArgs tells a key's home that a run has ended.
type LeaveArgs struct {
	Run Run
}

// LeaveReply is empty.
type LeaveReply struct {
	Done bool
}

// ReadArgs asks for the answer of a run from a byte on.
type ReadArgs struct {
	Run  Run
	From int
}

// RPC is the net/rpc receiver, to be registered as ServiceName.
type RPC struct {
	s    *Service
	base context.Context
}

// RPC returns the receiver for the other hosts' calls, which end with base.
func (s *Service) RPC(base context.Context) *RPC { return &RPC{s: s, base: base} }

// Enter answers a front.
func (r *RPC) Enter(a EnterArgs, reply *EnterReply) error {
	reply.Other, reply.Join = r.s.home.enter(a.Run, a.Instead)
	return nil
}

// Leave takes the end of a run.
func (r *RPC) Leave(a LeaveArgs, reply *LeaveReply) error {
	r.s.home.leave(a.Run)
	reply.Done = true
	return nil
}

// Read answers a front that has joined a run of this host.
func (r *RPC) Read(a ReadArgs, reply *claims.Chunk) error {
	if a.Run.Host != r.s.o.Host || a.Run.Incarnation != r.s.o.Incarnation {
		*reply = claims.Chunk{State: claims.AnswerMissing}
		return nil
	}
	ctx, cancel := context.WithTimeout(r.base, readWait)
	defer cancel()
	*reply = r.s.readOwn(ctx, a.Run, a.From)
	return nil
}
