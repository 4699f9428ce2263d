package speed

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Neutral is the factor of an upstream that is as fast as its figures say, and of one that is not
// known well enough.
const Neutral = 1.0

// Bounds of a factor.
const (
	// MinFactor and MaxFactor limit a factor, so that a wrong estimate has a limited effect.
	MinFactor = 0.5
	MaxFactor = 8.0
	// Fast and Slow bound the range that counts as neutral: the booked times have errors of
	// this size.
	Fast = 0.75
	Slow = 1.25
)

// Defaults of Options.
const (
	// defaultWindow is long enough for several answers of a busy upstream, and short enough that
	// one that has recovered is used again soon.
	defaultWindow     = 15 * time.Second
	defaultSamples    = 9
	defaultMinSamples = 3
)

// agreeing is the share of the samples of an upstream that must be outside the neutral range on the
// same side. The median of a few samples alone is often outside by chance.
const agreeing = 0.75

// Options configure a Tracker. A zero field has its default.
type Options struct {
	Window     time.Duration // the age from which samples are ignored
	Samples    int           // maximum number of samples of an upstream
	MinSamples int           // number of samples below which an upstream is neutral
}

// Sample is the time of one request at an upstream.
type Sample struct {
	Upstream string // ID of the incarnation
	Service  string
	Expected time.Duration // as the figures say
	Observed time.Duration
}

// valid reports whether the sample has an upstream and times above zero.
func (s *Sample) valid() bool { return s.Upstream != "" && s.Expected > 0 && s.Observed > 0 }

// Speed is the state of an upstream, for operators.
type Speed struct {
	Upstream string
	Service  string
	Factor   float64 // 1: as its figures say; 2: twice as slow
	Samples  int     // in the window
}

// measurement is a Sample as it is kept.
type measurement struct {
	ratio float64 // of the observed to the expected time
	at    time.Time
}

type record struct {
	service string
	latest  []measurement // in the order of their arrival
}

// Tracker estimates the speeds of upstreams. It is not safe for concurrent use.
type Tracker struct {
	opts Options
	byID map[string]*record
}

// New returns a Tracker without samples.
func New(o Options) *Tracker {
	o.Window = cmp.Or(o.Window, defaultWindow)
	o.Samples = cmp.Or(o.Samples, defaultSamples)
	o.MinSamples = cmp.Or(o.MinSamples, defaultMinSamples)
	return &Tracker{opts: o, byID: map[string]*record{}}
}

// Observe takes in a sample. It returns false and ignores the sample if that has no upstream or a
// time that is not above zero.
func (t *Tracker) Observe(s Sample, now time.Time) bool {
	if !s.valid() {
		return false
	}
	r := t.byID[s.Upstream]
	if r == nil || r.service != s.Service {
		r = &record{service: s.Service}
		t.byID[s.Upstream] = r
	}
	if len(r.latest) == t.opts.Samples {
		r.latest = slices.Delete(r.latest, 0, 1)
	}
	r.latest = append(r.latest, measurement{ratio: float64(s.Observed) / float64(s.Expected), at: now})
	return true
}

// Factor returns how much longer an upstream takes than its figures say, relative to the other
// upstreams of its service. Its cost grows with the number of these; Speeds returns all factors at
// once.
func (t *Tracker) Factor(id string, now time.Time) float64 {
	r := t.byID[id]
	if r == nil {
		return Neutral
	}
	var medians []float64
	for _, other := range t.byID {
		if other.service == r.service {
			medians = t.appendMedian(medians, other, now)
		}
	}
	return t.factor(t.ratios(r, now), medianOf(medians))
}

// Speeds returns the state of all upstreams with samples in the window, sorted by service and ID.
func (t *Tracker) Speeds(now time.Time) []Speed {
	medians := map[string][]float64{}
	for _, r := range t.byID {
		medians[r.service] = t.appendMedian(medians[r.service], r, now)
	}
	usual := make(map[string]float64, len(medians))
	for service, all := range medians {
		usual[service] = medianOf(all)
	}
	speeds := make([]Speed, 0, len(t.byID))
	for id, r := range t.byID {
		if ratios := t.ratios(r, now); len(ratios) > 0 {
			speeds = append(speeds, Speed{Upstream: id, Service: r.service, Factor: t.factor(ratios, usual[r.service]), Samples: len(ratios)})
		}
	}
	slices.SortFunc(speeds, func(a, b Speed) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Upstream, b.Upstream))
	})
	return speeds
}

// Retain drops the samples of upstreams that are no longer listed.
func (t *Tracker) Retain(listed func(id string) bool) {
	maps.DeleteFunc(t.byID, func(id string, _ *record) bool { return !listed(id) })
}

// Len returns the number of upstreams with samples.
func (t *Tracker) Len() int { return len(t.byID) }

// ratios returns the ratios of an upstream's samples in the window, in increasing order.
func (t *Tracker) ratios(r *record, now time.Time) []float64 {
	ratios := make([]float64, 0, len(r.latest))
	for _, m := range r.latest {
		if now.Sub(m.at) < t.opts.Window {
			ratios = append(ratios, m.ratio)
		}
	}
	slices.Sort(ratios)
	return ratios
}

// appendMedian appends the median of an upstream's ratios if it has enough samples.
func (t *Tracker) appendMedian(to []float64, r *record, now time.Time) []float64 {
	ratios := t.ratios(r, now)
	if len(ratios) < t.opts.MinSamples {
		return to
	}
	return append(to, medianOf(ratios))
}

// factor returns the factor of an upstream with the ratios, in increasing order, in a service
// whose median is usual.
func (t *Tracker) factor(ratios []float64, usual float64) float64 {
	if len(ratios) < t.opts.MinSamples || usual <= 0 {
		return Neutral
	}
	slow, fast := 0, 0
	for _, r := range ratios {
		if r > Slow*usual {
			slow++
		}
		if r < Fast*usual {
			fast++
		}
	}
	if float64(max(slow, fast)) < agreeing*float64(len(ratios)) {
		return Neutral
	}
	return min(max(medianOf(ratios)/usual, MinFactor), MaxFactor)
}

// medianOf returns the lower median of the values, zero without any. Of two upstreams the faster
// one is thus the usual one, and a slow one is found in a pair as well. It sorts the values.
func medianOf(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
