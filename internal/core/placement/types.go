package placement

import (
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// State is whether an upstream may get new work.
type State uint8

// States of an upstream.
const (
	Live    State = iota
	Suspect       // silent or failing; used only when no upstream is live
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

// Class is the class of a request by the length of its prompt.
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

// ClassOf returns the class of a prompt: Long from longFrom tokens, else Short. With a
// longFrom of zero or less every prompt is Short.
func ClassOf(tokens, longFrom int) Class {
	if longFrom > 0 && tokens >= longFrom {
		return Long
	}
	return Short
}

// Spec is an upstream as listed in the settings.
type Spec struct {
	Name    string // unique in the site
	Address string // IP:port
	Domain  string // failure domain
}

// Report is an engine's load at one moment.
type Report struct {
	Incarnation string
	Seq         int64
	// Taken is when the engine measured its load, on the clock of the view: the time of
	// receipt minus the report's age.
	Taken       time.Time
	Step        time.Duration // of one batch
	PrefillRate float64       // prompt tokens per second
	DecodeRate  float64       // tokens per second of one stream

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

// EventKind is the kind of a CacheEvent.
type EventKind uint8

// Kinds of cache event.
const (
	Stored  EventKind = iota
	Evicted           // Block was removed
	Cleared           // all blocks were removed
)

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Seq   int64
	Kind  EventKind
	Block uint64
}

// ID identifies one attempt of a request and, for a gang, one member of it.
type ID struct {
	Request string
	Attempt int
	Member  int // index in the gang, from 0; 0 without a gang
}

// Placement is what a front records when it sends an attempt to an upstream. For a
// plain service only ID, Upstream and Deadline are needed. A gang has one placement
// per member, each with its part of the tokens and its own ID.Member.
type Placement struct {
	ID        ID
	Upstream  string
	Model     string
	Priority  request.Priority // as sent to the engine: Decision.EnginePriority
	Tokens    int              // of the prompt
	MaxTokens int              // of the answer
	Cached    int              // prompt tokens expected in the engine's cache
	Prefix    []uint64         // see PrefixBlocks; assumed cached on the engine after the first token
	Deadline  time.Time
}

// End is how an attempt ended.
type End struct {
	Complete     bool
	AnswerTokens int // number streamed by this attempt
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
	Exclude   []string  // upstreams ruled out by earlier attempts
	Policy    string    // a settings.Policy* constant; empty is length-aware
	LongFrom  int       // tokens from which a prompt is long; zero: no length separation
	Spill     string    // a settings.Spill* constant; empty is never
	// SpillDomains are the other failure domains that can be reached now. It must be
	// empty for requests that must not be sent twice.
	SpillDomains []string
}

// MemoryNeeded returns the memory in tokens that the request holds at its end.
func (r *Request) MemoryNeeded() int64 {
	return int64(r.Tokens) + int64(r.MaxTokens)
}

// Verdict is the kind of a Decision.
type Verdict uint8

// Verdicts.
const (
	// Placed: the request is to be sent to Chosen.
	Placed Verdict = iota
	// WaitMemory: Chosen is the best engine, but lacks free memory now. The caller
	// asks again at Earliest, or has the owner of Chosen queue a reservation.
	WaitMemory
	// NeedsGang: GangSize engines of GangDomain are needed together.
	NeedsGang
	// NeverPossible: the request needs more memory than all engines of a gang could
	// have, MemoryLimit tokens.
	NeverPossible
	// TooLate: the deadline cannot be met; Earliest is the earliest expected end.
	TooLate
	// NoEngine: no engine can take the request now, which may change.
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

// Reason is why a decision was taken or a candidate was rejected.
type Reason string

// Reasons of a decision.
const (
	ReasonRandom             Reason = "random"
	ReasonFewestRequests     Reason = "fewest_requests"
	ReasonEarliest           Reason = "earliest_first_token"
	ReasonPrefix             Reason = "cached_prefix"
	ReasonOnly               Reason = "only_candidate"
	ReasonBoundaryRelaxed    Reason = "no_engine_for_long" // no engine's limit admits the prompt, so limits are ignored
	ReasonSuspectOnly        Reason = "only_suspects"
	ReasonSpillDead          Reason = "spill_dead"
	ReasonSpillOverload      Reason = "spill_overload"
	ReasonMemoryFull         Reason = "memory_full"
	ReasonOverOneEngine      Reason = "over_one_engine"
	ReasonOverPool           Reason = "over_pool"
	ReasonGangEnginesMissing Reason = "gang_engines_missing" // all engines together have the memory, the eligible ones do not
	ReasonDeadline           Reason = "deadline"
	ReasonNoneLive           Reason = "none_live"
	ReasonMemoryUnknown      Reason = "memory_unknown" // an engine has not reported its total memory yet
	ReasonFewerInFlight      Reason = "fewer_in_flight"
)

// Reasons of a rejected candidate.
const (
	ReasonLater        Reason = "later_first_token"
	ReasonTie          Reason = "tie"
	ReasonMoreRequests Reason = "more_requests"
	ReasonNotDrawn     Reason = "not_drawn"
)

// Estimate holds the expected times of a request on one engine.
type Estimate struct {
	FirstToken time.Duration // until the first token: the sum of the next five
	Queue      time.Duration // work ahead
	Prefill    time.Duration // of the uncached part of the prompt
	Residual   time.Duration // rest of the batch in progress
	MemoryWait time.Duration // until enough memory is free
	Stale      time.Duration // penalty for an old report

	LessUrgent time.Duration // less urgent work, ahead only on an engine that interrupts no prompt; not in the sum
	Unseen     time.Duration // longer work that the engine may have begun since its report; not in the sum

	Finish time.Duration // until the expected end of the answer
	Cached int           // prompt tokens in the engine's cache
}

// Candidate is one upstream that was considered.
type Candidate struct {
	Name     string
	Address  string
	Domain   string
	Estimate Estimate
	Requests int    // on the upstream, as far as known
	Reason   Reason // why it was rejected; empty for the chosen one
}

// Backlog is the work ahead of a new request in a pool.
type Backlog struct {
	Tokens int64   // prompt tokens still to be computed
	Rate   float64 // prompt tokens per second of all live engines together
}

// Drain returns the time in which the backlog is computed, at most 24 hours.
func (b Backlog) Drain() time.Duration {
	return timeForTokens(float64(b.Tokens), b.Rate)
}

// Decision is the result of Place or PlaceService, with the details for its log line.
type Decision struct {
	Verdict  Verdict
	Reason   Reason
	Class    Class
	Chosen   Candidate    // with Placed and WaitMemory
	Rejected [2]Candidate // the two best rejected; their names are empty when there were fewer
	Spilled  bool         // Chosen is in another failure domain

	// EnginePriority is the priority to send to the engine. Policies that do not
	// use priorities send every request as Normal.
	EnginePriority request.Priority

	GangSize    int    // with NeedsGang: the smallest number of members that can hold the request
	GangDomain  string // with NeedsGang
	MemoryLimit int64  // with NeverPossible: total memory of the domain's engines in tokens

	Earliest time.Time // with WaitMemory: when memory is expected free; with TooLate: the expected end
	Backlog  Backlog   // with WaitMemory, TooLate and NoEngine
}
