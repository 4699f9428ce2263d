package retry

import (
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// End is how an attempt ended without a complete answer.
type End uint8

// Ends of an attempt.
const (
	// NotWritten: the connection was refused or broke before a byte of the
	// request was written.
	NotWritten End = iota
	// Refused: the upstream answered that it did not start the request. This is no
	// proof that it did not.
	Refused
	// Silent: no chunk within the idle limit.
	Silent
	// Broken: the stream ended or had a gap before the final marker.
	Broken
	// Died: the upstream's process has ended.
	Died
	// InvalidAnswer: the upstream's answer contradicts itself or cannot be read.
	InvalidAnswer
	// Declined: the upstream promised that it has not run the request and never
	// will.
	Declined
	// Faulted: the upstream ran the request and answered that it failed.
	Faulted
)

var endNames = [...]string{"not_written", "refused", "silent", "broken", "died", "garbage", "declined", "faulted"}

// String returns the name used in logs.
func (e End) String() string {
	if int(e) >= len(endNames) {
		return "unknown"
	}
	return endNames[e]
}

// Attempt is an ended attempt of a request.
type Attempt struct {
	Number         int  // from 1
	End            End  // how it ended
	EarlierWritten bool // an earlier attempt wrote at least one byte, whatever its end
	Reachable      bool // a new connection to the upstream works, and it still has the attempt's state
	Resumes        int  // resumes of this attempt so far
	Runs           int  // attempts so far that may have run, including this one
	MaxRuns        int  // limit of Runs for the request; zero: no limit but MaxAttempts
	BudgetTaken    bool // the next attempt has been taken from the budget already
}

// mayHaveRun reports whether some upstream may have started the request.
func (a Attempt) mayHaveRun() bool { return a.EarlierWritten || a.End.MayHaveRun() }

// MayHaveRun reports whether an attempt with this end may have been started by the upstream.
func (e End) MayHaveRun() bool { return e != NotWritten && e != Declined }

// chargesBudget reports whether another attempt is taken from the budget.
func (p *Policy) chargesBudget(a Attempt) bool {
	if a.BudgetTaken {
		return false
	}
	if p.opts.ChargeArrivals {
		return a.End != NotWritten
	}
	return a.End != NotWritten && a.End != Died
}

// Action is what to do next.
type Action uint8

// Actions after an attempt.
const (
	GiveUp         Action = iota // return Decision.Refusal to the caller
	RetryElsewhere               // cancel the attempt and start the next one on another upstream
	Resume                       // continue the attempt's stream from the next index on a new connection
)

var actionNames = [...]string{"give_up", "elsewhere", "resume"}

// String returns the name used in logs.
func (a Action) String() string {
	if int(a) >= len(actionNames) {
		return "unknown"
	}
	return actionNames[a]
}

// Decision is what follows an attempt.
type Decision struct {
	Action  Action
	Attempt int              // number of the attempt to continue with; zero with GiveUp
	Refusal *request.Refusal // with GiveUp
}

// Defaults of a Policy.
const (
	DefaultMaxAttempts  = 4
	DefaultMaxResumes   = 3
	DefaultMinRemaining = 20 * time.Millisecond
	DefaultRetryAfter   = time.Second
)

// PolicyOptions configures a Policy.
type PolicyOptions struct {
	MaxAttempts  int           // attempts per request, including the first; DefaultMaxAttempts when zero
	MaxResumes   int           // resumes per attempt; DefaultMaxResumes when zero
	MinRemaining time.Duration // least time before the deadline for a new attempt; DefaultMinRemaining when zero
	RetryAfter   time.Duration // sent to callers whose request was not run; DefaultRetryAfter when zero
	// ChargeArrivals charges the budget for each attempt after one that may have arrived at
	// an upstream, even when that upstream died. It is for sites that limit the requests
	// that arrive at the upstreams, not only those that run there.
	ChargeArrivals bool
}

// Policy decides for the requests that share a Budget. It is not safe for
// concurrent use.
type Policy struct {
	opts   PolicyOptions
	budget *Budget
}

// NewPolicy returns a Policy that takes retries from budget.
func NewPolicy(o PolicyOptions, budget *Budget) *Policy {
	if o.MaxAttempts <= 0 {
		o.MaxAttempts = DefaultMaxAttempts
	}
	if o.MaxResumes <= 0 {
		o.MaxResumes = DefaultMaxResumes
	}
	if o.MinRemaining <= 0 {
		o.MinRemaining = DefaultMinRemaining
	}
	if o.RetryAfter <= 0 {
		o.RetryAfter = DefaultRetryAfter
	}
	return &Policy{opts: o, budget: budget}
}

// Next decides what follows an attempt and takes a retry from the budget when
// work is to be repeated.
func (p *Policy) Next(a Attempt, r *request.Request, now time.Time) Decision {
	if !r.Repeatable && a.mayHaveRun() {
		return p.giveUp(a, r, request.CodeOutcomeLost, "dispatched once, its end was lost")
	}
	if r.Remaining(now) < p.opts.MinRemaining {
		return p.giveUp(a, r, request.CodeDeadline, "no time left for another attempt")
	}
	if p.canResume(a) {
		return Decision{Action: Resume, Attempt: a.Number}
	}
	if a.Number >= p.opts.MaxAttempts || a.MaxRuns > 0 && a.Runs >= a.MaxRuns {
		return p.giveUp(a, r, request.CodeUpstreamFailed, "attempts used up")
	}
	if p.chargesBudget(a) && !p.budget.TryRetry(now) {
		return p.giveUp(a, r, request.CodeUpstreamFailed, "retry budget used up")
	}
	return Decision{Action: RetryElsewhere, Attempt: a.Number + 1}
}

// canResume reports whether the stream of the same attempt can be continued. This
// repeats no work, so it needs no budget.
func (p *Policy) canResume(a Attempt) bool {
	if a.End != Silent && a.End != Broken {
		return false
	}
	return a.Reachable && a.Resumes < p.opts.MaxResumes
}

func (p *Policy) giveUp(a Attempt, r *request.Request, code request.Code, why string) Decision {
	refusal := request.Refuse(code, 0, "%s (attempt %d: %s)", why, a.Number, a.End)
	refusal.Outcome = outcomeOf(a, r)
	if refusal.Outcome == request.NotRun {
		refusal.RetryAfter = p.opts.RetryAfter
	}
	return Decision{Action: GiveUp, Refusal: refusal}
}

// outcomeOf returns the outcome of a request that is given up: NotRun only when no
// upstream can have started it.
func outcomeOf(a Attempt, r *request.Request) request.Outcome {
	switch {
	case !a.mayHaveRun():
		return request.NotRun
	case r.Repeatable:
		return request.Failed
	default:
		return request.Unknown
	}
}
