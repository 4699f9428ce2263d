package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/reach"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

// Times of the reachability checks of failure domains. A round trip between domains takes 1
// to 3 ms.
const (
	// domainQuiet is the silence after which a domain is probed: three of the usual gaps
	// between events, of 50 ms.
	domainQuiet = 150 * time.Millisecond
	// probeInterval is the time between two probes of a domain. It is twice the duration of
	// one, so that the end of a cut of a few seconds is noticed within a tenth of its
	// length.
	probeInterval = 200 * time.Millisecond
	// monitorTick is the interval at which domains are checked for silence.
	monitorTick = 50 * time.Millisecond
	// probeTimeout bounds the connection attempts of a probe.
	probeTimeout = 100 * time.Millisecond
	// maxProbeTime is the longest valid duration of a probe. A longer one means that this
	// process stalled, so its result says nothing about the domain.
	maxProbeTime = 2 * probeTimeout
	// maxProbeTargets is the number of upstreams tried in one probe.
	maxProbeTargets = 3
	// failureLookback is how long before the first failed probe a failure may have had the
	// same cause: a stream counts as silent after 1.5 s.
	failureLookback = 2 * time.Second
)

// errDomainCut cancels an attempt that is moved because its failure domain is cut off.
var errDomainCut = merry.Wrap(errSilent, merry.WithMessage("the way to the upstream's failure domain is cut"))

// domainReach tracks which failure domains can be reached from here. It is safe for
// concurrent use.
type domainReach struct {
	mu      sync.Mutex
	tracker *reach.Tracker
	active  chan struct{} // wakes MonitorDomains; buffered
}

func newDomainReach() *domainReach {
	return &domainReach{
		tracker: reach.New(reach.Options{QuietAfter: domainQuiet, ProbeInterval: probeInterval}),
		active:  make(chan struct{}, 1),
	}
}

// noteAnswer records that an upstream of a domain has just answered.
func (w *domainReach) noteAnswer(domain string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tracker.RecordActivity(domain, time.Now())
}

// cutFor returns for how long a domain has been cut off, zero if it is not.
func (w *domainReach) cutFor(domain string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.CutFor(domain, time.Now())
}

// DomainCut reports whether a failure domain appears to be cut off from this daemon.
func (r *Relay) DomainCut(domain string) bool {
	r.domains.mu.Lock()
	defer r.domains.mu.Unlock()
	return r.domains.tracker.Cut(domain)
}

// SuspectDomain records a sign that a failure domain may be cut off, and probes the domain
// unless that was done just now.
func (r *Relay) SuspectDomain(domain string) {
	r.domains.mu.Lock()
	probe := domain != "" && r.domains.tracker.BeginProbe(domain, time.Now())
	r.domains.mu.Unlock()
	if probe {
		go r.probeDomain(domain)
	}
}

// MonitorDomains probes failure domains that are quiet or cut off, until the context ends.
// It sleeps while no attempt is in progress and no domain is cut off.
func (r *Relay) MonitorDomains(ctx context.Context) error {
	for wait.For(ctx, monitorTick) {
		streaming := r.running.streamingDomains()
		now := time.Now()
		r.domains.mu.Lock()
		due := r.domains.tracker.DueProbes(streaming, now)
		idle := !r.domains.tracker.AnyCut() && r.running.empty()
		r.domains.mu.Unlock()
		for _, domain := range due {
			go r.probeDomain(domain)
		}
		if !idle {
			continue
		}
		select {
		case <-r.domains.active:
		case <-ctx.Done():
		}
	}
	return nil
}

// wake wakes the goroutine that monitors the domains.
func (w *domainReach) wake() {
	select {
	case w.active <- struct{}{}:
	default:
	}
}

