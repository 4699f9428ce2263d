package placement

import (
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// State says whether an upstream may get new work.
type State uint8

// States of an upstream.
const (
	Live    State = iota
	Suspect       // silent or failing; used only when nothing live is left
	Leaving       // gets no new work
	Dead
)

// String returns the name used in logs.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	}
	return "unknown"
}

// Class separates requests by the length of their prompt.
type Class uint8

// Classes.
const (
	Short Class = iota
	Long
)

// String returns the name used in logs and metrics.
func (c Class) String() string {
	if c == Long {
		return "long"
	}
	return "short"
}

// ClassOf returns the class of a prompt; from longFrom tokens on it is Long. A
// longFrom of zero or less makes every prompt Short.
func ClassOf(tokens, longFrom int) Class {
	if longFrom > 0 && tokens >= longFrom {
		return Long
	}
	return Short
}

// Spec is an upstream as the settings name it.
type Spec struct {
	Name    string // unique in the site
	Address string // IP:port
	Domain  string // failure domain
}

// Report is an engine's load at one moment.
type Report struct {
	Incarnation string
	Seq         int64
	// Taken is the time at which the engine took the report, on the clock of the
	// view: the time of receipt less the report's age.
	Taken       time.Time
	Step        time.Duration // of one batch
	PrefillRate float64       // tokens a second
	DecodeRate  float64       // tokens a second of one stream

	Queued           int   // requests not yet running
	QueuedPrefill    int64 // prompt tokens still to be computed
	SplitKnown       bool  // QueuedByPriority is filled in
	QueuedByPriority [request.NumPriorities]int64
	Running          int

	MemoryTotal int64 // tokens; zero: unknown
	MemoryUsed  int64 // tokens
	BlockTokens int   // tokens of one prefix block
	Models      []string
	Leaving     bool
}

// EventKind is what happened to a cached block.
type EventKind uint8

// Kinds of cache event.
const (
	Stored  EventKind = iota
	Evicted           // Block is gone
	Cleared           // all blocks are gone
)

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Seq   int64
	Kind  EventKind
	Block uint64
}

// ID names one attempt of a request, and one engine of its gang.
type ID struct {
	Request string
	Attempt int
	Member  int // of a gang, from 0
}

// Placement is what a front notes when it sends an attempt to an upstream. For a
// plain service only ID, Upstream and Deadline are needed. A gang has one
// placement a member, each with its part of the tokens and a Member of its own.
type Placement struct {
	ID        ID
	Upstream  string
	Model     string
	Priority  request.Priority // as sent to the engine: Decision.EnginePriority
	Tokens    int              // of the prompt
	MaxTokens int              // of the answer
	Cached    int              // prompt tokens expected in the cache
	Prefix    []uint64         // of the prompt; cached on the engine after its first token
	Deadline  time.Time
}

// End is how an attempt ended.
type End struct {
	Complete     bool
	AnswerTokens int // streamed by this attempt
}

// Request is one request for an engine.
type Request struct {
	Pool      string
	Model     string
	Domain    string // failure domain of the front
	Tokens    int    // of the prompt
	MaxTokens int
	Prefix    []uint64 // see PrefixBlocks
	Priority  request.Priority
	Deadline  time.Time // zero: none
	Exclude   []string  // upstreams that earlier attempts have ruled out
	Policy    string    // a settings.Policy* constant; empty is length-aware
	LongFrom  int       // tokens
	Spill     string    // a settings.Spill* constant; empty is never
	// SpillDomains are the other failure domains that can be reached now. The
	// caller leaves them empty for work that must not be sent twice.
	SpillDomains []string
}

// MemoryNeeded returns the memory in tokens that the request holds at its end.
func (a *Request) MemoryNeeded() int64 {
	return int64(a.Tokens) + int64(a.MaxTokens)
}

// Verdict is the kind of a Decision.
type Verdict uint8

