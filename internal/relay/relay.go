package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/avoid"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
	"github.com/buckthorndock/buckthorndock/internal/deaths"
	"github.com/buckthorndock/buckthorndock/internal/inbound"
	"github.com/buckthorndock/buckthorndock/internal/paths"
	"github.com/buckthorndock/buckthorndock/internal/shutdown"
)

// Options configures a Relay and holds the components that it uses.
type Options struct {
	Host     string // name of this daemon
	Domain   string // failure domain
	Sender   Sender
	Planner  Planner
	Balancer Balancer
	Suspects Suspects
	// Paths knows which failure domains can be reached, and how.
	Paths *paths.Tracker
	// DaemonAddresses returns the peer addresses of other daemons in a failure domain. If
	// nil, none are known.
	DaemonAddresses func(domain string) []string
	// Upstreams returns the current list of upstreams.
	Upstreams func() *fleet.Snapshot
	// OnAlive is called when an upstream that is no longer listed because of a successor has answered
	// itself.
	OnAlive func(u, successor fleet.Upstream)
	// OnIdentified is called after an answer from an address that several upstreams share.
	// u is the upstream that was asked; itself says whether u answered or another one did.
	OnIdentified func(u fleet.Upstream, itself bool)
	// OnReplaced is called when an answer from an address that only u is listed at has shown
	// that another upstream runs there.
	OnReplaced func(u fleet.Upstream)
	// OnDomainReached is called when a failure domain that was cut off with its daemons can
	// be reached again. It may be nil.
	OnDomainReached func(domain string)
	// Notices holds what upstreams report about themselves; the Sender fills it.
	Notices *Notices
	// BodyMemory bounds the bodies of requests.
	BodyMemory *BodyMemory
	// AnswerMemory bounds what is held of the answers of upstreams.
	AnswerMemory *inbound.Memory
	// Budget returns the site's limit on repeats.
	Budget func() BudgetOptions
	// Shutdown tells when the daemon ends; nil if it never does.
	Shutdown *shutdown.Control
	Log      *logrus.Entry
}

// BudgetOptions is this site's limit on repeated sends to a service.
type BudgetOptions struct {
	Ratio  float64 // repeats per request of the service
	Window time.Duration
	Slack  float64 // additional repeats per window, of all daemons together
	Hosts  int     // daemons that share Slack
}

// Relay carries requests to their end. It is safe for concurrent use.
type Relay struct {
	opts         Options
	log          *logrus.Entry
	leaseTimes   leaseTimes
	running      runningAttempts
	inProgress   liveSet[*run]
	deaths       *deaths.Checker
	tally        *tally
	endLog       *endLog
	leaseCount   atomic.Uint64 // slot leases that were requested
	hostFraction float64       // in [0, 1), derived from the host name, so that it differs between daemons

	mu      sync.Mutex
	avoid   *avoid.Tracker
	full    map[string]bool    // avoided upstreams whose last failure was that they were full
	budgets map[string]*budget // by service
}

// Times for which failing upstreams are avoided. A restarting server is down for some
// seconds, and each attempt at it costs a request its objective, while a false alarm should
// cost little capacity.
const (
	avoidFirst  = 400 * time.Millisecond
	avoidMax    = 5 * time.Second
	avoidForget = 15 * time.Second
)

// New returns a Relay with the given options.
func New(o Options) *Relay {
	if o.Shutdown == nil {
		o.Shutdown = shutdown.New()
	}
	r := &Relay{
		opts:         o,
		leaseTimes:   leaseTimes{renew: leaseRenewInterval, useBy: leaseUseTimeout},
		log:          o.Log,
		avoid:        avoid.New(avoid.Options{Initial: avoidFirst, Max: avoidMax, ResetAfter: avoidForget}),
		full:         map[string]bool{},
		budgets:      map[string]*budget{},
		tally:        newTally(),
		hostFraction: hashFraction(o.Host),
	}
	r.endLog = newEndLog(o.Log)
	r.deaths = deaths.New(deaths.Options{Paths: o.Paths, Neighbours: r.neighbours})
	return r
}

// hashFraction returns a number in [0, 1) that is evenly distributed over host names.
func hashFraction(host string) float64 {
	const bits = 53 // mantissa bits of a float64
	return float64(xxhash.Sum64String(host)>>(64-bits)) / (1 << bits)
}

// Run carries a request to its end. It returns nil if the answer was delivered whole.
// Otherwise it returns the refusal to send to the caller or, if part of an answer has been
// passed on, the reason why it was cut short.
func (r *Relay) Run(ctx context.Context, req *Request, sink Sink) *request.Refusal {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	g := &run{relay: r, req: req, sink: sink, events: newSequence(req), readAt: time.Now()}
	ctx, stop := r.opts.Shutdown.WhileAnswering(ctx, g.answerBegun.Load)
	defer stop()
	r.countRequest(req.Service.Name, g.readAt)
	defer r.inProgress.add(g)()
	refusal := jitterRetryAfter(g.loop(ctx))
	g.logEnd(refusal)
	return refusal
}

// noteFailures records that upstreams failed, so that they are avoided for a while.
func (r *Relay) noteFailures(ids []string, end retry.End) {
	now := time.Now()
	list := r.opts.Upstreams()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		span := r.avoid.RecordFailure(id, now)
		delete(r.full, id)
		fields := logrus.Fields{"upstream": id, "end": end.String(), "avoid_ms": span.Milliseconds()}
		if u, known := list.Get(id); known {
			fields["domain"] = u.Domain
		}
		r.log.WithFields(fields).Info("upstream_avoided")
	}
}

// noteSuccess records that an upstream has served a request.
func (r *Relay) noteSuccess(id string) {
	r.opts.Suspects.EngineAlive(id)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoid.RecordSuccess(id, time.Now())
	delete(r.full, id)
}

// failedRecently returns the IDs of the upstreams that are avoided because they failed.
func (r *Relay) failedRecently() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.avoid.Avoided(time.Now())
}

// avoided returns the IDs of all upstreams to avoid now: those that failed recently, those
// in failure domains that cannot be reached, and those whose address most likely belongs to
// another upstream.
func (r *Relay) avoided() []string {
	return append(r.failedRecently(), r.misplaced()...)
}

// misplaced returns the IDs of the upstreams in failure domains that cannot be reached, and of
// those whose address most likely belongs to another upstream.
func (r *Relay) misplaced() []string {
	var ids []string
	for _, u := range r.opts.Upstreams().Upstreams {
		if u.Displaced || r.opts.Paths.Cut(u.Domain) {
			ids = append(ids, u.ID)
		}
	}
	return ids
}
