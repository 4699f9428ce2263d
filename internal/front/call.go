package front

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/answerhead"
	"github.com/buckthorndock/buckthorndock/internal/core/placement"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
	"github.com/buckthorndock/buckthorndock/internal/inbound"
	"github.com/buckthorndock/buckthorndock/internal/upstream"
)

// minAttemptTime is the minimum timeout of one attempt of a repeatable service call.
const minAttemptTime = 100 * time.Millisecond

// serviceCall is the state of one service call over its attempts.
type serviceCall struct {
	s              *Server
	job            *job
	attempt        int
	earlierWritten bool
	exclude        []string
}

// callService runs a service call, with retries, and returns the service's answer or
// a refusal.
func (s *Server) callService(ctx context.Context, j *job) ([]byte, *request.Refusal) {
	c := &serviceCall{s: s, job: j, attempt: 1}
	ctx = upstream.WithPermit(ctx, s.dispatchPermit(j))
	for {
		if s.opts.Shutdown.SendingEnded() {
			return nil, c.leavingRefusal()
		}
		d, refusal := c.place()
		if refusal != nil {
			return nil, refusal
		}
		sent := time.Now()
		result, err := c.try(ctx, d)
		if err == nil {
			c.noteSpeed(d, time.Since(sent))
			s.retries.recordSuccess(j.routing, time.Now())
			return result, nil
		}
		if refusal := c.decideNext(ctx, d, err); refusal != nil {
			return nil, refusal
		}
	}
}

func (c *serviceCall) place() (placement.Decision, *request.Refusal) {
	placeReq := placement.ServiceRequest{Pool: c.job.pool.Name, Exclude: slices.Concat(c.exclude, c.s.barred()), Spill: c.job.routing.Spill}
	d, err := c.s.opts.Router.PlaceService(placeReq)
	if err != nil {
		return d, request.Refuse(request.CodeInternal, retryElsewhere, "placement failed")
	}
	if d.Verdict == placement.Placed {
		c.s.recordDecision(c.job, c.attempt, d, []string{d.Chosen.Name})
		return d, nil
	}
	if len(c.exclude) > 0 {
		// All remaining upstreams have failed this request; one may have recovered.
		c.exclude = nil
		return c.place()
	}
	c.s.recordDecision(c.job, c.attempt, d, nil)
	refusal := request.Refuse(request.CodeNoUpstream, c.s.retryAfter(c.job, d.Backlog.Drain()), "no live server of service %s", c.job.req.Target)
	if c.earlierWritten {
		refusal.Outcome = request.Failed
	}
	return d, refusal
}

// try sends the call once. The attempt of a repeatable call gets half of the remaining
// time, which leaves time for another attempt.
func (c *serviceCall) try(ctx context.Context, d placement.Decision) ([]byte, error) {
	id := placement.ID{Request: c.job.req.ID, Attempt: c.attempt}
	c.s.opts.Router.Placed(placement.Placement{ID: id, Upstream: d.Chosen.Name, Deadline: c.job.req.Deadline})
	defer c.s.opts.Router.Finished(id, placement.End{})
	if c.job.req.Repeatable {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, max(c.job.req.Remaining(time.Now())/2, minAttemptTime))
		defer cancel()
	}
	result, err := c.s.opts.Client.Call(ctx, d.Chosen.Address, c.job.req.Operation, c.job.req.ID, c.attempt, c.job.body)
	if err != nil {
		return nil, err
	}
	return result, c.job.answer.add(len(result))
}

// noteSpeed records the time of a call that its first server answered.
func (c *serviceCall) noteSpeed(d placement.Decision, took time.Duration) {
	if c.attempt == 1 {
		c.s.opts.Router.ServiceAnswered(c.job.pool.Name, c.job.req.Operation, d.Chosen.Name, took)
	}
}

// decideNext decides what follows a failed attempt: nil means another attempt, a
// refusal ends the call.
func (c *serviceCall) decideNext(ctx context.Context, d placement.Decision, err error) *request.Refusal {
	if endedByShutdown(ctx) {
		c.earlierWritten = c.earlierWritten || classifyCallError(err) != retry.NotWritten
		return c.leavingRefusal()
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return callerGoneRefusal(c.job)
	}
	if errors.Is(err, upstream.ErrNotPermitted) {
		return notPermittedRefusal()
	}
	end := classifyCallError(err)
	a := retry.Attempt{Number: c.attempt, End: end, EarlierWritten: c.earlierWritten}
	if end != retry.NotWritten {
		c.earlierWritten = true
	}
	c.s.updateUpstreamState(d.Chosen.Name, streamEnd{end: end})
	c.s.recordBackOff(d.Chosen.Name, err)
	decision := c.s.retries.next(a, c.job, time.Now())
	fields := jobFields(c.job)
	fields["attempt"] = c.attempt
	fields["upstream"] = d.Chosen.Name
	fields["end"] = end.String()
	fields["action"] = decision.Action.String()
	c.s.log.WithFields(fields).WithError(err).Info("attempt_ended")
	if decision.Action == retry.GiveUp {
		return decision.Refusal
	}
	c.attempt = decision.Attempt
	c.exclude = append(c.exclude, d.Chosen.Name)
	return nil
}

// leavingRefusal refuses the call because this daemon shuts down.
func (c *serviceCall) leavingRefusal() *request.Refusal {
	refusal := leavingRefusal()
	switch {
	case c.earlierWritten && c.job.req.Repeatable:
		refusal.Outcome = request.Failed
	case c.earlierWritten:
		refusal.Outcome = request.Unknown
	}
	return refusal
}

// classifyCallError classifies the error of a failed attempt.
func classifyCallError(err error) retry.End {
	if upstream.IsNotStarted(err) {
		return retry.NotWritten
	}
	if _, ok := upstream.RefusalCode(err); ok {
		return retry.Refused
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return retry.Silent
	case answerhead.IsError(err), errors.Is(err, inbound.ErrTooLong):
		return retry.InvalidAnswer
	}
	return retry.Broken
}
