package reach

import "time"

// Options configure a Tracker. All must be positive.
type Options struct {
	// QuietAfter is the silence after which a domain that is sending answers is probed.
	QuietAfter time.Duration
	// ProbeInterval is the least time from the start of one probe of a domain to the next.
	ProbeInterval time.Duration
}

// ProbeResult is the result of a probe of a domain.
type ProbeResult struct {
	Started time.Time
	Tried   int // connections tried
	Reached int // of them established
}

// Change is the change of a path's state by a probe.
type Change uint8

// Changes of a path's state.
const (
	None Change = iota
	BecameCut
	BecameReachable
)

// path is the state of the path to a domain.
type path struct {
	lastActivity time.Time // last message or connection from the domain
	lastProbe    time.Time // start of the last probe
	probing      bool
	cutSince     time.Time // start of the cut; zero: the path is not cut
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

// BeginProbe asks for a probe of a domain. It returns true when the probe is to start now;
// EndProbe or DiscardProbe must follow.
func (t *Tracker) BeginProbe(domain string, now time.Time) bool {
	w := t.path(domain)
	if w.probing || now.Sub(w.lastProbe) < t.opts.ProbeInterval {
		return false
	}
	w.probing, w.lastProbe = true, now
	return true
}

// DueProbes returns the domains to probe now: those that are cut, and those in streaming that are
// silent. streaming lists the domains that are sending answers. EndProbe or DiscardProbe must
// follow for each.
func (t *Tracker) DueProbes(streaming []string, now time.Time) []string {
	var due []string
	for domain, w := range t.paths {
		if !w.cutSince.IsZero() && t.BeginProbe(domain, now) {
			due = append(due, domain)
		}
	}
	for _, domain := range streaming {
		w := t.path(domain)
		if now.Sub(w.lastActivity) >= t.opts.QuietAfter && t.BeginProbe(domain, now) {
			due = append(due, domain)
		}
	}
	return due
}

// minTried is the number of failed connections from which a probe finds a cut: one upstream may
// be dead.
const minTried = 2

// EndProbe takes in the result of a probe. A probe with too few connections finds no cut,
// because in a domain with a single upstream its failure and a cut look the same; neither does
// one during which the domain was active: the upstreams that were tried are dead.
func (t *Tracker) EndProbe(domain string, r ProbeResult, now time.Time) Change {
	w := t.path(domain)
	w.probing = false
	switch {
	case r.Reached > 0:
		w.lastActivity = now
		if w.cutSince.IsZero() {
			return None
		}
		w.cutSince = time.Time{}
		return BecameReachable
	case r.Tried < minTried || !w.cutSince.IsZero() || w.lastActivity.After(r.Started):
		return None
	}
	w.cutSince = r.Started
	return BecameCut
}

// DiscardProbe ends a probe that has no valid result, such as one during which the daemon itself
// was stalled.
func (t *Tracker) DiscardProbe(domain string) { t.path(domain).probing = false }

// Cut reports whether the path to a domain is taken as cut.
func (t *Tracker) Cut(domain string) bool {
	w := t.paths[domain]
	return w != nil && !w.cutSince.IsZero()
}

// AnyCut reports whether some path is taken as cut.
func (t *Tracker) AnyCut() bool {
	for domain := range t.paths {
		if t.Cut(domain) {
			return true
		}
	}
	return false
}

// CutFor returns how long the path to a domain has been cut, zero when it is not.
func (t *Tracker) CutFor(domain string, now time.Time) time.Duration {
	if !t.Cut(domain) {
		return 0
	}
	return now.Sub(t.paths[domain].cutSince)
}
