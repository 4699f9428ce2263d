package placement

import (
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

// lowestPriority is the priority at which all work is ahead of a new request.
const lowestPriority = request.NumPriorities - 1

// queueAhead returns the prompt tokens that will be computed before a new request
// of the priority: those in the report, less what has been computed since, plus
// those of own placements that the report does not include.
func (e *Engine) queueAhead(o *Options, p request.Priority, now time.Time) int64 {
	ahead := e.reportedAhead(p)
	if ahead > 0 {
		age := min(max(now.Sub(e.report.Taken), 0), o.MaxDrain)
		drained := e.estimatePrefillRate(o, now) * age.Seconds()
		ahead = max(ahead-drained, 0)
	}
	sum := int64(ahead)
	for _, tokens := range e.pendingLoad.prefill[:p+1] {
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

// cachedPrefix is the part of a prompt that some engine of the group has cached.
type cachedPrefix struct {
	blocks []uint64
	depth  int // number of leading blocks that some engine has cached
}

// estimator computes the estimates of one request on the engines of one group.
type estimator struct {
	opts        *Options
	req         *Request
	priority    request.Priority // as sent to the engine; lowestPriority when the policy sends none
	class       Class
	now         time.Time
	prefix      cachedPrefix
	answerShare float64 // expected length of the answer as a share of MaxTokens
}

func (v *View) newEstimator(g *group, r *Request, p request.Priority, now time.Time) estimator {
	share := v.opts.AnswerShare
	if m := v.models[r.Model]; m != nil {
		share = m.answerShare.value(share, now, v.opts.RateHalfLife)
	}
	if !usesPriority(r.Policy) {
		p = lowestPriority
	}
	return estimator{
		opts:        &v.opts,
		req:         r,
		priority:    p,
		class:       ClassOf(r.Tokens, r.LongFrom),
		now:         now,
		prefix:      cachedPrefix{blocks: r.Prefix, depth: g.prefixes.depth(r.Prefix)},
		answerShare: share,
	}
}

// defaultBlockTokens is the size in tokens of a prefix block when no report gives it.
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
	return max(min(depth*size, s.req.Tokens-1), 0)
}

// estimate returns the estimate of the request on one engine.
func (s *estimator) estimate(e *Engine) Estimate {
	rate := e.estimatePrefillRate(s.opts, s.now)
	cached := s.cachedTokens(e)
	ahead := e.queueAhead(s.opts, s.priority, s.now)
	all := e.queueAhead(s.opts, lowestPriority, s.now)
	est := Estimate{
		Cached:     cached,
		Queue:      timeForTokens(float64(ahead), rate),
		LessUrgent: timeForTokens(float64(all-ahead), rate),
		Prefill:    timeForTokens(float64(s.req.Tokens-cached), rate),
		MemoryWait: s.memoryWait(e),
	}
	if e.requests() > 0 {
		est.Residual = max(e.report.Step, 0)
	}
	if all == 0 && s.mayQueueBehindLonger(e) {
		est.Unseen = timeForTokens(float64(s.opts.StepTokens), rate)
	}
	if e.reported {
		est.Stale = min(max(s.now.Sub(e.report.Taken)-s.opts.StaleAfter, 0), maxWait)
	}
	est.FirstToken = est.Queue + est.Prefill + est.Residual + est.MemoryWait + est.Stale
	answer := s.answerShare * float64(s.req.MaxTokens)
	est.Finish = est.FirstToken + timeForTokens(answer, e.estimateDecodeRate(s.opts, s.now))
	return est
}

// mayQueueBehindLonger reports whether the engine accepts prompts so much longer than
// this short one that waiting behind one costs a step of its work. A prompt of medium
// length finishes before a report includes it, so an engine without known work counts
// as idle only when its limit is close to the length of this prompt.
func (s *estimator) mayQueueBehindLonger(e *Engine) bool {
	if s.class == Long || s.req.Policy != settings.PolicyLengthAware || s.req.LongFrom <= 0 {
		return false
	}
	return float64(e.limit()) > s.opts.SimilarRatio*float64(s.req.Tokens)
}

// cost is the score by which the length-aware policy chooses. An engine may finish a
// prompt that it has begun before a more urgent one, so less urgent work counts, and so
// does longer work that may have arrived since the report. Neither counts in the check
// of the deadline.
func (x *Estimate) cost() int64 {
	return int64(x.FirstToken + x.LessUrgent + x.Unseen)
}

// memoryWait estimates the time until enough memory is free. It assumes that an amount equal
// to all memory in use is freed within the mean time that a request holds memory.
func (s *estimator) memoryWait(e *Engine) time.Duration {
	need := s.req.MemoryNeeded()
	if e.hasFreeMemory(need) {
		return 0
	}
	prior := s.opts.MemoryHoldTime.Seconds()
	holdTime := e.group.holdTime.value(prior, s.now, s.opts.RateHalfLife)
	used := e.report.MemoryTotal - e.free()
	return timeForTokens(float64(need-e.free()), float64(used)/max(holdTime, 0.001))
}

// missesDeadline reports whether the answer is expected to end after the deadline.
func (s *estimator) missesDeadline(est *Estimate) bool {
	d := s.req.Deadline
	return !d.IsZero() && s.now.Add(est.Finish).After(d)
}

// backlog sums the work ahead of the request over the live engines of the group.
func (s *estimator) backlog(g *group) Backlog {
	var b Backlog
	for _, e := range g.engines {
		if !e.acceptsWork() || !e.serves(s.req.Model) {
			continue
		}
		b.Tokens += e.queueAhead(s.opts, s.priority, s.now)
		b.Rate += e.estimatePrefillRate(s.opts, s.now)
	}
	return b
}
