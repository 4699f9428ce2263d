package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/notice"
	"github.com/buckthorndock/buckthorndock/internal/core/quarantine"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
	"github.com/buckthorndock/buckthorndock/internal/core/route"
	"github.com/buckthorndock/buckthorndock/internal/suspects"
)

// Request is a request as its entry binding has read it. It is immutable.
type Request struct {
	ID       string
	Customer string // empty for an anonymous one
	Route    *route.Route
	Service  *route.Service
	Version  int64 // of the table that gave route and service
	Priority int   // 0 is the most urgent

	Method string
	URI    string // path and query as the caller sent them
	Host   string
	Header http.Header // those that are meant for the upstream
	Body   []byte

	PromptTokens int    // tokens; zero on plain services
	MaxTokens    int    // tokens at the most
	LastEvent    string // the caller has all events up to this id

	Fingerprint uint64 // of customer, path and body
	Arrived     time.Time
	Deadline    time.Time // earlier of the caller's and the route's
}

// leavingObjectives is how many objectives the first event of a stream is given where its
// end is foreseen: late ones come within that in all but a few cases.
const leavingObjectives = 2

// endsBy returns when the request will have ended: at its deadline, or, for a stream whose
// answer takes less, when that is written at an engine whose slots are all taken.
func (r *Request) endsBy() time.Time {
	e := r.Service.Engine
	if e == nil {
		return r.Deadline
	}
	answer := r.MaxTokens
	if answer == 0 {
		answer = e.UsualAnswer
	}
	context := int64(e.Slots) * int64(e.UsualPrompt+e.UsualAnswer)
	takes := leavingObjectives*r.Route.Objective + e.DecodeTime(answer, e.Slots, context+int64(r.PromptTokens))
	if end := r.Arrived.Add(takes); end.Before(r.Deadline) {
		return end
	}
	return r.Deadline
}

// Head is the beginning of an upstream's answer.
type Head struct {
	Status int
	Header http.Header // those that are meant for the caller
	Length int64       // of the body in bytes; -1: not known before
}

// Sink passes an answer on to the caller. An error of it means that the caller has
// gone.
type Sink interface {
	Head(h Head) error
	// Body passes bytes on; flush sends them at once.
	Body(p []byte, flush bool) error
}

// Attempt is one sending of a request to an upstream.
type Attempt struct {
	Request   *Request
	Number    int // from 1
	Upstream  fleet.Upstream
	Helpers   []booking.Part // read a part of the prompt
	Timeout   time.Duration  // the upstream may work so long
	LastEvent string         // the caller has all events up to this id
	// NewConnection asks for a new connection, on which nothing can be left behind.
	NewConnection bool
}

// Answer is an upstream's answer, its body not yet read. The body's end is io.EOF
// only when the answer is whole.
type Answer struct {
	Head
	Body  io.Reader
	Close func() // after the last read; frees what the answer holds
}

// Sender sends attempts to upstreams. Its errors are of type *Failure.
type Sender interface {
	Send(ctx context.Context, a Attempt) (*Answer, error)
	// Reserve sets a part's memory aside on its engine, or renews the lease of it.
	Reserve(ctx context.Context, on booking.Part, life time.Duration) error
	Release(ctx context.Context, on booking.Part) error
	// Report asks an engine what it holds, as of some hundred milliseconds ago.
	Report(ctx context.Context, on booking.Part) (Report, error)
}

// Report is what an engine tells of itself.
type Report struct {
	Born   int64           // as in fleet.Life
	Leases map[string]bool // the leases of its memory, by name: whether a request uses it
}

// Failure is an attempt that gave no answer to pass on.
type Failure struct {
	End retry.End
	// FaultyAddress is the address of the upstream at fault where the answer names another
	// than the one that was asked.
	FaultyAddress string
	// WrongUpstream says that another upstream answered at the address of the one that was asked.
	WrongUpstream bool
	Err           error
}

// Error implements error.
func (f *Failure) Error() string { return f.End.String() + ": " + f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Planner books engines; see package booking.
type Planner interface {
	Place(ctx context.Context, a booking.Request) booking.Plan
	FirstEvent(attempt string) // its first event has come
	End(attempt string)        // it is over
	// Admit takes a turn at an upstream that is not booked and has named a limit, if it comes
	// within a time, and returns the wait for it.
	Admit(ctx context.Context, l notice.Limit, within time.Duration) (wait time.Duration, ok bool)
}

// Balancer chooses servers of plain services.
type Balancer interface {
	// Pick returns a server, and the function to call when the attempt is over.
	Pick(service string, exclude []string) (u fleet.Upstream, done func(), ok bool)
}

// Suspects keeps requests away that crash the upstreams which run them; see package
// quarantine.
type Suspects interface {
	// Admit says whether a request may be placed now, and under which trial, if any; the one that
	// it has is kept if it has come to nothing.
	Admit(ctx context.Context, fingerprint uint64, has *suspects.Trial, life time.Duration) (*suspects.Trial, *request.Refusal)
	// TryStart notes that a request begins on an upstream; false: not there, not now.
	TryStart(upstream string, fingerprint uint64, trial *suspects.Trial, now time.Time) (quarantine.Run, bool)
	// End notes that a run is over.
	End(run quarantine.Run, completed bool)
	// EndBroken notes that a run is over that broke, maybe because its upstream died: Lapsed or Lives
	// tells.
	EndBroken(run quarantine.Run, now time.Time)
	// EngineDelisted notes that an upstream's life is over by the list, Lives that it has served.
	EngineDelisted(upstream, incarnation string, now time.Time)
	EngineAlive(upstream string)
	// EngineDied notes that an upstream's process ended while it ran requests of this daemon.
	EngineDied(upstream, incarnation string, now time.Time)
}
