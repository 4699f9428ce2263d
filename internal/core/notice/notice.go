package notice

import (
	"maps"
	"slices"
	"time"
)

// Notice is what one answer of an upstream reports about the upstream itself.
type Notice struct {
	Limited bool    // the answer names a limit
	Limit   float64 // requests per second that it accepts from all hosts together
	// Ran says that the upstream executed the request that it answers. Only such an answer
	// withdraws a limit: others may leave the notice out.
	Ran     bool
	Leaving bool // the upstream accepts no new work
	// BackOff is how long the upstream wants no requests from the host that it answers; zero:
	// not given.
	BackOff time.Duration
	Cold    time.Duration // how long it can take only few requests per second; zero: not given
}

// Limit is the rate limit of one upstream as reported to a host.
type Limit struct {
	Upstream  string    // ID of the incarnation
	Limited   bool      // false: the upstream has withdrawn its limit
	PerSecond float64   // requests from all hosts together
	At        time.Time // of the report
}

// Bar says that an upstream is to get no requests from this host.
type Bar struct {
	Leaving bool      // barred for good
	Until   time.Time // end of the bar, if not Leaving
	At      time.Time // of the report
}

// Change says which of the facts known about an upstream an answer has changed.
type Change struct {
	Limit   bool
	Leaving bool // it was not known to be leaving
	BackOff bool // the back-off is longer than was known
}

// Tracker has the notices that one host has received. It is not safe for concurrent use.
//
// Invariants: a limit stands until an executed request that was sent after the limit arrived is
// answered without one, for answers on different connections may overtake each other. An upstream
// that is leaving never returns: its next incarnation has another ID. The end of a back-off only
// moves later.
type Tracker struct {
	limits        map[string]Limit
	leaving       map[string]time.Time // time of the first report
	backOff       map[string]Bar
	unlistedSince map[string]time.Time // since when the upstream is not listed
}

// New returns a Tracker without notices.
func New() *Tracker {
	return &Tracker{
		limits:        map[string]Limit{},
		leaving:       map[string]time.Time{},
		backOff:       map[string]Bar{},
		unlistedSince: map[string]time.Time{},
	}
}

// Limits returns all limits that were reported, including withdrawn ones.
func (t *Tracker) Limits() []Limit { return slices.Collect(maps.Values(t.limits)) }

// Record takes in the notice of an answer that came at now, to a request sent at sent.
func (t *Tracker) Record(id string, n Notice, sent, now time.Time) Change {
	return Change{
		Limit:   t.recordLimit(id, n, sent, now),
		Leaving: n.Leaving && t.recordLeaving(id, now),
		BackOff: n.BackOff > 0 && t.recordBackOff(id, n.BackOff, now),
	}
}

func (t *Tracker) recordLimit(id string, n Notice, sent, now time.Time) (changed bool) {
	before, known := t.limits[id]
	if !n.Limited && (!known || !n.Ran || sent.Before(before.At)) {
		return false
	}
	t.limits[id] = Limit{Upstream: id, Limited: n.Limited, PerSecond: n.Limit, At: now}
	return !known || before.Limited != n.Limited || before.PerSecond != n.Limit
}

func (t *Tracker) recordLeaving(id string, now time.Time) (changed bool) {
	if _, known := t.leaving[id]; known {
		return false
	}
	t.leaving[id] = now
	return true
}

func (t *Tracker) recordBackOff(id string, span time.Duration, now time.Time) (changed bool) {
	until := now.Add(span)
	if !until.After(t.backOff[id].Until) {
		return false
	}
	t.backOff[id] = Bar{Until: until, At: now}
	return true
}

// Inherit copies to an upstream's next incarnation what was reported under the ID of the former
// one since the next one started: the first answers after a start come before the registry lists
// it.
func (t *Tracker) Inherit(next, former string, started time.Time) {
	if l := t.limits[former]; l.Limited && !l.At.Before(started) {
		l.Upstream = next
		t.limits[next] = l
	}
	if at, leaves := t.leaving[former]; leaves && !at.Before(started) {
		t.leaving[next] = at
	}
	if b, backsOff := t.backOff[former]; backsOff && !b.At.Before(started) {
		t.backOff[next] = b
	}
}

// Limit returns the limit of an upstream; ok is false when it has none.
func (t *Tracker) Limit(id string) (l Limit, ok bool) {
	l = t.limits[id]
	return l, l.Limited
}

// Bar returns why an upstream is to get no requests now; ok is false when it may get them.
func (t *Tracker) Bar(id string, now time.Time) (b Bar, ok bool) {
	if at, leaves := t.leaving[id]; leaves {
		return Bar{Leaving: true, At: at}, true
	}
	b, ok = t.backOff[id]
	return b, ok && now.Before(b.Until)
}

// Barred returns the upstreams that are to get no requests now.
func (t *Tracker) Barred(now time.Time) []string {
	ids := slices.Collect(maps.Keys(t.leaving))
	for id, b := range t.backOff {
		if _, leaves := t.leaving[id]; !leaves && now.Before(b.Until) {
			ids = append(ids, id)
		}
	}
	return ids
}

// retention is how long the notices of an upstream are kept while it is not listed: it may be
// listed again.
const retention = time.Minute

// RetainListed drops the notices of upstreams that have not been listed for retention.
func (t *Tracker) RetainListed(listed func(id string) bool, now time.Time) {
	for _, id := range t.known() {
		if listed(id) {
			delete(t.unlistedSince, id)
			continue
		}
		if _, noted := t.unlistedSince[id]; !noted {
			t.unlistedSince[id] = now
		}
	}
	for id, since := range t.unlistedSince {
		if now.Sub(since) > retention {
			delete(t.unlistedSince, id)
			delete(t.limits, id)
			delete(t.leaving, id)
			delete(t.backOff, id)
		}
	}
}

// known returns all upstreams with notices, some of them more than once.
func (t *Tracker) known() []string {
	ids := slices.Collect(maps.Keys(t.limits))
	ids = slices.AppendSeq(ids, maps.Keys(t.leaving))
	return slices.AppendSeq(ids, maps.Keys(t.backOff))
}
