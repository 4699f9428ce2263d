package route

import (
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/cost"
)

// Kind is which requests of a route may be repeated.
type Kind uint8

// Kinds of route.
const (
	// Once: a request runs at most once.
	Once Kind = iota
	// Idempotent: a request may run any number of times.
	Idempotent
	// Stream: the answer is a stream of events. A request is repeatable only when
	// the route is resumable.
	Stream
)

var kindNames = [...]string{"once", "idempotent", "stream"}

// String returns the name used in logs.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	Weight  int // share relative to the other targets, at least 0
}

// Route is one entry of a Table.
type Route struct {
	Name         string
	Host         string // in lower case, without a port
	Prefix       string // begins and ends with a slash
	Kind         Kind
	Resumable    bool          // a broken stream may continue on another server
	Timeout      time.Duration // longest wait for the complete answer
	Objective    time.Duration // target time to the answer, for streams to the first event
	GapObjective time.Duration // for streams: target for the longest pause between two events
	Priority     int           // 0 is the most urgent
	Targets      []Target
	MaxAttempts  int  // number of upstreams that may run one request
	Anonymous    bool // no key is required
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Pick returns the service for a request, at random by the weights of the targets.
// draw is a uniform random number in [0, 1).
func (r *Route) Pick(draw float64) string {
	sum := 0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	at := int(draw * float64(sum))
	for _, t := range r.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	return r.Targets[0].Service
}

// Service holds the settings of a group of equivalent upstreams.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int           // of all callers together to one upstream; zero: no limit known
	Engine         *cost.Figures // nil for a plain service
	// ColdFor is how long a server stays cold after its start; zero: it is never cold. A
	// cold server takes only ColdPerSecond requests per second from all callers together.
	ColdFor       time.Duration
	ColdPerSecond float64
}

// Customer is the owner of a key.
type Customer struct {
	Name     string
	Priority *int // overrides the route's; nil: not set
}

// Limits are the limits on what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // for the whole header
	IdleTimeout   time.Duration // of a keep-alive connection between two requests
}
