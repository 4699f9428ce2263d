package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/notice"
	"github.com/buckthorndock/buckthorndock/internal/core/quarantine"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
	"github.com/buckthorndock/buckthorndock/internal/core/route"
	"github.com/buckthorndock/buckthorndock/internal/core/slots"
	"github.com/buckthorndock/buckthorndock/internal/suspects"
)

// Request is an admitted request. It is immutable once it is served.
type Request struct {
	ID       string
	Customer string // empty for an anonymous request
	Route    *route.Route
	Service  *route.Service
	Version  int64 // of the routing table that Route and Service come from
	Priority int   // 0 is the most urgent

	Method string
	URI    string // path and query as the caller sent them
	Proto  string // HTTP version of the caller, as HTTP/1.1
	Host   string
	Header http.Header // headers to forward to the upstream
	Body   []byte

	PromptTokens int    // length of the prompt in tokens; zero for plain services
	MaxTokens    int    // limit on the answer in tokens
	LastEvent    string // ID of the last event that the caller has received

	Work     quarantine.Work // what it makes an upstream do; see fingerprint
	Arrived  time.Time
	Deadline time.Time // the earlier of the caller's and the route's
}

// firstEventObjectives is the time assumed until a stream's first event when its end is
// estimated, in objectives of the route. All but a few late events come within it.
const firstEventObjectives = 2

// expectedEnd returns a conservative estimate of when the request will have ended: its
// deadline or, for a stream, the time at which an engine whose slots are all in use has
// decoded the answer, if that is earlier.
func (r *Request) expectedEnd() time.Time {
	e := r.Service.Engine
	if e == nil {
		return r.Deadline
	}
	takes := firstEventObjectives*r.Route.Objective + r.decodeTime()
	if end := r.Arrived.Add(takes); end.Before(r.Deadline) {
		return end
	}
	return r.Deadline
}

// answerTokens returns the length in tokens that is assumed for the answer of an engine.
func (r *Request) answerTokens() int {
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return r.Service.Engine.UsualAnswer
}

// decodeTime returns the time that an engine whose slots are all in use takes to decode the answer.
func (r *Request) decodeTime() time.Duration {
	e := r.Service.Engine
	context := int64(e.Slots) * int64(e.UsualPrompt+e.UsualAnswer)
	return e.DecodeTime(r.answerTokens(), e.Slots, context+int64(r.PromptTokens))
}

// Framing tells how the end of an answer's body is known.
type Framing string

// Framings of an answer.
const (
	FramedByLength     Framing = "length" // or without a body
	FramedByChunks     Framing = "chunks"
	FramedByConnection Framing = "connection" // by nothing but the end of the connection
)

// Head is the status line and the headers of an upstream's answer.
type Head struct {
	Status  int
	Header  http.Header // headers to pass on to the caller
	Length  int64       // of the body in bytes; -1 if unknown
	Framing Framing     // as the upstream sent it; a body that ends with its connection is passed on as one
}

// Sink passes an answer on to the caller. Its methods return an error if the caller has
// gone.
type Sink interface {
	Head(h Head) error
	// Body passes on a part of the body; flush sends it at once.
	Body(p []byte, flush bool) error
}

// Attempt is one dispatch of a request to an upstream.
type Attempt struct {
	Request   *Request
	Number    int // from 1
	Upstream  fleet.Upstream
	Helpers   []booking.Part // engines that prefill or hold a part of the prompt
	Timeout   time.Duration  // how long the upstream may work on it
	LastEvent string         // ID of the last event that the caller has received
	// NewConnection asks for a new connection, on which nothing of an earlier exchange can
	// remain.
	NewConnection bool
}

// Answer is an upstream's answer whose body has not been read yet. Body returns io.EOF only
// if the answer is complete.
type Answer struct {
	Head
	Body  io.Reader
	Close func() // to be called after the last read; releases the answer's resources

	Weights      string // version of the weights that write it; empty if the upstream does not tell
	WeightsField string // name of the first line by which an event tells of another version
}

// Sender sends attempts to upstreams. The errors of Send are of type *Failure.
type Sender interface {
	Send(ctx context.Context, a Attempt) (*Answer, error)
	// Reserve reserves the memory of a part on its engine under a lease, or renews that
	// lease, for the given lifetime.
	Reserve(ctx context.Context, on booking.Part, life time.Duration) error
	Release(ctx context.Context, on booking.Part) error
	// Report returns which leases an engine holds, as of a few hundred milliseconds ago.
	Report(ctx context.Context, on booking.Part) (Report, error)
	// Identify asks who runs at an upstream's address, on a new connection. No server runs
	// anything for it. The error wraps ErrClosed if the connection was made, and was closed
	// before an answer.
	Identify(ctx context.Context, u fleet.Upstream, isEngine bool) (Identity, error)
}

