package reach

import "time"

// Options configure a Tracker. All must be positive.
type Options struct {
	// QuietAfter is the silence after which a domain that is sending answers is probed.
	QuietAfter time.Duration
	// ProbeInterval is the least time from the start of one probe of a domain to the next.
	ProbeInterval time.Duration
	// SuspectInterval is that time if connections to two upstreams have failed since a probe
	// that established one: the path may have been lost since.
	SuspectInterval time.Duration
}

// ProbeResult is the result of a probe of a domain.
type ProbeResult struct {
	Started time.Time
	Tried   int // connections tried
	Reached int // of them established; a probe may end with the first
	// Indirect is the number of them that another daemon established. It is tried only if
	// Reached is zero.
	Indirect int
	// DaemonsAnswer says that a daemon of the domain answered meanwhile.
	DaemonsAnswer bool
}

// State is the state of the path to a domain.
type State uint8

// States of a path.
const (
	Direct   State = iota // upstreams of the domain accept connections
	Indirect              // they accept connections of other daemons only
	Cut                   // no daemon that was asked reaches them
)

var stateNames = [...]string{"direct", "indirect", "cut"}

// String returns the name used in logs.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Change is the change of a path's state by a probe. Both are the same without a change.
type Change struct {
	From, To State
	// Since is the start of the state that has ended, or, for a path that was direct, that
	// of the new one.
	Since time.Time
	// Quiet says that the domain had sent nothing for Options.QuietAfter when the probe
	// started.
	Quiet bool
	// Isolated says that none of the domain's daemons answered either while the path was
	// cut.
	Isolated bool
}

// Changed reports whether the state is another one.
func (c Change) Changed() bool { return c.From != c.To }

// path is the state of the path to a domain.
type path struct {
	lastActivity  time.Time // last message or connection from the domain
	lastProbe     time.Time // start of the last probe
	probedAt      time.Time // start of the last probe that had a valid result
	reached       bool      // by that probe
	failed        string    // address to which a connection has failed since the last probe began
	severalFailed bool      // another one has failed too
	probing       bool
	state         State
	since         time.Time // start of the state unless it is Direct
	daemonsAnswer bool      // a daemon of the domain has answered since then
}

// Tracker has the state of all paths from one daemon. It is not safe for concurrent use.
//
// Invariant: at most one probe of a domain runs at a time, and only a probe changes the state.
type Tracker struct {
	opts  Options
	paths map[string]*path
}

// New returns a Tracker with no path cut.
func New(o Options) *Tracker { return &Tracker{opts: o, paths: map[string]*path{}} }

func (t *Tracker) path(domain string) *path {
	w := t.paths[domain]
	if w == nil {
		w = &path{}
		t.paths[domain] = w
	}
	return w
}

// RecordActivity records that a message or connection came from a domain.
func (t *Tracker) RecordActivity(domain string, now time.Time) { t.path(domain).lastActivity = now }

// RecordFailure records that a connection to an upstream of a domain has failed.
func (t *Tracker) RecordFailure(domain, address string) {
	w := t.path(domain)
	if w.failed == "" {
		w.failed = address
	}
	w.severalFailed = w.severalFailed || w.failed != address
}

// BeginProbe asks for a probe of a domain. It returns true when the probe is to start now; EndProbe
// or DiscardProbe must follow.
func (t *Tracker) BeginProbe(domain string, now time.Time) bool {
	return t.path(domain).begin(now, t.NextProbe(domain, now))
}

// NextProbe returns how long no probe of a domain may begin, zero while one is under way.
func (t *Tracker) NextProbe(domain string, now time.Time) time.Duration {
	w := t.path(domain)
	if w.probing {
		return 0
	}
	interval := t.opts.ProbeInterval
	if w.reached && w.severalFailed {
		interval = t.opts.SuspectInterval
	}
	return max(0, w.lastProbe.Add(interval).Sub(now))
}

// begin begins a probe, unless one is under way or none may begin for wait.
func (w *path) begin(now time.Time, wait time.Duration) bool {
	if w.probing || wait > 0 {
		return false
	}
	w.probing, w.lastProbe = true, now
	w.failed, w.severalFailed = "", false
	return true
}