// probeDomain tries to connect to some upstreams of a domain and applies the result.
func (r *Relay) probeDomain(domain string) {
	l := reach.ProbeResult{Started: time.Now()}
	targets := r.probeTargets(domain)
	l.Tried = len(targets)
	l.Reached = r.countReachable(targets)
	now := time.Now()
	r.domains.mu.Lock()
	if now.Sub(l.Started) > maxProbeTime {
		r.domains.tracker.DiscardProbe(domain)
		r.domains.mu.Unlock()
		return
	}
	cutFor := r.domains.tracker.CutFor(domain, now)
	change := r.domains.tracker.EndProbe(domain, l, now)
	r.domains.mu.Unlock()
	log := r.log.WithFields(logrus.Fields{"domain": domain, "tried": l.Tried, "reached": l.Reached})
	switch change {
	case reach.BecameCut:
		r.domains.wake()
		log.WithField("moved", r.moveAttemptsFrom(domain)).Warn("domain_cut")
	case reach.BecameReachable:
		r.forgetFailures(domain, now.Add(-cutFor-failureLookback))
		if r.opts.OnDomainReached != nil {
			r.opts.OnDomainReached(domain)
		}
		log.WithField("cut_ms", cutFor.Milliseconds()).Info("domain_reachable")
	}
}

// probeTargets draws upstreams of a domain at random, those that have not failed recently
// first.
func (r *Relay) probeTargets(domain string) []fleet.Upstream {
	var healthy, failing []fleet.Upstream
	avoided := r.failedRecently()
	for _, u := range r.opts.Upstreams().Upstreams {
		switch {
		case u.Domain != domain:
		case slices.Contains(avoided, u.ID):
			failing = append(failing, u)
		default:
			healthy = append(healthy, u)
		}
	}
	for _, group := range [][]fleet.Upstream{healthy, failing} {
		rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
	}
	all := append(healthy, failing...)
	return all[:min(maxProbeTargets, len(all))]
}

// countReachable returns how many of the upstreams accept a connection.
func (r *Relay) countReachable(targets []fleet.Upstream) int {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	results := make(chan error, len(targets))
	for _, u := range targets {
		go func() { results <- r.opts.Probe(ctx, u.Address) }()
	}
	reached := 0
	for range targets {
		if <-results == nil {
			reached++
		}
	}
	return reached
}

// moveAttemptsFrom tries to move the attempts that depend on a domain to other upstreams. It
// returns the number of these attempts, including those that could not be moved.
func (r *Relay) moveAttemptsFrom(domain string) int {
	list := r.opts.Upstreams()
	affected := r.running.filter(func(a *attempt) bool { return a.dependsOn(domain, list) })
	for _, a := range affected {
		a.silence.move(errDomainCut)
	}
	return len(affected)
}

// forgetFailures forgets failures of a domain's upstreams since a given time, while the
// domain was cut off.
func (r *Relay) forgetFailures(domain string, since time.Time) {
	list := r.opts.Upstreams()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range list.Upstreams {
		if u.Domain == domain {
			r.avoid.ClearFailures(u.ID, since)
		}
	}
}

// Bounds of the retry time given to callers whose service is cut off. It is as long as the
// cut has lasted: one that has lasted long is likely to last.
const (
	retryAfterCut    = time.Second
	maxRetryAfterCut = 4 * time.Second
)

// serviceCutOff reports whether all upstreams of a service are in failure domains that are
// cut off, and for how long the longest of these cuts has lasted.
func (r *Relay) serviceCutOff(service string) (cutFor time.Duration, all bool) {
	for _, u := range r.opts.Upstreams().Live(service) {
		d := r.domains.cutFor(u.Domain)
		if d == 0 {
			return 0, false
		}
		cutFor = max(cutFor, d)
	}
	return cutFor, cutFor > 0
}

// cutOffRefusal returns a refusal if no upstream of the service can be reached, else nil.
func (g *run) cutOffRefusal() *request.Refusal {
	cutFor, all := g.relay.serviceCutOff(g.req.Service.Name)
	if !all {
		return nil
	}
	retryAfter := min(max(cutFor, retryAfterCut), maxRetryAfterCut)
	return request.Refuse(request.CodeNoUpstream, retryAfter, "no upstream of %s can be reached: their failure domains are cut off", g.req.Service.Name)
}
