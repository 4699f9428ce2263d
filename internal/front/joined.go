package front

import (
	"context"
	"io"

	"github.com/buckthorndock/buckthorndock/internal/claims"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/join"
)

// runOrJoin runs a repeatable job with a key. When a run under the same key is in
// flight, the job relays that run's answer instead. If that answer does not become
// complete, the job runs itself, from the first token that was not relayed.
func (s *Server) runOrJoin(ctx context.Context, j *job, run runFunc, readAnswer readAnswerFunc) *request.Refusal {
	joinRun := join.Run{
		Customer:    j.req.Customer,
		Key:         j.req.Key,
		Fingerprint: j.req.Fingerprint,
		ID:          j.req.ID,
		Until:       j.req.Deadline,
	}
	t := s.opts.Join.Enter(ctx, joinRun, "")
	if t.Other == nil {
		return s.runJoinable(ctx, j, t, run)
	}
	s.log.WithFields(jobFields(j)).WithField("run", t.Other.ID).WithField("at", t.Other.Host).Info("joined")
	end, err := s.relayAnswer(ctx, j, readAnswer, func(ctx context.Context, w io.Writer) (claims.Ending, error) {
		return s.opts.Join.Relay(ctx, *t.Other, w)
	})
	if err == nil && end.State == claims.AnswerComplete {
		return nil
	}
	s.log.WithFields(jobFields(j)).WithField("state", end.State.String()).Info("joined_run_failed")
	if j.deliveredTokens > 0 {
		return s.runAdmitted(ctx, j, run) // its answer lacks the beginning: others cannot join it
	}
	t = s.opts.Join.Enter(ctx, joinRun, t.Other.ID)
	if t.Other == nil {
		return s.runJoinable(ctx, j, t, run)
	}
	return s.runAdmitted(ctx, j, run) // another request runs already; join only once
}

// runJoinable runs a job whose answer other requests can join. If any has, the job
// continues after its own caller has disconnected.
func (s *Server) runJoinable(ctx context.Context, j *job, t *join.Ticket, run runFunc) *request.Refusal {
	j.recording = t.Answer
	j.neededWithoutCaller = t.HasReaders
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		if !t.HasReaders() {
			cancel()
		}
	})
	defer stop()
	refusal := s.runAdmitted(runCtx, j, run)
	if refusal != nil {
		t.Finish(claims.Ending{State: claims.AnswerFailed, Code: refusal.Code, Message: refusal.Message})
		return refusal
	}
	t.Finish(claims.Ending{State: claims.AnswerComplete})
	return nil
}
