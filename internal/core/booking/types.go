package booking

import (
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
)

// Request is one attempt of a request that needs an engine.
type Request struct {
	ID        string // of the attempt, unique in the site
	Host      string // daemon that sends the attempt
	Domain    string // failure domain of the daemon, empty if it is not known
	Service   string
	Prompt    int           // tokens
	Answer    int           // maximum tokens of the answer
	Expected  int           // expected tokens of the answer
	Objective time.Duration // until the next event is late
	Gap       time.Duration // maximum pause between two events; zero: no objective
	Left      time.Duration // until the deadline
	// Patience is the time until the caller gives up if no event has come; zero: not known.
	Patience time.Duration
	Exclude  []string // engines that earlier attempts have ruled out
	Avoid    []string // engines that the daemon has found failing
	Barred   []string // engines that have reported to the daemon that they take no requests now
	// Begun says that the caller has a part of the answer. The attempt is neither refused nor
	// made to yield: that would cut the answer off.
	Begun bool
	// Customer, Rank and Weight decide which attempt goes first when engine time is scarce; see
	// package fairshare.
	Customer string
	Rank     int // 0 is the most urgent
	// Weight is that of the customer. Zero: the daemon is of a release that sends none of the three;
	// its attempts never yield and make none yield.
	Weight float64
}

// need returns the memory in tokens that the request may hold at its end.
func (a *Request) need() int64 { return int64(a.Prompt) + int64(a.Answer) }

// Part is one engine of a plan.
type Part struct {
	Upstream string            // ID of the incarnation
	Life     fleet.Incarnation // identifies the incarnation to the engine
	Address  string            // IP:port
	// Reserve is the memory in tokens to reserve there for a part of the prompt;
	// zero: the first engine holds that part.
	Reserve int64
	Lease   string // name of the reservation, empty without one
}

// Verdict is the kind of a Plan.
type Verdict uint8

// Verdicts.
const (
	// Booked: send it to Parts[0] after Wait, with the other parts as helpers.
	Booked Verdict = iota
	// TooLate: it cannot be answered within its time.
	TooLate
	// NoEngine: no live engine of the service is known.
	NoEngine
	// TooLarge: the memory of the engines that may share a prompt does not hold it.
	TooLarge
	// Full: no engine has a free slot, or the memory; ask again.
	Full
	// AtLimit: every usable engine has a limit, and the planner does not know what other
	// daemons send there.
	AtLimit
	// Yield: it will be late anyway and lets others that are in time go first, or it can still
	// wait for engines on which it makes no other request late; ask again.
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

// Reason is a constant word that says how a plan came about.
type Reason string

// Reasons of a plan.
const (
	ReasonPacked       Reason = "packed"    // on an engine that decodes other short prompts
	ReasonOpened       Reason = "opened"    // on an engine that decoded no short prompt
	ReasonAlone        Reason = "alone"     // prefilled whole by one engine
	ReasonSplit        Reason = "split"     // in parts that all decodes there tolerate
	ReasonDelaysOthers Reason = "harm"      // in parts that make some decodes late, which costs less than being late
	ReasonLate         Reason = "late"      // it will be late
	ReasonOnlyFail     Reason = "only_fail" // only failing engines are left
	ReasonLimit        Reason = "limit"     // its turn at an engine with a limit comes too late
	ReasonOutranked    Reason = "outranked" // others go before it, or it would make answers of a more urgent rank late
	ReasonNoSlot       Reason = "no_slot"   // it will be late, and the free slots are kept for prompts that can be in time
)

// Plan is the answer to a Request. It has all fields that a log line needs.
type Plan struct {
	Verdict Verdict
	Reason  Reason
	Parts   []Part
	Wait    time.Duration // until it is sent
	First   time.Duration // expected time to the first event, including Wait
	Read    time.Duration // prefill time of each part
	Backlog time.Duration // until the first engine is free
	Engines int           // number of candidates
	Ahead   string        // with ReasonOutranked: the waiting attempt that goes before it, if it is one
	Figured Figured       // what the figures alone say
}

// Short reports whether the prompt is prefilled so fast that it makes no decode late.
func (p *Plan) Short() bool { return p.Reason == ReasonPacked || p.Reason == ReasonOpened }

// OpenAttempt is a booked attempt, as a daemon reports it to a new keeper of the book.
type OpenAttempt struct {
	Ask      Request // the attempt
	Plan     Plan
	Age      time.Duration // since it was booked
	HasFirst bool          // its first event has come
}
