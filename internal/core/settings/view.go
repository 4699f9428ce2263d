package settings

import (
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// CustomerView is a customer with the settings in force for it. It is immutable.
type CustomerView struct {
	Name     string
	Path     string      // path of the document that lists it
	Weight   int         // relative share of a full queue, at least 1
	Routing  Routing     // effective, no field empty
	Requests Requests    // effective, no field empty
	Limits   []LimitNode // from the root to the customer itself; only those with a limit

	hashes [][tokenHashBytes]byte
}

// LimitNode holds limits that a request must fit, and the path or customer that they are set at.
type LimitNode struct {
	Name   string // a settings path, or "customer:" and a customer's name
	Limits Limits
}

// customerNode is the prefix of the names of customers' limit nodes; no path starts with it.
const customerNode = "customer:"

// OperatorView is an operator and the path of the subtree that it manages.
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
	ChecksFencing bool          // engines refuse orders with an outdated fencing number
	MaxOrderTime  time.Duration // an order takes effect within this time, or never
	Routing       Routing       // effective at the pool's path
	Upstreams     []*UpstreamView
	Models        []*ModelView // served by this pool, by name
}

// UpstreamView is one engine or one server of a service. It is immutable.
type UpstreamView struct {
	Name    string
	Address string // IP:port
	Domain  string // failure domain
	Leaving bool   // it is to get no new work, by its own State
	// Evacuated means that its failure domain is being evacuated: it is to get no new requests.
	Evacuated bool
	Pool      *PoolView
}

// ModelView is a model with the pool that serves it. It is immutable.
type ModelView struct {
	Name          string
	Path          string
	Version       string
	Adapters      []string
	BytesPerToken float64 // initial estimate, above 0
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
	Operation // Priority and DeadlineMs are zero when the customer's defaults apply
	Service   *ServiceView
}

// IdleTimeout returns the time without data on a stream after which its upstream is probed.
func (r *Routing) IdleTimeout() time.Duration { return milliseconds(r.IdleMs) }

// QuarantineTime returns how long a request that crashed engines is refused.
func (r *Routing) QuarantineTime() time.Duration { return time.Duration(r.QuarantineS) * time.Second }

// Deadline returns the time that a request without a deadline of its own gets.
func (r *Requests) Deadline() time.Duration { return milliseconds(r.DeadlineMs) }

// MaxDeadline returns the longest time that a request can get.
func (r *Requests) MaxDeadline() time.Duration { return milliseconds(r.MaxDeadlineMs) }

// DefaultPriority returns the priority of a request without one of its own.
func (r *Requests) DefaultPriority() request.Priority {
	return priorityOf(r.Priority, request.Normal)
}

// MaxPriority returns the most urgent priority that a request can get.
func (r *Requests) MaxPriority() request.Priority {
	return priorityOf(r.HighestPriority, request.Urgent)
}

// Deadline returns the default deadline of the operation, zero when it has none.
func (o *Operation) Deadline() time.Duration { return milliseconds(o.DeadlineMs) }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// priorityOf parses a priority, and returns fallback for an invalid one. ParseDocument has
// refused invalid ones, so the fallback is used only for documents that are built in code.
func priorityOf(text string, fallback request.Priority) request.Priority {
	if p, ok := request.ParsePriority(text); ok {
		return p
	}
	return fallback
}