// ErrClosed is wrapped by an error of Sender.Identify.
var ErrClosed = merry.Sentinel("the connection was closed before an answer")

// Identity is what the answer at an upstream's address tells about the server that runs there.
type Identity struct {
	Other bool   // it is another server
	Name  string // of the server; empty if it does not name itself
	Born  int64  // start of its process, as in fleet.Incarnation; zero if it does not report it
}

// Report is what an engine reports about itself.
type Report struct {
	Born   int64           // start of its process, as in fleet.Incarnation
	Leases map[string]bool // by name; the value tells whether a request uses the memory
}

// Failure is the error of an attempt that gave no answer to pass on.
type Failure struct {
	End retry.End
	// FaultyAddress is the address of the upstream at fault, if the answer names another
	// upstream than the one that was asked.
	FaultyAddress string
	// WrongUpstream is set if another upstream answered at the address of the one that was
	// asked.
	WrongUpstream bool
	// Responder is the name of that other upstream; empty if it does not name itself.
	Responder string
	// NewConnection is set if the answer came on a connection that was opened for the attempt.
	NewConnection bool
	// Full is set if the upstream did not run the request because it had no room for it.
	Full bool
	Err  error
}

// Error implements error.
func (f *Failure) Error() string { return f.End.String() + ": " + f.Err.Error() }

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.Err }

// Planner books engines for attempts; see package booking.
type Planner interface {
	Place(ctx context.Context, a booking.Request) booking.Plan
	FirstEvent(attempt string) // the attempt's first event has arrived
	End(attempt string)        // the attempt is over
	// Admit requests a turn at an upstream that is not booked and that has reported a limit or
	// is cold. It returns how long to wait for the turn, and whether it was granted: it is
	// not if the wait would exceed within.
	Admit(ctx context.Context, l notice.Limit, within time.Duration) (wait time.Duration, ok bool)
	// ObserveSpeed takes in the time that an engine needed for a stream, and the time that was
	// expected by its figures.
	ObserveSpeed(upstream string, expected, observed time.Duration)
	SlotPlanner
}

// SlotPlanner leases slots of plain servers while these are scarce; see package slots.
type SlotPlanner interface {
	// SlotsScarce reports whether a slot is to be acquired before a call of a service is sent.
	SlotsScarce(service string) bool
	// ServerFull records that a server has turned a call away because it was full.
	ServerFull(service, server string)
	// AcquireSlot asks for a slot. A granted lease is a hint only.
	AcquireSlot(ctx context.Context, r slots.Request) slots.Grant
	// ReleaseSlot ends a lease, or withdraws a request that was told to wait.
	ReleaseSlot(lease string)
}

// Balancer chooses servers of plain services.
type Balancer interface {
	// Pick returns a server, and a function to be called when the attempt is over.
	Pick(service string, exclude []string) (u fleet.Upstream, done func(), ok bool)
	// ObserveSpeed takes in the time that a server needed for a call of a route with an
	// objective.
	ObserveSpeed(u fleet.Upstream, objective, observed time.Duration)
}

// Suspects quarantines requests that crash the upstreams which run them; see package
// quarantine.
type Suspects interface {
	// Admit reports whether a request may be placed now, and under which trial, if it needs
	// one. The trial in has is kept if nothing was sent under it yet.
	Admit(ctx context.Context, w quarantine.Work, has *suspects.Trial, life time.Duration) (*suspects.Trial, *request.Refusal)
	// TryStart records that a request starts on an upstream. It returns false if it must not
	// run there now.
	TryStart(upstream string, w quarantine.Work, trial *suspects.Trial, now time.Time) (quarantine.Run, bool)
	// Blocked returns those of some upstreams on which a request must not start now.
	Blocked(upstreams []string, w quarantine.Work, now time.Time) []string
	// Answering records that a run is sending its answer. It reports whether the answer has
	// begun; from then on it need not be called again.
	Answering(run quarantine.Run, now time.Time) bool
	// End records that a run is over.
	End(run quarantine.Run, completed bool)
	// EndBroken records that a run broke off, perhaps because its upstream died; a later
	// call of EngineDelisted or EngineAlive decides that.
	EndBroken(run quarantine.Run, now time.Time)
	// EngineDelisted records that an incarnation of an upstream is no longer listed.
	EngineDelisted(upstream, incarnation string, now time.Time)
	// EngineAlive records that an upstream has served a request.
	EngineAlive(upstream string)
	// HasBrokenRuns reports whether runs broke off on an upstream of which it is unknown whether
	// it has died.
	HasBrokenRuns(upstream string) bool
	// EngineDied records that an upstream's process ended while it ran requests of this
	// daemon.
	EngineDied(upstream, incarnation string, now time.Time)
}