// DueProbes returns the domains to probe now: those whose path is not direct, and those in
// streaming that are silent. streaming lists the domains that are sending answers. EndProbe or
// DiscardProbe must follow for each.
func (t *Tracker) DueProbes(streaming []string, now time.Time) []string {
	var due []string
	for domain, w := range t.paths {
		if w.state != Direct && t.beginPeriodic(domain, now) {
			due = append(due, domain)
		}
	}
	for _, domain := range streaming {
		if t.quiet(domain, now) && t.beginPeriodic(domain, now) {
			due = append(due, domain)
		}
	}
	return due
}

// beginPeriodic is BeginProbe at the pace of Options.ProbeInterval, whatever has failed.
func (t *Tracker) beginPeriodic(domain string, now time.Time) bool {
	w := t.path(domain)
	return w.begin(now, w.lastProbe.Add(t.opts.ProbeInterval).Sub(now))
}

// quiet reports whether a domain has sent nothing for Options.QuietAfter.
func (t *Tracker) quiet(domain string, now time.Time) bool {
	return now.Sub(t.path(domain).lastActivity) >= t.opts.QuietAfter
}

// minTried is the number of failed connections from which a probe finds a cut: one upstream may
// be dead.
const minTried = 2

// EndProbe takes in the result of a probe. A probe with too few connections finds no cut,
// because in a domain with a single upstream its failure and a cut look the same; neither does
// one during which the domain was active: the upstreams that were tried are dead. What another
// daemon reaches is alive, so that the path from here is at fault whatever else is known.
func (t *Tracker) EndProbe(domain string, r ProbeResult, now time.Time) Change {
	w := t.path(domain)
	w.probing, w.probedAt, w.reached = false, r.Started, r.Reached > 0
	c := Change{From: w.state, To: w.next(r), Since: w.since, Quiet: t.quiet(domain, r.Started)}
	w.daemonsAnswer = w.daemonsAnswer || r.DaemonsAnswer
	if r.Reached > 0 {
		w.lastActivity = now
	}
	if !c.Changed() {
		return c
	}
	c.Isolated = c.From == Cut && !w.daemonsAnswer
	if c.From == Direct {
		c.Since = r.Started
	}
	w.state, w.since, w.daemonsAnswer = c.To, r.Started, r.DaemonsAnswer
	return c
}

// next returns the state that follows from a probe.
func (w *path) next(r ProbeResult) State {
	switch {
	case r.Reached > 0:
		return Direct
	case r.Indirect > 0:
		return Indirect
	case r.Tried < minTried || w.lastActivity.After(r.Started):
		return w.state
	}
	return Cut
}

// DiscardProbe ends a probe that has no valid result, such as one during which the daemon itself
// was stalled.
func (t *Tracker) DiscardProbe(domain string) { t.path(domain).probing = false }

// ProbedAt returns the start of the last probe of a domain that had a valid result, the zero time
// if there was none.
func (t *Tracker) ProbedAt(domain string) time.Time {
	if w := t.paths[domain]; w != nil {
		return w.probedAt
	}
	return time.Time{}
}

// State returns the state of the path to a domain.
func (t *Tracker) State(domain string) State {
	if w := t.paths[domain]; w != nil {
		return w.state
	}
	return Direct
}

// Cut reports whether the path to a domain is cut.
func (t *Tracker) Cut(domain string) bool { return t.State(domain) == Cut }

// Isolated reports whether the path to a domain is cut and none of its daemons answers either.
func (t *Tracker) Isolated(domain string) bool {
	return t.State(domain) == Cut && !t.paths[domain].daemonsAnswer
}

// AllDirect reports whether all paths are direct.
func (t *Tracker) AllDirect() bool {
	for _, w := range t.paths {
		if w.state != Direct {
			return false
		}
	}
	return true
}

// CutFor returns how long the path to a domain has been cut, zero when it is not.
func (t *Tracker) CutFor(domain string, now time.Time) time.Duration {
	if t.State(domain) != Cut {
		return 0
	}
	return now.Sub(t.paths[domain].since)
}