// Verdicts.
const (
	// Placed: send it to Chosen.
	Placed Verdict = iota
	// WaitMemory: Chosen is the best engine, and has no memory for it now. Ask
	// again at Earliest, or have the owner of Chosen hold a reservation.
	WaitMemory
	// NeedsGang: GangSize engines of GangDomain are needed together.
	NeedsGang
	// NeverPossible: longer than all that may be gathered, MemoryLimit tokens.
	NeverPossible
	// TooLate: the deadline cannot be met; Earliest is the earliest end.
	TooLate
	// NoEngine: none can take it now, which may change.
	NoEngine
)

// String returns the name used in logs and metrics.
func (v Verdict) String() string {
	names := [...]string{"placed", "wait_memory", "needs_gang", "never_possible", "too_late", "no_engine"}
	if int(v) >= len(names) {
		return "unknown"
	}
	return names[v]
}

// Reason says in a constant word why a decision was taken or a candidate was
// turned down.
type Reason string

// Reasons of a decision.
const (
	ReasonRandom             Reason = "random"
	ReasonFewestRequests     Reason = "fewest_requests"
	ReasonEarliest           Reason = "earliest_first_token"
	ReasonPrefix             Reason = "cached_prefix"
	ReasonOnly               Reason = "only_candidate"
	ReasonBoundaryRelaxed    Reason = "no_engine_for_long" // a long prompt on an engine kept for short ones
	ReasonSuspectOnly        Reason = "only_suspects"
	ReasonSpillDead          Reason = "spill_dead"
	ReasonSpillOverload      Reason = "spill_overload"
	ReasonMemoryFull         Reason = "memory_full"
	ReasonOverOneEngine      Reason = "over_one_engine"
	ReasonOverPool           Reason = "over_pool"
	ReasonGangEnginesMissing Reason = "gang_engines_missing" // enough memory exists, not enough is live
	ReasonDeadline           Reason = "deadline"
	ReasonNoneLive           Reason = "none_live"
	ReasonMemoryUnknown      Reason = "memory_unknown" // no report yet says how much an engine holds
	ReasonFewerInFlight      Reason = "fewer_in_flight"
)

// Reasons why a candidate was turned down.
const (
	ReasonLater        Reason = "later_first_token"
	ReasonTie          Reason = "tie"
	ReasonMoreRequests Reason = "more_requests"
	ReasonNotDrawn     Reason = "not_drawn"
)

// Estimate is the expected course of a request on one engine.
type Estimate struct {
	FirstToken time.Duration // the sum of the next five
	Queue      time.Duration // work ahead
	Prefill    time.Duration // of the uncached part of the prompt
	Residual   time.Duration // the batch in progress
	MemoryWait time.Duration // until enough memory is free
	Stale      time.Duration // penalty of an old report

	LessUrgent time.Duration // work that only an engine which interrupts nothing does first; not in the sum
	Unseen     time.Duration // longer work that the engine may have begun since its report; not in the sum

	Finish time.Duration // until the expected end of the answer
	Cached int           // prompt tokens in the cache
}

// Candidate is one upstream that was looked at.
type Candidate struct {
	Name     string
	Address  string
	Domain   string
	Estimate Estimate
	Requests int    // on the upstream, as far as known
	Reason   Reason // why it was turned down; empty on the chosen one
}

// Backlog is the work ahead of a new request in a pool.
type Backlog struct {
	Tokens int64   // prompt tokens still to be computed
	Rate   float64 // tokens a second of all live engines together
}

// Drain returns the time until the backlog is worked off.
func (b Backlog) Drain() time.Duration {
	return tokensTime(float64(b.Tokens), b.Rate)
}

// Decision is the answer to an Ask. It has all that a log line needs.
type Decision struct {
	Verdict  Verdict
	Reason   Reason
	Class    Class
	Chosen   Candidate    // with Placed and WaitMemory
	Rejected [2]Candidate // the two best; empty names when there were fewer
	Spilled  bool         // Chosen is in another failure domain

	// EnginePriority is the priority to send to the engine. Policies that do not
	// use priorities send every request as Normal.
	EnginePriority request.Priority

	GangSize    int    // with NeedsGang: the fewest members that hold it
	GangDomain  string // with NeedsGang
	MemoryLimit int64  // with NeverPossible: tokens that can be gathered

	Earliest time.Time // with WaitMemory and TooLate
	Backlog  Backlog   // with WaitMemory, TooLate and NoEngine
}
