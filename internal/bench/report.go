package bench

import (
	"sort"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// Report is what came of one run. Times are in milliseconds; lengths are those
// before scaling.
type Report struct {
	Mix              string      `json:"mix"`
	Policy           string      `json:"policy,omitempty"`
	Seed             uint64      `json:"seed"`
	RatePerS         float64     `json:"rate_per_s"`
	DurationS        float64     `json:"duration_s"` // of the arrivals
	LengthScale      float64     `json:"length_scale"`
	Daemons          int         `json:"daemons"`
	ShortBelowTokens int         `json:"short_below_tokens"`
	All              Row         `json:"all"`
	Short            Row         `json:"short"` // completions with short prompts
	Classes          []Row       `json:"classes"`
	Buckets          []Row       `json:"buckets"` // completions by prompt length
	Cells            []Row       `json:"cells"`   // by class and prompt length
	Retries          Retries     `json:"retries"`
	Fairness         Fairness    `json:"fairness"` // first token of short prompts
	DispatchLagMs    Quantiles   `json:"dispatch_lag_ms"`
	Timeline         []SecondRow `json:"timeline"`
}

// Row counts the requests of a group and measures its answers.
type Row struct {
	Class          string         `json:"class,omitempty"`
	Bucket         string         `json:"bucket,omitempty"`
	Sent           int            `json:"sent"`
	Complete       int            `json:"complete"`
	NotRun         int            `json:"not_run"`
	Failed         int            `json:"failed"`
	Unknown        int            `json:"unknown"`
	Late           int            `json:"late"`       // complete, after the deadline
	Mismatched     int            `json:"mismatched"` // complete, with a wrong answer
	RetryAfterSeen int            `json:"retry_after_seen"`
	GoodShare      float64        `json:"good_share"` // right answers in time
	FirstTokenMs   Quantiles      `json:"first_token_ms"`
	InterTokenMs   Quantiles      `json:"between_token_ms"`
	StalledS       float64        `json:"stalled_s"` // longest time with requests waiting and none completed
	Codes          map[string]int `json:"codes,omitempty"`
}

// Retries tells how clients came back after a Retry-After.
type Retries struct {
	Count            int       `json:"count"`
	Amplification    float64   `json:"amplification"` // attempts for each request
	PeakPerS         int       `json:"peak_per_s"`
	MeanPerS         float64   `json:"mean_per_s"` // from the first second with one to the last
	PeakToMean       float64   `json:"peak_to_mean"`
	RefusalLatencyMs Quantiles `json:"refused_in_ms"`
}

// Fairness compares the customers' first tokens.
type Fairness struct {
	WorstCustomer string  `json:"worst_customer,omitempty"`
	WorstP95Ms    float64 `json:"worst_p95_ms"`
	MedianP95Ms   float64 `json:"median_p95_ms"`
	Ratio         float64 `json:"ratio"`
}

// SecondRow is one second of a run.
type SecondRow struct {
	Sent     int `json:"sent"`
	Complete int `json:"complete"`
	Refused  int `json:"refused"`
	Good     int `json:"good"` // of those sent in this second: right answers in time
}

// bucket is a range of prompt lengths, from included, to excluded.
type bucket struct {
	name     string
	from, to int
}

const kilo = 1000

// The longest bucket also takes what is longer.
var buckets = []bucket{
	{"under 1k", 0, kilo},
	{"1k-4k", kilo, 4 * kilo},
	{"4k-16k", 4 * kilo, 16 * kilo},
	{"16k-64k", 16 * kilo, 64 * kilo},
	{"64k-256k", 64 * kilo, 256 * kilo},
	{"256k-1M", 256 * kilo, 1 << 62},
}

func bucketOf(tokens int) string {
	for _, b := range buckets {
		if tokens < b.to {
			return b.name
		}
	}
	return buckets[len(buckets)-1].name
}

// NewReport sums up the records of a run of a mix.
func NewReport(m *Mix, s Scale, seed uint64, daemons int, records []Record) *Report {
	r := &Report{
		Mix: m.Name, Seed: seed, RatePerS: m.Rate, DurationS: time.Duration(m.Duration).Seconds(),
		LengthScale: 1, Daemons: daemons, ShortBelowTokens: m.ShortBelowTokens,
	}
	if s.Rate > 0 {
		r.RatePerS = s.Rate
	}
	if s.Duration > 0 {
		r.DurationS = s.Duration.Seconds()
	}
	if s.Lengths > 0 {
		r.LengthScale = s.Lengths
	}
	all := pointers(records)
	r.All = newRow("", "", all)
	r.Short = newRow("", "", filter(all, func(x *Record) bool { return x.Arrival.IsShort(m) }))
	r.addGroups(m, all)
	r.Retries = newRetries(all)
	r.Fairness = newFairness(m, all)
	lag := newHistogram()
	for _, x := range all {
		lag.record(x.Started - x.Arrival.At)
	}
	r.DispatchLagMs = lag.quantiles()
	r.Timeline = newTimeline(all)
	return r
}

// addGroups adds the rows by class, by bucket and by both that have requests.
func (r *Report) addGroups(m *Mix, all []*Record) {
	completion := func(x *Record) bool { return x.Arrival.Class.Model != "" }
	for i := range m.Classes {
		c := &m.Classes[i]
		of := filter(all, func(x *Record) bool { return x.Arrival.Class.Name == c.Name })
		if len(of) == 0 {
			continue
		}
		r.Classes = append(r.Classes, newRow(c.Name, "", of))
		for _, b := range buckets {
			cell := filter(of, func(x *Record) bool { return completion(x) && bucketOf(x.Arrival.UnscaledPromptTokens) == b.name })
			if len(cell) > 0 {
				r.Cells = append(r.Cells, newRow(c.Name, b.name, cell))
			}
		}
	}
	for _, b := range buckets {
		of := filter(all, func(x *Record) bool { return completion(x) && bucketOf(x.Arrival.UnscaledPromptTokens) == b.name })
		if len(of) > 0 {
			r.Buckets = append(r.Buckets, newRow("", b.name, of))
		}
	}
}

func newRow(class, bucket string, records []*Record) Row {
	row := Row{Class: class, Bucket: bucket, Sent: len(records), StalledS: stalled(records).Seconds(), Codes: map[string]int{}}
	first, between := newHistogram(), newHistogram()
	good := 0
	for _, x := range records {
		row.count(x)
		if x.Good() {
			good++
		}
		if x.FirstToken > 0 {
			first.record(x.FirstToken)
		}
		for _, gap := range x.Gaps {
			between.record(gap)
		}
	}
	if len(records) > 0 {
		row.GoodShare = float64(good) / float64(len(records))
	}
	row.FirstTokenMs, row.InterTokenMs = first.quantiles(), between.quantiles()
	return row
}

func (r *Row) count(x *Record) {
	switch x.Outcome {
	case request.Complete:
		r.Complete++
	case request.NotRun:
		r.NotRun++
	case request.Unknown:
		r.Unknown++
	default:
		r.Failed++
	}
	if x.Late() {
		r.Late++
	}
	if x.Mismatch {
		r.Mismatched++
	}
	if x.RetryAfter > 0 {
		r.RetryAfterSeen++
	}
	if x.Code != "" {
		r.Codes[string(x.Code)]++
	}
}

// stalled returns the longest time in which requests waited and none completed.
func stalled(records []*Record) time.Duration {
	type event struct {
		at   time.Duration
		step int // change of the number of requests that wait
		done bool
	}
	var events []event
	for _, x := range records {
		events = append(events, event{at: x.Started, step: 1}, event{at: x.Ended, step: -1, done: x.Outcome == request.Complete})
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].at < events[j].at })
	var longest, since time.Duration
	waiting := 0
	for _, e := range events {
		if waiting > 0 {
			longest = max(longest, e.at-since)
		}
		if waiting == 0 || e.done {
			since = e.at
		}
		waiting += e.step
	}
	return longest
}

