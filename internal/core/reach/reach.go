package reach

import "time"

// Options configure a Tracker. All must be positive.
type Options struct {
	// QuietAfter is how long a domain in which answers are written may give no sign of life.
	QuietAfter time.Duration
	// ProbeInterval is the time from one look at a domain to the next, while it stays doubtful or
	// cut.
	ProbeInterval time.Duration
}

// ProbeResult is the result of a look at a domain.
type ProbeResult struct {
	Started time.Time
	Tried   int // connections
	Reached int // of them made
}

// Change is what a look changes.
type Change uint8

// Changes of a belief.
const (
	None Change = iota
	BecameCut
	BecameReachable
)

// path is what is known of the way to a domain.
type path struct {
	lastActivity   time.Time // last sign of life
	lastProbe  time.Time // when the last look began
	probing bool
	cutSince     time.Time // since when it is cut; zero: it is not
}

// Tracker has the beliefs of one daemon. It is not safe for concurrent use.
//
// Invariant: at most one look at a domain is under way, and a belief changes only by one.
type Tracker struct {
	opts Options
	paths map[string]*path
}

// New returns a Tracker that believes all ways open.
func New(o Options) *Tracker { return &Tracker{opts: o, paths: map[string]*path{}} }

func (t *Tracker) path(domain string) *path {
	w := t.paths[domain]
	if w == nil {
		w = &path{}
		t.paths[domain] = w
	}
	return w
}

// RecordActivity notes a sign of life from a domain.
func (t *Tracker) RecordActivity(domain string, now time.Time) { t.path(domain).lastActivity = now }

// BeginProbe notes a reason to look at a domain. It returns true when a look is to begin now;
// Looked must follow.
func (t *Tracker) BeginProbe(domain string, now time.Time) bool {
	w := t.path(domain)
	if w.probing || now.Sub(w.lastProbe) < t.opts.ProbeInterval {
		return false
	}
	w.probing, w.lastProbe = true, now
	return true
}

// DueProbes returns the domains to look at now: those that are cut, and those of writing, in
// which answers are written, that are quiet. Looked must follow for each.
func (t *Tracker) DueProbes(writing []string, now time.Time) []string {
	var due []string
	for domain, w := range t.paths {
		if !w.cutSince.IsZero() && t.BeginProbe(domain, now) {
			due = append(due, domain)
		}
	}
	for _, domain := range writing {
		w := t.path(domain)
		if now.Sub(w.lastActivity) >= t.opts.QuietAfter && t.BeginProbe(domain, now) {
			due = append(due, domain)
		}
	}
	return due
}

// minTried is how many connections have to fail in a look: one upstream may be dead.
const minTried = 2

// EndProbe notes the result of a look. One without enough connections changes nothing, for
// where a domain has a single upstream, its death and a cut are not told apart; neither does
// one during which the domain gave a sign of life: those that were tried are dead.
func (t *Tracker) EndProbe(domain string, l ProbeResult, now time.Time) Change {
	w := t.path(domain)
	w.probing = false
	switch {
	case l.Reached > 0:
		w.lastActivity = now
		if w.cutSince.IsZero() {
			return None
		}
		w.cutSince = time.Time{}
		return BecameReachable
	case l.Tried < minTried || !w.cutSince.IsZero() || w.lastActivity.After(l.Started):
		return None
	}
	w.cutSince = l.Started
	return BecameCut
}

// DiscardProbe notes that a look has told nothing, as one during which the daemon stood still.
func (t *Tracker) DiscardProbe(domain string) { t.path(domain).probing = false }

// Cut reports whether the way to a domain is believed cut.
func (t *Tracker) Cut(domain string) bool {
	w := t.paths[domain]
	return w != nil && !w.cutSince.IsZero()
}

// AnyCut reports whether some way is believed cut.
func (t *Tracker) AnyCut() bool {
	for domain := range t.paths {
		if t.Cut(domain) {
			return true
		}
	}
	return false
}

// CutFor returns how long the way to a domain has been cut, zero when it is not.
func (t *Tracker) CutFor(domain string, now time.Time) time.Duration {
	if !t.Cut(domain) {
		return 0
	}
	return now.Sub(t.paths[domain].cutSince)
}
