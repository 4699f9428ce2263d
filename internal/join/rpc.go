package join

import (
	"context"

	"github.com/buckthorndock/buckthorndock/internal/claims"
)

// EnterArgs registers a run at its key's home unless there is one to join.
type EnterArgs struct {
	Run     Run
	Instead string // ID of the run that could not be joined and that Run replaces
}

// EnterReply names the run to join, if Join is set.
type EnterReply struct {
	Join  bool
	Other Run
}

// LeaveArgs reports the end of a run to its key's home.
type LeaveArgs struct {
	Run Run
}

// LeaveReply confirms a LeaveArgs; Done is always true.
type LeaveReply struct {
	Done bool
}

// ReadArgs requests the answer of a run from byte From on.
type ReadArgs struct {
	Run  Run
	From int
}

// RPC is the net/rpc receiver, to be registered as ServiceName.
type RPC struct {
	s    *Service
	base context.Context
}

// RPC returns the receiver of the other hosts' calls, which end with base.
func (s *Service) RPC(base context.Context) *RPC { return &RPC{s: s, base: base} }

// Enter returns the run that a front's request can join, or registers the request.
func (r *RPC) Enter(a EnterArgs, reply *EnterReply) error {
	reply.Other, reply.Join = r.s.registry.enter(a.Run, a.Instead)
	return nil
}

// Leave removes a run that has ended.
func (r *RPC) Leave(a LeaveArgs, reply *LeaveReply) error {
	r.s.registry.leave(a.Run)
	reply.Done = true
	return nil
}

// Read returns the next chunk of the answer of one of this host's runs to a front
// that joined it.
func (r *RPC) Read(a ReadArgs, reply *claims.Chunk) error {
	if a.Run.Host != r.s.o.Host || a.Run.Incarnation != r.s.o.Incarnation {
		*reply = claims.Chunk{State: claims.AnswerMissing}
		return nil
	}
	ctx, cancel := context.WithTimeout(r.base, readWait)
	defer cancel()
	*reply = r.s.readLocal(ctx, a.Run, a.From)
	return nil
}
