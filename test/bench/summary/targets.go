package main

import (
	"github.com/buckthorndock/buckthorndock/internal/bench"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

// Target is a ratio of the run and the bound that it has to keep.
type Target struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Bound float64 `json:"bound"`
	IsMin bool    `json:"least"` // the bound is the least value, not the most
	Met   bool    `json:"met"`
}

func (t *Target) sign() string {
	if t.IsMin {
		return ">="
	}
	return "<="
}

func (t *Target) verdict() string {
	if t.Met {
		return "met"
	}
	return "NOT MET"
}

func atMost(name string, value, bound float64) Target {
	return Target{Name: name, Value: value, Bound: bound, Met: value <= bound}
}

func atLeast(name string, value, bound float64) Target {
	return Target{Name: name, Value: value, Bound: bound, IsMin: true, Met: value >= bound}
}

// longBuckets are those whose first tokens must not pay for the short ones.
var longBuckets = []string{"4k-16k", "16k-64k", "64k-256k", "256k-1M"}

// targets returns the ratios of all parts that were run, in a fixed order.
func targets(r *Results) []Target {
	var list []Target
	if r.Policies != nil {
		list = append(list, policyTargets(r.Policies)...)
	}
	if r.Prefix != nil {
		list = append(list, prefixTarget(r.Prefix))
	}
	if r.Load100 != nil && r.Load150 != nil {
		list = append(list, overloadTargets(r.Load100, r.Load150)...)
	}
	if r.Wake != nil {
		list = append(list, atMost("wake: peak of retries to their mean", r.Wake.Retries.PeakToMean, 1.5))
	}
	if r.Faults != nil && r.FourLeft != nil {
		list = append(list, faultTarget(r.Faults, r.FourLeft))
	}
	if r.Engines != nil {
		list = append(list, atMost("runs begun for requests refused as not run", float64(r.Engines.RanAfterRefusal), 0))
	}
	return list
}

func policyTargets(c *bench.Comparison) []Target {
	byName := map[string]*bench.PolicyResult{}
	for i := range c.Policies {
		byName[c.Policies[i].Policy] = &c.Policies[i]
	}
	aware, least, priority := byName[settings.PolicyLengthAware], byName[settings.PolicyLeastLoaded], byName[settings.PolicyLeastLoadedPriority]
	if aware == nil || least == nil || priority == nil {
		return nil
	}
	list := []Target{
		atMost("slowdown of short", aware.Slowdown.Ratio, 1.3),
		atMost("slowdown of short / least-loaded's", aware.Slowdown.Ratio/least.Slowdown.Ratio, 0.25),
	}
	for _, name := range longBuckets {
		a, b := bucket(aware.Mix, name), bucket(priority.Mix, name)
		if a != nil && b != nil && b.FirstTokenMs.P95 > 0 {
			list = append(list, atMost(name+" first token p95 / least-loaded+priority's", a.FirstTokenMs.P95/b.FirstTokenMs.P95, 1.15))
		}
	}
	longest := 0.0
	for i := range aware.Mix.Classes {
		longest = max(longest, aware.Mix.Classes[i].StalledS)
	}
	return append(list, atMost("longest time without progress of a class, s", longest, 10))
}

func bucket(r *bench.Report, name string) *bench.Row {
	for i := range r.Buckets {
		if r.Buckets[i].Bucket == name {
			return &r.Buckets[i]
		}
	}
	return nil
}

// prefixTarget compares the placement that knows of cached prefixes with one that
// does not.
func prefixTarget(c *bench.Comparison) Target {
	var aware, blind float64
	for i := range c.Policies {
		p95 := c.Policies[i].Mix.All.FirstTokenMs.P95
		switch c.Policies[i].Policy {
		case settings.PolicyLengthAware:
			aware = p95
		case settings.PolicyLeastLoadedPriority:
			blind = p95
		}
	}
	return atMost("shared prefixes: first token p95 / cache-blind", aware/blind, 1)
}

// overloadTargets compares the answers in time at 150% of the capacity with those
// at 100%: their number a second, for both have the same duration.
func overloadTargets(full, over *bench.Report) []Target {
	good := func(r *bench.Report) float64 { return r.All.GoodShare * float64(r.All.Sent) }
	return []Target{
		atLeast("answers in time at 150% load / at 100%", good(over)/good(full), 0.9),
		atMost("refusals at 150% load p95, ms", over.Retries.RefusalLatencyMs.P95, 50),
	}
}

// Seconds of the run: the faults come in the second faultSecond, and what comes
// in recoverySeconds after it counts for nothing.
const (
	faultSecond     = 4
	recoverySeconds = 2
)

// faultTarget compares the answers in time to what came after the faults with
// those to the same arrivals when the engines were long gone.
func faultTarget(faults, fourLeft *bench.Report) Target {
	good := func(r *bench.Report) float64 {
		sum := 0
		for i := faultSecond + recoverySeconds; i < len(r.Timeline); i++ {
			sum += r.Timeline[i].Good
		}
		return float64(sum)
	}
	return atLeast("answers in time 2 s after two engines are lost / with four", good(faults)/good(fourLeft), 0.85)
}
