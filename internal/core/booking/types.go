package booking

import (
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
)

// Request is one attempt of a request that needs an engine.
type Request struct {
	ID        string // of the attempt, unique in the site
	Host      string // daemon that sends it
	Domain    string // failure domain of the daemon, empty if it is not known
	Service   string
	Prompt    int           // tokens
	Answer    int           // tokens, at the most
	Expected  int           // tokens of the answer that are likely
	Objective time.Duration // left until the next event is late
	Gap       time.Duration // longest pause that it bears between two events
	Left      time.Duration // until the deadline
	Exclude   []string      // engines that earlier attempts have ruled out
	Avoid     []string      // engines that the daemon has found failing
	Barred    []string      // engines that take nothing from the daemon, by their own word
	// Begun: its caller has a part of the answer. It is not refused and does not yield:
	// that would cut the answer.
	Begun bool
}

// need returns the memory in tokens that the request holds at its end.
func (a *Request) need() int64 { return int64(a.Prompt) + int64(a.Answer) }

// Part is one engine of a plan.
type Part struct {
	Upstream string            // ID of the life
	Life     fleet.Incarnation // by which the engine itself is addressed
	Address  string            // IP:port
	// Reserve is the memory in tokens to reserve there for its part of the prompt;
	// zero: the first engine holds it.
	Reserve int64
	Lease   string // names the reservation, empty without one
}

// Verdict is the kind of a Plan.
type Verdict uint8

// Verdicts.
const (
	// Booked: send it to Parts[0] after Wait, with the other parts as helpers.
	Booked Verdict = iota
	// TooLate: it cannot be answered within its time.
	TooLate
	// NoEngine: no engine of the service is known to live.
	NoEngine
	// TooLarge: the memory of all engines together does not hold it.
	TooLarge
	// Full: every engine has as many requests as it queues.
	Full
	// AtLimit: each engine that may be taken has named a limit, and whoever plans does not
	// know what others send there.
	AtLimit
	// Yield: it is late in any case and lets those in time go first, or it has time to wait
	// for engines on which it makes nobody late; ask again.
	Yield
)

var verdictNames = [...]string{"booked", "too_late", "no_engine", "too_large", "full", "at_limit", "yield"}

// String returns the name used in logs and metrics.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return "unknown"
	}
	return verdictNames[v]
}

// Reason says in a constant word why a plan is as it is.
type Reason string

// Reasons of a plan.
const (
	ReasonPacked       Reason = "packed"    // on an engine that writes for others of its kind
	ReasonOpened       Reason = "opened"    // on an engine that wrote for none of its kind
	ReasonAlone        Reason = "alone"     // read whole by one engine
	ReasonSplit        Reason = "split"     // in parts that all who write there bear
	ReasonDelaysOthers Reason = "harm"      // in parts that make some late, which costs less than being late
	ReasonLate         Reason = "late"      // it will be late
	ReasonOnlyFail     Reason = "only_fail" // only failing engines are left
	ReasonLimit        Reason = "limit"     // its turn at an engine with a limit comes too late
)

// Plan is the answer to an Ask. It has all that a log line needs.
type Plan struct {
	Verdict Verdict
	Reason  Reason
	Parts   []Part
	Wait    time.Duration // before it is sent
	First   time.Duration // expected until the first event, Wait included
	Read    time.Duration // that each part takes
	Backlog time.Duration // until the engine that is free first is free
	Engines int           // that were candidates
}

// Short reports whether the prompt is read so fast that it disturbs nobody.
func (p *Plan) Short() bool { return p.Reason == ReasonPacked || p.Reason == ReasonOpened }

// OpenAttempt is a booked attempt, as a daemon tells it to one that has begun to keep the
// book.
type OpenAttempt struct {
	Ask      Request
	Plan     Plan
	Age      time.Duration // since it was booked
	HasFirst bool          // its first event has come
}
