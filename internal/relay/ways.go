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

// Times of the looks at failure domains. A round trip between domains takes 1 to 3 ms.
const (
	// wayQuiet is three of the usual pauses between events, of 50 ms.
	wayQuiet = 150 * time.Millisecond
	// wayAgain is between two looks at a domain: twice the time of one, so that a cut of a
	// few seconds is left within a tenth of it.
	wayAgain = 200 * time.Millisecond
	// wayTick is between two looks whether a domain has fallen quiet.
	wayTick = 50 * time.Millisecond
	// wayDial bounds a connection of a look.
	wayDial = 100 * time.Millisecond
	// wayStill is how long a look may take: a process that stood still meanwhile has
	// learnt nothing.
	wayStill = 2 * wayDial
	// wayTried is how many upstreams are tried in a look.
	wayTried = 3
	// waySince is how long before the first failed look failures may have had the same
	// cause: a stream counts as silent after 1.5 s.
	waySince = 2 * time.Second
)

// errCut moves an attempt away from behind a cut.
var errCut = merry.Wrap(errSilent, merry.WithMessage("the way to the upstream's failure domain is cut"))

// ways are the beliefs on the ways to failure domains; safe for concurrent use.
type ways struct {
	mu      sync.Mutex
	tracker *reach.Tracker
	busy    chan struct{} // there is something to watch
}

func newWays() *ways {
	return &ways{
		tracker: reach.New(reach.Options{QuietAfter: wayQuiet, ProbeInterval: wayAgain}),
		busy:    make(chan struct{}, 1),
	}
}

func (w *ways) heard(domain string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tracker.RecordActivity(domain, time.Now())
}

func (w *ways) cutFor(domain string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.CutFor(domain, time.Now())
}

// DomainCut reports whether a failure domain is believed to be cut off from here.
func (r *Relay) DomainCut(domain string) bool {
	r.ways.mu.Lock()
	defer r.ways.mu.Unlock()
	return r.ways.tracker.Cut(domain)
}

// SuspectDomain tells of a sign that a failure domain may be cut off. A look follows, unless one
// was made just now.
func (r *Relay) SuspectDomain(domain string) {
	r.ways.mu.Lock()
	look := domain != "" && r.ways.tracker.BeginProbe(domain, time.Now())
	r.ways.mu.Unlock()
	if look {
		go r.look(domain)
	}
}

// MonitorDomains looks at failure domains that are quiet or cut until the context ends. While nothing
// runs and none is cut, it sleeps.
func (r *Relay) MonitorDomains(ctx context.Context) error {
	for wait.For(ctx, wayTick) {
		writing := r.running.writing()
		now := time.Now()
		r.ways.mu.Lock()
		due := r.ways.tracker.DueProbes(writing, now)
		idle := !r.ways.tracker.AnyCut() && r.running.none()
		r.ways.mu.Unlock()
		for _, domain := range due {
			go r.look(domain)
		}
		if !idle {
			continue
		}
		select {
		case <-r.ways.busy:
		case <-ctx.Done():
		}
	}
	return nil
}

// watch wakes the one that watches the ways.
func (w *ways) watch() {
	select {
	case w.busy <- struct{}{}:
	default:
	}
}

// look tries connections to some upstreams of a domain and takes in what that shows.
func (r *Relay) look(domain string) {
	l := reach.ProbeResult{Started: time.Now()}
	targets := r.lookTargets(domain)
	l.Tried = len(targets)
	l.Reached = r.dial(targets)
	now := time.Now()
	r.ways.mu.Lock()
	if now.Sub(l.Started) > wayStill {
		r.ways.tracker.DiscardProbe(domain)
		r.ways.mu.Unlock()
		return
	}
	cutFor := r.ways.tracker.CutFor(domain, now)
	change := r.ways.tracker.EndProbe(domain, l, now)
	r.ways.mu.Unlock()
	log := r.log.WithFields(logrus.Fields{"domain": domain, "tried": l.Tried, "reached": l.Reached})
	switch change {
	case reach.BecameCut:
		r.ways.watch()
		log.WithField("moved", r.moveFrom(domain)).Warn("domain_cut")
	case reach.BecameReachable:
		r.forgive(domain, now.Add(-cutFor-waySince))
		if r.opts.OnDomainReached != nil {
			r.opts.OnDomainReached(domain)
		}
		log.WithField("cut_ms", cutFor.Milliseconds()).Info("domain_reached")
	}
}

// lookTargets draws upstreams of a domain, those that have not failed lately before others.
func (r *Relay) lookTargets(domain string) []fleet.Upstream {
	var sound, failing []fleet.Upstream
	avoided := r.failing()
	for _, u := range r.opts.Upstreams().Upstreams {
		switch {
		case u.Domain != domain:
		case slices.Contains(avoided, u.ID):
			failing = append(failing, u)
		default:
			sound = append(sound, u)
		}
	}
	for _, some := range [][]fleet.Upstream{sound, failing} {
		rand.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	}
	all := append(sound, failing...)
	return all[:min(wayTried, len(all))]
}

// dial returns how many of the upstreams a connection can be made to.
func (r *Relay) dial(targets []fleet.Upstream) int {
	ctx, cancel := context.WithTimeout(context.Background(), wayDial)
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

// moveFrom moves the attempts that depend on a domain behind a cut, and returns how many
// were told to.
func (r *Relay) moveFrom(domain string) int {
	list := r.opts.Upstreams()
	behind := r.running.of(func(a *attempt) bool { return a.dependsOn(domain, list) })
	for _, a := range behind {
		a.watch.move(errCut)
	}
	return len(behind)
}

// forgive forgets the failures of a domain's upstreams while it was cut.
func (r *Relay) forgive(domain string, since time.Time) {
	list := r.opts.Upstreams()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range list.Upstreams {
		if u.Domain == domain {
			r.avoid.ClearFailures(u.ID, since)
		}
	}
}

// Times told to callers whose service is behind cuts: as long as these have lasted, for
// what has lasted long is likely to last.
const (
	retryAfterCut     = time.Second
	retryAfterCutMost = 4 * time.Second
)

// unreachable reports whether all upstreams of a service are behind cuts, and for how long
// at the most the way to one has been cut.
func (r *Relay) unreachable(service string) (cutFor time.Duration, all bool) {
	for _, u := range r.opts.Upstreams().Live(service) {
		d := r.ways.cutFor(u.Domain)
		if d == 0 {
			return 0, false
		}
		cutFor = max(cutFor, d)
	}
	return cutFor, cutFor > 0
}

// behindCuts refuses a request that no upstream can be reached for; nil: one can.
func (g *run) behindCuts() *request.Refusal {
	cutFor, all := g.relay.unreachable(g.req.Service.Name)
	if !all {
		return nil
	}
	comeBack := min(max(cutFor, retryAfterCut), retryAfterCutMost)
	return request.Refuse(request.CodeNoUpstream, comeBack, "no upstream of %s can be reached: the ways to their failure domains are cut", g.req.Service.Name)
}
