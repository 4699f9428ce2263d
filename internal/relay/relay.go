package relay

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/avoid"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
)

// Options are the parts that a Relay works with.
type Options struct {
	Host    string // name of this daemon
	Domain  string // failure domain
	Sender  Sender
	Planner Planner
	Plain   Plain
	// Upstreams returns the present list.
	Upstreams func() *fleet.Snapshot
	// Budget returns the site's bound of repeats.
	Budget func() BudgetOptions
	Log    *logrus.Entry
}

// BudgetOptions are this site's bound of repeated sends to a service.
type BudgetOptions struct {
	Ratio  float64       // of the service's requests
	Window time.Duration //
	Slack  int           // repeats a window besides, of all daemons together
	Hosts  int           // daemons that share the slack
}

// Relay is safe for concurrent use.
type Relay struct {
	opts Options
	log  *logrus.Entry

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
		opts:    o,
		log:     o.Log,
		avoid:   avoid.New(avoid.Options{First: avoidFirst, Most: avoidMost, Forget: avoidForget}),
		budgets: map[string]*budget{},
	}
}

// Run takes a request to its end. It returns nil when the answer was delivered
// whole; else what the caller is to be told, or, where part of an answer has been
// passed on, why it was cut short.
func (r *Relay) Run(ctx context.Context, req *Request, sink Sink) *request.Refusal {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	r.earn(req.Service.Name, time.Now())
	g := &run{relay: r, req: req, sink: sink, after: req.LastEvent}
	refusal := g.loop(ctx)
	g.logEnd(refusal)
	return refusal
}

// failed notes that upstreams failed.
func (r *Relay) failed(ids []string, end retry.End) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		span := r.avoid.Failed(id, now)
		r.log.WithFields(logrus.Fields{
			"upstream": id, "end": end.String(), "avoid_ms": span.Milliseconds(),
		}).Info("upstream_avoided")
	}
}

func (r *Relay) succeeded(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoid.Succeeded(id, time.Now())
}

func (r *Relay) avoided() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.avoid.Avoided(time.Now())
}