func newRetries(records []*Record) Retries {
	perSecond := map[int]int{}
	refused := newHistogram()
	r := Retries{}
	for _, x := range records {
		if x.RetryAfter > 0 {
			refused.record(x.RefusalLatency)
		}
		if x.RetriedAt > 0 {
			r.Count++
			perSecond[int(x.RetriedAt/time.Second)]++
		}
	}
	r.RefusalLatencyMs = refused.quantiles()
	if len(records) > 0 {
		r.Amplification = float64(len(records)+r.Count) / float64(len(records))
	}
	if r.Count == 0 {
		return r
	}
	firstSecond, lastSecond := -1, 0
	for s, n := range perSecond {
		r.PeakPerS = max(r.PeakPerS, n)
		lastSecond = max(lastSecond, s)
		if firstSecond < 0 || s < firstSecond {
			firstSecond = s
		}
	}
	r.MeanPerS = float64(r.Count) / float64(lastSecond-firstSecond+1)
	r.PeakToMean = float64(r.PeakPerS) / r.MeanPerS
	return r
}

// newFairness compares customers by the first token of their short prompts, so
// that a customer is not the worst only for sending the longest ones.
func newFairness(m *Mix, records []*Record) Fairness {
	byCustomer := map[string]*histogram{}
	for _, x := range records {
		if !x.Arrival.IsShort(m) || x.FirstToken == 0 {
			continue
		}
		name := x.Arrival.Customer.Name
		if byCustomer[name] == nil {
			byCustomer[name] = newHistogram()
		}
		byCustomer[name].record(x.FirstToken)
	}
	var f Fairness
	var p95s []float64
	for name, h := range byCustomer {
		p95 := h.quantiles().P95
		p95s = append(p95s, p95)
		if p95 > f.WorstP95Ms || (p95 == f.WorstP95Ms && name < f.WorstCustomer) {
			f.WorstCustomer, f.WorstP95Ms = name, p95
		}
	}
	if len(p95s) == 0 {
		return f
	}
	sort.Float64s(p95s)
	f.MedianP95Ms = p95s[len(p95s)/2]
	f.Ratio = ratio(f.WorstP95Ms, f.MedianP95Ms)
	return f
}

func newTimeline(records []*Record) []SecondRow {
	var rows []SecondRow
	at := func(d time.Duration) *SecondRow {
		for len(rows) <= int(d/time.Second) {
			rows = append(rows, SecondRow{})
		}
		return &rows[int(d/time.Second)]
	}
	for _, x := range records {
		at(x.Started).Sent++
		if x.Good() {
			at(x.Started).Good++
		}
		switch x.Outcome {
		case request.Complete:
			at(x.Ended).Complete++
		case request.NotRun:
			at(x.Ended).Refused++
		}
	}
	return rows
}

func pointers(records []Record) []*Record {
	ps := make([]*Record, len(records))
	for i := range records {
		ps[i] = &records[i]
	}
	return ps
}

func filter(records []*Record, keep func(*Record) bool) []*Record {
	var kept []*Record
	for _, x := range records {
		if keep(x) {
			kept = append(kept, x)
		}
	}
	return kept
}

// ratio returns a/b, zero when b is.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
