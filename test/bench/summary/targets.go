package main

import (
	"github.com/buckthorndock/buckthorndock/internal/bench"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

// Target is a measured value and the bound that it must meet.
type Target struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Bound float64 `json:"bound"`
	IsMin bool    `json:"least"` // the bound is a minimum, not a maximum
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

func maxTarget(name string, value, bound float64) Target {
	return Target{Name: name, Value: value, Bound: bound, Met: value <= bound}
}

func minTarget(name string, value, bound float64) Target {
	return Target{Name: name, Value: value, Bound: bound, IsMin: true, Met: value >= bound}
}

// longBuckets are the prompt lengths whose first tokens must not be delayed to speed up
// those of short prompts.
var longBuckets = []string{"4k-16k", "16k-64k", "64k-256k", "256k-1M"}

// computeTargets returns the targets of all parts that were run, in a fixed order.
func computeTargets(r *Results) []Target {
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
		list = append(list, maxTarget("wake: peak of retries to their mean", r.Wake.Retries.PeakToMean, 1.5))
	}
	if r.Faults != nil && r.FourLeft != nil {
		list = append(list, faultTarget(r.Faults, r.FourLeft))
	}
	if r.Engines != nil {
		list = append(list, maxTarget("runs begun for requests refused as not run", float64(r.Engines.RanAfterRefusal), 0))
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
		maxTarget("slowdown of short", aware.Slowdown.Ratio, 1.3),
		maxTarget("slowdown of short / least-loaded's", aware.Slowdown.Ratio/least.Slowdown.Ratio, 0.25),
	}
	for _, name := range longBuckets {
		a, b := bucketRow(aware.Mix, name), bucketRow(priority.Mix, name)
		if a != nil && b != nil && b.FirstTokenMs.P95 > 0 {
			list = append(list, maxTarget(name+" first token p95 / least-loaded+priority's", a.FirstTokenMs.P95/b.FirstTokenMs.P95, 1.15))
		}
	}
	longest := 0.0
	for i := range aware.Mix.Classes {
		longest = max(longest, aware.Mix.Classes[i].StalledS)
	}
	return append(list, maxTarget("longest time without progress of a class, s", longest, 10))
}

func bucketRow(r *bench.Report, name string) *bench.Row {
	for i := range r.Buckets {
		if r.Buckets[i].Bucket == name {
			return &r.Buckets[i]
		}
	}
	return nil
}

// prefixTarget compares the first-token latency of the policy that accounts for cached
// prefixes with that of one that does not.
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
	return maxTarget("shared prefixes: first token p95 / cache-blind", aware/blind, 1)
}

// overloadTargets compares the number of answers in time at 150% of the capacity with
// that at 100%, and bounds the latency of refusals. Both runs have the same duration.
func overloadTargets(full, over *bench.Report) []Target {
	good := func(r *bench.Report) float64 { return r.All.GoodShare * float64(r.All.Sent) }
	return []Target{
		minTarget("answers in time at 150% load / at 100%", good(over)/good(full), 0.9),
		maxTarget("refusals at 150% load p95, ms", over.Retries.RefusalLatencyMs.P95, 50),
	}
}

// The faults are injected faultSecond seconds after the start; requests sent in the
// recoverySeconds after that are not counted.
const (
	faultSecond     = 4
	recoverySeconds = 2
)

// faultTarget compares the number of answers in time to requests sent after the faults
// with that of the same arrivals when the engines were down from the start.
func faultTarget(faults, fourLeft *bench.Report) Target {
	good := func(r *bench.Report) float64 {
		sum := 0
		for i := faultSecond + recoverySeconds; i < len(r.Timeline); i++ {
			sum += r.Timeline[i].Good
		}
		return float64(sum)
	}
	return minTarget("answers in time 2 s after two engines are lost / with four", good(faults)/good(fourLeft), 0.85)
}
