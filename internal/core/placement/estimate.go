package placement

import (
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

// leastUrgent is the priority behind which all work counts.
const leastUrgent = request.NumPriorities - 1

// queueAhead returns the prompt tokens that will be computed before a new request
// of the priority: those of the report, less what has been worked off since, and
// own placements that the report does not show.
func (e *Engine) queueAhead(o *Options, p request.Priority, now time.Time) int64 {
	ahead := e.reportedAhead(p)
	if ahead > 0 {
		age := min(max(now.Sub(e.report.Taken), 0), o.MaxDrain)
		drained := e.prefill(o, now) * age.Seconds()
		ahead = max(ahead-drained, 0)
	}
	sum := int64(ahead)
	for _, tokens := range e.own.prefill[:p+1] {
		sum += tokens
	}
	return sum
}

func (e *Engine) reportedAhead(p request.Priority) float64 {
	if !e.report.SplitKnown {
		return float64(e.report.QueuedPrefill) * e.group.boundary.shareUpTo(p)
	}
	var sum int64
	for _, tokens := range e.report.QueuedByPriority[:p+1] {
		sum += tokens
	}
	return float64(sum)
}

// prefixUse is the part of a prompt that some engine of the group has cached.
type prefixUse struct {
	blocks []uint64
	depth  int // leading blocks worth looking up
}

// estimator works out the estimates of one ask in one group.
type estimator struct {
	opts     *Options
	ask      *Request
	priority request.Priority // as sent; all work counts when the policy sends none
	class    Class
	now      time.Time
	prefix   prefixUse
	share    float64 // expected answer as a share of its bound
}

func (v *View) estimator(g *group, a *Request, p request.Priority, now time.Time) estimator {
	share := v.opts.AnswerShare
	if m := v.models[a.Model]; m != nil {
		share = m.answerShare.value(share, now, v.opts.RateHalfLife)
	}
	if !usesPriority(a.Policy) {
		p = leastUrgent
	}
	return estimator{
		opts:     &v.opts,
		ask:      a,
		priority: p,
		class:    ClassOf(a.Tokens, a.LongFrom),
		now:      now,
		prefix:   prefixUse{blocks: a.Prefix, depth: g.prefixes.depth(a.Prefix)},
		share:    share,
	}
}

// defaultBlockTokens is the size of a prefix block before a report tells it.
const defaultBlockTokens = 256

func (s *estimator) cachedTokens(e *Engine) int {
	depth := e.cachedDepth(s.prefix.blocks, s.prefix.depth)
	if depth == 0 {
		return 0
	}
	size := e.report.BlockTokens
	if size <= 0 {
		size = defaultBlockTokens
	}
	// The last token is always computed.
	return max(min(depth*size, s.ask.Tokens-1), 0)
}

// of estimates the ask on one engine.
func (s *estimator) of(e *Engine) Estimate {
	rate := e.prefill(s.opts, s.now)
	cached := s.cachedTokens(e)
	ahead := e.queueAhead(s.opts, s.priority, s.now)
	all := e.queueAhead(s.opts, leastUrgent, s.now)
	est := Estimate{
		Cached:     cached,
		Queue:      tokensTime(float64(ahead), rate),
		LessUrgent: tokensTime(float64(all-ahead), rate),
		Prefill:    tokensTime(float64(s.ask.Tokens-cached), rate),
		MemoryWait: s.memoryWait(e),
	}
	if e.requests() > 0 {
		est.Residual = max(e.report.Step, 0)
	}
	if all == 0 && s.mayMeetLonger(e) {
		est.Unseen = tokensTime(float64(s.opts.StepTokens), rate)
	}
	if e.reported {
		est.Stale = min(max(s.now.Sub(e.report.Taken)-s.opts.StaleAfter, 0), maxWait)
	}
	est.FirstToken = est.Queue + est.Prefill + est.Residual + est.MemoryWait + est.Stale
	answer := s.share * float64(s.ask.MaxTokens)
	est.Finish = est.FirstToken + tokensTime(answer, e.decode(s.opts, s.now))
	return est
}

// mayMeetLonger reports whether the engine takes prompts so much longer than this
// short one that meeting one costs a step of another's work. A prompt of middle
// length is over before a report shows it, so an engine without known work counts
// as idle only when it is kept for prompts of about this length.
func (s *estimator) mayMeetLonger(e *Engine) bool {
	if s.class == Long || s.ask.Policy != settings.PolicyLengthAware || s.ask.LongFrom <= 0 {
		return false
	}
	return float64(e.limit()) > s.opts.SimilarRatio*float64(s.ask.Tokens)
}

// cost is what the choice goes by. An engine may finish a prompt that it has begun
// before a more urgent one, so that less urgent work is better avoided, and so is
// work that may have come since the report; but neither refuses a deadline.
func (x *Estimate) cost() int64 {
	return int64(x.FirstToken + x.LessUrgent + x.Unseen)
}

// memoryWait estimates how long it takes until enough memory is free: what is
// used turns over once in the mean time for which a request holds it.
func (s *estimator) memoryWait(e *Engine) time.Duration {
	need := s.ask.MemoryNeeded()
	if e.hasRoom(need) {
		return 0
	}
	prior := s.opts.MemoryHoldTime.Seconds()
	residence := e.group.residence.value(prior, s.now, s.opts.RateHalfLife)
	used := e.report.MemoryTotal - e.free()
	return tokensTime(float64(need-e.free()), float64(used)/max(residence, 0.001))
}

// missesDeadline reports whether the answer is expected after the deadline.
func (s *estimator) missesDeadline(est *Estimate) bool {
	d := s.ask.Deadline
	return !d.IsZero() && s.now.Add(est.Finish).After(d)
}

// backlog sums the work ahead of the ask over the live engines of the group.
func (s *estimator) backlog(g *group) Backlog {
	var b Backlog
	for _, e := range g.engines {
		if !e.accepts() || !e.serves(s.ask.Model) {
			continue
		}
		b.Tokens += e.queueAhead(s.opts, s.priority, s.now)
		b.Rate += e.prefill(s.opts, s.now)
	}
	return b
}
