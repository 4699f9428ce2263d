package paths

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/reach"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

// Tracker knows the paths from this daemon to the upstreams of each failure domain, and opens
// connections over them. It is safe for concurrent use.
type Tracker struct {
	opts   Options
	wakeUp chan struct{} // wakes Run; buffered

	mu       sync.Mutex
	state    *reach.Tracker
	probes   map[string]chan struct{} // by domain: closed when the probe under way ends
	gateways map[string]*gateways     // by domain
}

// New returns a Tracker for which all paths are direct.
func New(o Options) *Tracker {
	return &Tracker{
		opts:     o,
		wakeUp:   make(chan struct{}, 1),
		state:    reach.New(reach.Options{QuietAfter: quietAfter, ProbeInterval: probeInterval, SuspectInterval: suspectInterval}),
		probes:   map[string]chan struct{}{},
		gateways: map[string]*gateways{},
	}
}

var pathChanges = metrics.GetOrCreateCounter(`buckthorndock_path_changes_total`)

// State returns the state of the path to a domain.
func (t *Tracker) State(domain string) reach.State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.State(domain)
}

// Cut reports whether the upstreams of a domain appear to be cut off from this daemon and from
// those that it asked.
func (t *Tracker) Cut(domain string) bool { return t.State(domain) == reach.Cut }

// Isolated reports whether the daemons of a domain appear to be cut off as well.
func (t *Tracker) Isolated(domain string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Isolated(domain)
}

// CutFor returns for how long a domain has been cut off, zero if it is not.
func (t *Tracker) CutFor(domain string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.CutFor(domain, time.Now())
}

// RecordActivity records that an upstream of a domain has just answered.
func (t *Tracker) RecordActivity(domain string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.RecordActivity(domain, time.Now())
}

// Wake resumes the monitoring that Run suspends while nothing is in progress.
func (t *Tracker) Wake() {
	select {
	case t.wakeUp <- struct{}{}:
	default:
	}
}

// Run probes failure domains that are quiet or not reached directly, until the context ends.
// streaming returns the domains that are sending answers, and whether anything is in progress.
// Run sleeps while nothing is and all paths are direct.
func (t *Tracker) Run(ctx context.Context, streaming func() (domains []string, busy bool)) error {
	for wait.For(ctx, monitorInterval) {
		domains, busy := streaming()
		due, idle := t.beginDue(domains)
		for _, domain := range due {
			go t.probe(domain)
		}
		if busy || !idle {
			continue
		}
		select {
		case <-t.wakeUp:
		case <-ctx.Done():
		}
	}
	return nil
}

// beginDue begins the probes that are due. idle says that all paths are direct.
func (t *Tracker) beginDue(streaming []string) (due []string, idle bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	due = t.state.DueProbes(streaming, time.Now())
	for _, domain := range due {
		t.probes[domain] = make(chan struct{})
	}
	return due, t.state.AllDirect()
}

// Suspect records a sign that upstreams of a domain may be unreachable. It begins a probe of the
// domain, unless there was one just now, and returns a channel that is closed when the probe
// under way ends; nil: there is none.
func (t *Tracker) Suspect(domain string) <-chan struct{} {
	if domain == "" {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state.BeginProbe(domain, time.Now()) {
		t.probes[domain] = make(chan struct{})
		go t.probe(domain)
	}
	return t.probes[domain]
}

// probe tries to connect to some upstreams of a domain and applies the result.
func (t *Tracker) probe(domain string) {
	r := reach.ProbeResult{Started: time.Now(), DaemonsAnswer: domain == t.opts.Domain}
	targets := t.opts.Targets(domain)
	r.Tried = len(targets)
	if t.reachesAny(targets) {
		r.Reached = 1
	}
	tried := time.Now()
	stalled := tried.Sub(r.Started) > maxProbeTime
	if r.Reached == 0 && r.Tried > 0 && !stalled {
		t.askOthers(domain, targets, &r)
		stalled = time.Since(tried) > maxAskTime
	}
	change, valid := t.endProbe(domain, r, stalled)
	if !valid || !change.Changed() {
		return
	}
	pathChanges.Inc()
	moved := 0
	if t.opts.OnChange != nil {
		moved = t.opts.OnChange(domain, change)
	}
	t.logChange(domain, r, change, moved)
	t.Wake()
}

// endProbe applies the result of a probe. It is not valid if this process stalled meanwhile.
func (t *Tracker) endProbe(domain string, r reach.ProbeResult, stalled bool) (c reach.Change, valid bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if done := t.probes[domain]; done != nil {
		delete(t.probes, domain)
		defer close(done)
	}
	if stalled {
		t.state.DiscardProbe(domain)
		return c, false
	}
	return t.state.EndProbe(domain, r, time.Now()), true
}

// Log events of a change, by the new state.
var changeEvents = map[reach.State]string{
	reach.Direct:   "domain_reachable",
	reach.Indirect: "domain_indirect",
	reach.Cut:      "domain_cut",
}

func (t *Tracker) logChange(domain string, r reach.ProbeResult, c reach.Change, moved int) {
	log := t.opts.Log.WithFields(logrus.Fields{
		"domain": domain, "former": c.From.String(), "tried": r.Tried, "reached": r.Reached, "indirect": r.Indirect,
		"daemons_answer": r.DaemonsAnswer,
	})
	if c.To == reach.Direct {
		log.WithField("cut_ms", time.Since(c.Since).Milliseconds()).Info(changeEvents[c.To])
		return
	}
	log.WithFields(logrus.Fields{"moved": moved, "through": t.gatewayHosts(domain)}).Warn(changeEvents[c.To])
}

// reachesAny reports whether any of the upstreams accepts a connection.
func (t *Tracker) reachesAny(addresses []string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	results := make(chan error, len(addresses))
	for _, a := range addresses {
		go func() { results <- t.tryDirect(ctx, a) }()
	}
	for range addresses {
		if <-results == nil {
			return true
		}
	}
	return false
}

// tryDirect opens a connection to an address and closes it.
func (t *Tracker) tryDirect(ctx context.Context, address string) error {
	conn, err := t.opts.Dial(ctx, address)
	if err != nil {
		return err
	}
	return conn.Close()
}
