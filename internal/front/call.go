package front

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/placement"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
	"github.com/buckthorndock/buckthorndock/internal/upstream"
)

// leastCallTime is the least that one attempt of a repeatable call gets.
const leastCallTime = 100 * time.Millisecond

// serviceCall is one call of a plain service on its way through its attempts.
type serviceCall struct {
	s       *Server
	job     *job
	attempt int
	wrote   bool
	exclude []string
}

// callService runs a call until its one end and returns the service's answer.
func (s *Server) callService(ctx context.Context, j *job) ([]byte, *request.Refusal) {
	c := &serviceCall{s: s, job: j, attempt: 1}
	ctx = upstream.WithPermit(ctx, s.permit(j))
	for {
		d, refusal := c.place()
		if refusal != nil {
			return nil, refusal
		}
		result, err := c.try(ctx, d)
		if err == nil {
			s.retries.success(j.routing, time.Now())
			return result, nil
		}
		if refusal := c.next(ctx, d, err); refusal != nil {
			return nil, refusal
		}
	}
}

func (c *serviceCall) place() (placement.Decision, *request.Refusal) {
	ask := placement.ServiceRequest{Pool: c.job.pool.Name, Exclude: slices.Concat(c.exclude, c.s.barred()), Spill: c.job.routing.Spill}
	d, err := c.s.opts.Router.PlaceService(ask)
	if err != nil {
		return d, request.Refuse(request.CodeInternal, retryElsewhere, "placement failed")
	}
	if d.Verdict == placement.Placed {
		c.s.noteDecision(c.job, c.attempt, d, []string{d.Chosen.Name})
		return d, nil
	}
	if len(c.exclude) > 0 {
		// All that is left has failed before; one of them may be well again.
		c.exclude = nil
		return c.place()
	}
	c.s.noteDecision(c.job, c.attempt, d, nil)
	refusal := request.Refuse(request.CodeNoUpstream, c.s.comeBack(c.job, d.Backlog.Drain()), "no live server of service %s", c.job.req.Target)
	if c.wrote {
		refusal.Outcome = request.Failed
	}
	return d, refusal
}

// try sends the call once. A call that may be repeated leaves time for another
// attempt.
func (c *serviceCall) try(ctx context.Context, d placement.Decision) ([]byte, error) {
	id := placement.ID{Request: c.job.req.ID, Attempt: c.attempt}
	c.s.opts.Router.Placed(placement.Placement{ID: id, Upstream: d.Chosen.Name, Deadline: c.job.req.Deadline})
	defer c.s.opts.Router.Finished(id, placement.End{})
	if c.job.req.Repeatable {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, max(c.job.req.Remaining(time.Now())/2, leastCallTime))
		defer cancel()
	}
	return c.s.opts.Client.Call(ctx, d.Chosen.Address, c.job.req.Operation, c.job.req.ID, c.attempt, c.job.body)
}

// next decides what follows a failed attempt; nil means to try again.
func (c *serviceCall) next(ctx context.Context, d placement.Decision, err error) *request.Refusal {
	if errors.Is(ctx.Err(), context.Canceled) {
		return callerGone(c.job)
	}
	if errors.Is(err, upstream.ErrNotPermitted) {
		return notPermitted()
	}
	end := callEnd(err)
	a := retry.Attempt{Number: c.attempt, End: end, EarlierWritten: c.wrote}
	if end != retry.NotWritten {
		c.wrote = true
	}
	c.s.noteUpstream(d.Chosen.Name, end, false)
	c.s.noteRefusal(d.Chosen.Name, err)
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

// callEnd tells how an attempt of a call ended.
func callEnd(err error) retry.End {
	if upstream.IsNotStarted(err) {
		return retry.NotWritten
	}
	if _, ok := upstream.RefusalCode(err); ok {
		return retry.Refused
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return retry.Silent
	}
	return retry.Broken
}
