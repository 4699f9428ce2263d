package front

import (
	"fmt"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/placement"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
	"github.com/buckthorndock/buckthorndock/internal/router"
)

// jobFields returns the log fields that identify a request.
func jobFields(j *job) logrus.Fields {
	return logrus.Fields{
		"request_id": j.req.ID,
		"customer":   j.req.Customer,
		"target":     j.req.Target,
	}
}

func refusalFields(id string, r *request.Refusal) logrus.Fields {
	return logrus.Fields{
		"request_id":     id,
		"outcome":        string(r.Outcome),
		"code":           string(r.Code),
		"detail":         r.Message,
		"retry_after_ms": r.RetryAfter.Milliseconds(),
	}
}

// recordDecision logs and counts a routing decision and adds it to the journal that
// operators read.
func (s *Server) recordDecision(j *job, attempt int, d placement.Decision, chosen []string) {
	fields := jobFields(j)
	fields["attempt"] = attempt
	fields["prompt_tokens"] = j.req.PromptTokens
	fields["priority"] = j.req.Priority.String()
	fields["class"] = d.Class.String()
	fields["verdict"] = d.Verdict.String()
	fields["chosen"] = strings.Join(chosen, ",")
	fields["estimate_ms"] = milliseconds(d.Chosen.Estimate.FirstToken)
	fields["why"] = string(d.Reason)
	for i, r := range d.Rejected {
		if r.Name != "" {
			fields[fmt.Sprintf("rejected_%d", i+1)] = fmt.Sprintf("%s:%dms:%s", r.Name, milliseconds(r.Estimate.FirstToken), r.Reason)
		}
	}
	s.log.WithFields(fields).Info("placement")
	s.opts.Journal.Add(router.Entry{
		RequestID: j.req.ID,
		Attempt:   attempt,
		At:        time.Now(),
		Request:   j.req,
		Decision:  d,
		Members:   chosen,
	})
	metrics.GetOrCreateCounter(fmt.Sprintf(`buckthorndock_placements_total{class=%q,verdict=%q}`, d.Class, d.Verdict)).Inc()
}

// recordGangMembers records with the router the start or the end of the work of a gang's
// members, except for the receiver's.
func (s *Server) recordGangMembers(t *target, begin bool) {
	if len(t.gang) == 0 {
		return
	}
	for i, m := range t.gang[1:] {
		p := t.placement
		p.ID.Member = i + 1
		p.Upstream = m.Name
		p.Tokens = m.Prefill
		if begin {
			s.opts.Router.Placed(p)
		} else {
			s.opts.Router.Finished(p.ID, placement.End{})
		}
	}
}

// recordFirstToken reports an attempt's first token to the router and measures the time
// to first token.
func (s *Server) recordFirstToken(j *job, t *target, cached int, now time.Time) {
	s.opts.Router.FirstToken(t.placement.ID, cached)
	took := now.Sub(j.req.Arrived)
	name := fmt.Sprintf(`buckthorndock_first_token_seconds{class=%q,priority=%q}`, t.decision.Class, j.req.Priority)
	metrics.GetOrCreateHistogram(name).Update(took.Seconds())
}

// updateUpstreamState sets the state of an upstream that an attempt's end shows to be
// dead or suspect.
func (s *Server) updateUpstreamState(name string, res streamEnd) {
	switch {
	case res.end == retry.NotWritten, res.end == retry.Died:
		s.opts.Router.SetState(name, placement.Dead)
	case res.unanswered, res.end == retry.Silent && !res.reachable, res.end == retry.InvalidAnswer:
		s.opts.Router.SetState(name, placement.Suspect)
	}
}

// recordEnd logs and counts the end of a request.
func (s *Server) recordEnd(j *job, refusal *request.Refusal) {
	outcome := request.Complete
	fields := jobFields(j)
	if refusal != nil {
		outcome = refusal.Outcome
		for k, v := range refusalFields(j.req.ID, refusal) {
			fields[k] = v
		}
	}
	fields["outcome"] = string(outcome)
	fields["took_ms"] = time.Since(j.req.Arrived).Milliseconds()
	s.log.WithFields(fields).Info("request_ended")
	s.opts.Journal.End(j.req.ID, string(outcome))
	metrics.GetOrCreateCounter(fmt.Sprintf(`buckthorndock_requests_total{outcome=%q}`, outcome)).Inc()
}

func milliseconds(d time.Duration) int64 { return d.Milliseconds() }
