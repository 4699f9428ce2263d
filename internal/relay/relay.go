package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/avoid"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
)

// Options are the parts that a Relay works with.
type Options struct {
	Host     string // name of this daemon
	Domain   string // failure domain
	Sender   Sender
	Planner  Planner
	Balancer Balancer
	Suspects Suspects
	// Probe tells whether a connection to an address can be made: an error says that
	// nobody listens there, or that it cannot be told.
	Probe func(ctx context.Context, address string) error
	// DaemonAddresses returns the peer addresses of other daemons in a failure domain; nil: none is known.
	DaemonAddresses func(domain string) []string
	// Upstreams returns the present list.
	Upstreams func() *fleet.Snapshot
	// OnIdentified tells whether an upstream that has rivals answered itself, or another
	// one at its address.
	OnIdentified func(u fleet.Upstream, itself bool)
	// OnDomainReached tells that a failure domain which was cut off can be reached again; nil: nobody
	// is to know.
	OnDomainReached func(domain string)
	// Notices has what upstreams say of themselves; the Sender tells it.
	Notices *Notices
	// BodyMemory bounds what is held for slow callers and upstreams.
	BodyMemory *BodyMemory
	// Budget returns the site's bound of repeats.
	Budget func() BudgetOptions
	Log    *logrus.Entry
}

// BudgetOptions are this site's bound of repeated sends to a service.
type BudgetOptions struct {
	Ratio  float64       // of the service's requests
	Window time.Duration //
	Slack  float64       // repeats a window besides, of all daemons together
	Hosts  int           // daemons that share the slack
}

// Relay is safe for concurrent use.
type Relay struct {
	opts       Options
	log        *logrus.Entry
	leaseTimes leaseTimes
	running    running
	ways       *ways
	looking    sync.Map // upstreams at whose fate somebody looks, by id
	draw       float64  // in [0, 1), another one for each daemon

	mu      sync.Mutex
	avoid   *avoid.Tracker
	budgets map[string]*budget // by service
}

// Times for which failing upstreams are left alone. A server that restarts is away
// for some seconds, and each try costs a request its objective, while a false alarm
// should cost little capacity.
const (
	avoidFirst  = 400 * time.Millisecond
	avoidMost   = 5 * time.Second
	avoidForget = 15 * time.Second
)

// New returns a Relay.
func New(o Options) *Relay {
	return &Relay{
		opts:       o,
		leaseTimes: leaseTimes{renew: leaseRenew, useBy: leaseUseBy},
		log:        o.Log,
		avoid:      avoid.New(avoid.Options{Initial: avoidFirst, Max: avoidMost, ResetAfter: avoidForget}),
		budgets:    map[string]*budget{},
		ways:       newWays(),
		draw:       drawOf(o.Host),
	}
}

// drawOf returns a number in [0, 1) that is spread evenly over the names of daemons.
func drawOf(host string) float64 {
	const bits = 53 // of a float64's fraction
	return float64(xxhash.Sum64String(host)>>(64-bits)) / (1 << bits)
}

// Run takes a request to its end. It returns nil when the answer was delivered
// whole; else what the caller is to be told, or, where part of an answer has been
// passed on, why it was cut short.
func (r *Relay) Run(ctx context.Context, req *Request, sink Sink) *request.Refusal {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	r.earn(req.Service.Name, time.Now())
	g := &run{relay: r, req: req, sink: sink, after: req.LastEvent}
	refusal := spread(g.loop(ctx))
	g.logEnd(refusal)
	return refusal
}

// failed notes that upstreams failed.
func (r *Relay) failed(ids []string, end retry.End) {
	now := time.Now()
	list := r.opts.Upstreams()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		span := r.avoid.RecordFailure(id, now)
		fields := logrus.Fields{"upstream": id, "end": end.String(), "avoid_ms": span.Milliseconds()}
		if u, known := list.Get(id); known {
			fields["domain"] = u.Domain
		}
		r.log.WithFields(fields).Info("upstream_avoided")
	}
}

// succeeded notes that an upstream has served a request.
func (r *Relay) succeeded(id string) {
	r.opts.Suspects.EngineAlive(id)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoid.RecordSuccess(id, time.Now())
}

// failing returns the upstreams that failed lately.
func (r *Relay) failing() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.avoid.Avoided(time.Now())
}

// avoided returns the upstreams to leave alone now, those of domains that cannot be
// reached among them, and those whose address another one most likely has.
func (r *Relay) avoided() []string {
	ids := r.failing()
	for _, u := range r.opts.Upstreams().Upstreams {
		if u.Displaced || r.DomainCut(u.Domain) {
			ids = append(ids, u.ID)
		}
	}
	return ids
}
