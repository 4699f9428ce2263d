package settings

import (
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// CustomerView is a customer with all that is in force for it. It is immutable.
type CustomerView struct {
	Name     string
	Path     string      // of the document that lists it
	Weight   int         // share of a full queue, at least 1
	Routing  Routing     // effective, no field empty
	Requests Requests    // effective, no field empty
	Limits   []LimitNode // from the root to the customer itself; only those with a limit

	hashes [][tokenHashBytes]byte
}

// LimitNode is one place of the tree whose limits a request must fit.
type LimitNode struct {
	Name   string // a settings path, or "customer:" and a customer's name
	Limits Limits
}

// customerNode prefixes the limit node of a customer; no path starts with it.
const customerNode = "customer:"

// OperatorView is an operator and the subtree it is in charge of.
type OperatorView struct {
	Name string
	Path string

	hashes [][tokenHashBytes]byte
}

// MayAccess reports whether the operator may read and change the settings at a path.
func (o *OperatorView) MayAccess(path string) bool {
	return Contains(o.Path, path)
}

// PoolView is a pool with its upstreams. It is immutable.
type PoolView struct {
	Name          string
	Kind          string // a Pool* constant
	Path          string
	ChecksFencing bool          // engines refuse an order with an old fencing number
	MaxOrderTime  time.Duration // an order acts within it, or never
	Routing       Routing       // effective at the pool's path
	Upstreams     []*UpstreamView
	Models        []*ModelView // served by this pool, by name
}

// UpstreamView is one engine or one server of a service. It is immutable.
type UpstreamView struct {
	Name    string
	Address string // IP:port
	Domain  string // failure domain
	Leaving bool   // the settings want no new work on it
	// Evacuated says that operators want nothing new sent to its failure domain.
	Evacuated bool
	Pool      *PoolView
}

// ModelView is a model with the pool that serves it. It is immutable.
type ModelView struct {
	Name          string
	Path          string
	Version       string
	Adapters      []string
	BytesPerToken float64 // first guess, above 0
	Urgent        bool    // its weights are loaded first
	Routing       Routing // effective at the model's path
	Pool          *PoolView

	customers map[string]bool // empty: all of the subtree
}

// ServiceView is a plain service with the pool that serves it. It is immutable.
type ServiceView struct {
	Name       string
	Path       string
	Routing    Routing // effective at the service's path
	Pool       *PoolView
	Operations []Operation

	customers map[string]bool
}

// OperationView is one operation of a service.
type OperationView struct {
	Operation // Priority and DeadlineMs are empty where the customer's defaults hold
	Service   *ServiceView
}

// IdleTimeout returns the silence on a stream that starts a probe.
func (r *Routing) IdleTimeout() time.Duration { return milliseconds(r.IdleMs) }

// QuarantineTime returns how long a request that crashed upstreams is refused.
func (r *Routing) QuarantineTime() time.Duration { return time.Duration(r.QuarantineS) * time.Second }

// Deadline returns the time a request gets that asks for none.
func (r *Requests) Deadline() time.Duration { return milliseconds(r.DeadlineMs) }

// MaxDeadline returns the most time a request can get.
func (r *Requests) MaxDeadline() time.Duration { return milliseconds(r.MaxDeadlineMs) }

// DefaultPriority returns the priority of a request that asks for none.
func (r *Requests) DefaultPriority() request.Priority {
	return priorityOf(r.Priority, request.Normal)
}

// MaxPriority returns the most urgent priority that a request can get.
func (r *Requests) MaxPriority() request.Priority {
	return priorityOf(r.HighestPriority, request.Urgent)
}

// Deadline returns the operation's own default, zero when it has none.
func (o *Operation) Deadline() time.Duration { return milliseconds(o.DeadlineMs) }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// priorityOf never meets a word that ParseDocument has not checked; the fallback
// keeps a document built in code harmless.
func priorityOf(word string, fallback request.Priority) request.Priority {
	if p, ok := request.ParsePriority(word); ok {
		return p
	}
	return fallback
}
