package notice

import (
	"maps"
	"slices"
	"time"
)

// Notice is what one answer of an upstream says of the upstream itself.
type Notice struct {
	Limited bool    // it names a limit
	Limit   float64 // requests a second that it takes from all hosts together
	// Ran says that the upstream ran what it answers. Only such an answer takes a limit back:
	// others may leave out what it has to say.
	Ran     bool
	Leaving bool // it takes no new work
	// BackOff is for how long it wants nothing from the host that it answers; zero: it does
	// not say.
	BackOff time.Duration
	Cold    time.Duration // for which it bears few requests a second; zero: it does not say
}

// Limit is the limit of one upstream as a host has heard it.
type Limit struct {
	Upstream  string  // ID of the life
	Limited   bool    // false: it has taken its limit back
	PerSecond float64 // requests from all hosts together
	At        time.Time
}

// Bar says that an upstream is to get nothing from this host.
type Bar struct {
	Leaving bool // for good; else until a time
	Until   time.Time
	At      time.Time // when it was heard
}

// Change is what an answer changes of what is known of its upstream.
type Change struct {
	Limit   bool
	Leaving bool // it was not known to leave
	BackOff bool // it wants nothing for longer than was known
}

// Tracker has what one host has heard. It is not safe for concurrent use.
//
// Invariants: a limit stands until an answer to what was sent after it was heard, and ran, names
// none, for answers on different connections may overtake each other. An upstream that leaves never
// comes back: its next life has another ID. A back-off only grows.
type Tracker struct {
	limits  map[string]Limit
	leaving map[string]time.Time // when it was heard
	backOff map[string]Bar
	unlistedSince    map[string]time.Time // since when what is known is of no listed upstream
}

// New returns a Tracker that has heard nothing.
func New() *Tracker {
	return &Tracker{
		limits:  map[string]Limit{},
		leaving: map[string]time.Time{},
		backOff: map[string]Bar{},
		unlistedSince:    map[string]time.Time{},
	}
}

// Limits returns all limits that were heard, those that were taken back among them.
func (t *Tracker) Limits() []Limit { return slices.Collect(maps.Values(t.limits)) }

// Record takes in what an answer says that came now to what was sent at a time.
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

// Inherit gives an upstream's next life what was heard under the ID of the former one since the
// next began: the registry tells of a start later than the first answers after it.
func (t *Tracker) Inherit(next, former string, began time.Time) {
	if l := t.limits[former]; l.Limited && !l.At.Before(began) {
		l.Upstream = next
		t.limits[next] = l
	}
	if at, leaves := t.leaving[former]; leaves && !at.Before(began) {
		t.leaving[next] = at
	}
	if b, backsOff := t.backOff[former]; backsOff && !b.At.Before(began) {
		t.backOff[next] = b
	}
}

// Limit returns the limit of an upstream; ok is false when none stands.
func (t *Tracker) Limit(id string) (l Limit, ok bool) {
	l = t.limits[id]
	return l, l.Limited
}

// Bar returns why an upstream is to get nothing now; ok is false when it may.
func (t *Tracker) Bar(id string, now time.Time) (b Bar, ok bool) {
	if at, leaves := t.leaving[id]; leaves {
		return Bar{Leaving: true, At: at}, true
	}
	b, ok = t.backOff[id]
	return b, ok && now.Before(b.Until)
}

// Barred returns the upstreams that are to get nothing now.
func (t *Tracker) Barred(now time.Time) []string {
	ids := slices.Collect(maps.Keys(t.leaving))
	for id, b := range t.backOff {
		if _, leaves := t.leaving[id]; !leaves && now.Before(b.Until) {
			ids = append(ids, id)
		}
	}
	return ids
}

// retention is how long what an upstream has said is kept after its entry has gone: it may come
// back.
const retention = time.Minute

// RetainListed forgets what upstreams have said that are not listed, after a while.
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

// known returns all upstreams that have said something, some of them twice.
func (t *Tracker) known() []string {
	ids := slices.Collect(maps.Keys(t.limits))
	ids = slices.AppendSeq(ids, maps.Keys(t.leaving))
	return slices.AppendSeq(ids, maps.Keys(t.backOff))
}
