package front

import (
	"context"
	"io"

	"github.com/buckthorndock/buckthorndock/internal/claims"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/join"
)

// joined runs a repeatable job with a key, or passes on the answer of the run
// under the same key that is in flight. When that one gives no whole answer the
// job runs by itself, from the first token on that was not passed on.
func (s *Server) joined(ctx context.Context, j *job, do work, pass relay) *request.Refusal {
	run := join.Run{
		Customer:    j.req.Customer,
		Key:         j.req.Key,
		Fingerprint: j.req.Fingerprint,
		ID:          j.req.ID,
		Until:       j.req.Deadline,
	}
	t := s.opts.Join.Enter(ctx, run, "")
	if t.Other == nil {
		return s.asJoinable(ctx, j, t, do)
	}
	s.log.WithFields(jobFields(j)).WithField("run", t.Other.ID).WithField("at", t.Other.Host).Info("joined")
	end, err := s.passOn(ctx, j, pass, func(ctx context.Context, w io.Writer) (claims.Ending, error) {
		return s.opts.Join.Relay(ctx, *t.Other, w)
	})
	if err == nil && end.State == claims.AnswerComplete {
		return nil
	}
	s.log.WithFields(jobFields(j)).WithField("state", end.State.String()).Info("joined_in_vain")
	if j.answered > 0 {
		return s.admitted(ctx, j, do) // it has no beginning that others could read
	}
	t = s.opts.Join.Enter(ctx, run, t.Other.ID)
	if t.Other == nil {
		return s.asJoinable(ctx, j, t, do)
	}
	return s.admitted(ctx, j, do) // others have come first; one wait is enough
}

// asJoinable runs a job that others can join. It goes on without its caller when
// somebody has.
func (s *Server) asJoinable(ctx context.Context, j *job, t *join.Ticket, do work) *request.Refusal {
	j.record = t.Answer
	j.needed = t.HasReaders
	wanted, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		if !t.HasReaders() {
			cancel()
		}
	})
	defer stop()
	refusal := s.admitted(wanted, j, do)
	if refusal != nil {
		t.Finish(claims.Ending{State: claims.AnswerFailed, Code: refusal.Code, Message: refusal.Message})
		return refusal
	}
	t.Finish(claims.Ending{State: claims.AnswerComplete})
	return nil
}
