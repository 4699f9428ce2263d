package placement

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

// expJobs returns random arrivals with the load expLoad and log-uniform lengths: of all
// lengths, or with burst only of small prompts. A third of those below 4k tokens are
// urgent, those above 100k are bulk.
func expJobs(c expCase) []*expJob {
	c.setDefaults()
	rng := newRand(11)
	logUniform := func(lo, hi float64) float64 { return lo * math.Pow(hi/lo, rng.Float64()) }
	mean := (1-expLongShare)*99_000/4.605 + expLongShare*400_000/1.609
	if c.burst {
		mean = 3_000 / 1.386
	}
	gap := mean / (expLoad * float64(c.engines) * expRate)
	var jobs []*expJob
	for at := 0.0; at < expTime.Seconds() && len(jobs) < expMaxRequests; at += rng.ExpFloat64() * gap {
		j := &expJob{at: t0.Add(time.Duration(at * float64(time.Second))), answer: 20 + rng.IntN(200), callerPriority: request.Normal}
		j.tokens = int(logUniform(1_000, 100_000))
		if c.burst {
			j.tokens = int(logUniform(1_000, 4_000))
		} else if rng.Float64() < expLongShare {
			j.tokens = int(logUniform(100_000, 500_000))
			j.callerPriority = request.Bulk
		}
		if j.tokens < 4_000 && rng.IntN(3) == 0 {
			j.callerPriority = request.Urgent
		}
		j.id = ID{Request: fmt.Sprint(len(jobs))}
		jobs = append(jobs, j)
	}
	return jobs
}

var expBuckets = []int{1_000, 4_000, 16_000, 64_000, 256_000, 1_000_000}

// expP95 returns the 95th percentile of the time to first token in seconds.
func expP95(t *testing.T, jobs []*expJob, keep func(j *expJob) bool) float64 {
	t.Helper()
	var firsts []time.Duration
	for _, j := range jobs {
		if !j.done {
			t.Fatalf("request %v got no first token", j.id)
		}
		if keep(j) {
			firsts = append(firsts, j.first)
		}
	}
	if len(firsts) == 0 {
		t.Fatal("empty bucket")
	}
	slices.Sort(firsts)
	return firsts[len(firsts)*95/100].Seconds()
}

func isShort(j *expJob) bool { return j.tokens < expBuckets[1] }

const expLoad = 0.7

// expRun runs a case with the jobs that keep selects, and returns these jobs.
func expRun(t *testing.T, c expCase, keep func(j *expJob) bool) []*expJob {
	t.Helper()
	jobs := slices.DeleteFunc(expJobs(c), func(j *expJob) bool { return !keep(j) })
	newExpSim(c).run(jobs)
	return jobs
}

func isAny(*expJob) bool { return true }

// expRow runs a case and returns the slowdown of short requests.
func expRow(t *testing.T, c expCase) float64 {
	t.Helper()
	jobs := expRun(t, c, isAny)
	alone := expRun(t, c, isShort)
	slowdown := expP95(t, jobs, isShort) / expP95(t, alone, isShort)
	line := fmt.Sprintf("%-24s slowdown %6.2f  urgent %6.2f |", c.name, slowdown,
		expP95(t, jobs, func(j *expJob) bool { return j.callerPriority == request.Urgent }))
	for i := 1; i < len(expBuckets); i++ {
		line += fmt.Sprintf(" %7.2f", expP95(t, jobs, func(j *expJob) bool {
			return j.tokens >= expBuckets[i-1] && j.tokens < expBuckets[i]
		}))
	}
	t.Log(line)
	return slowdown
}

const expHeader = "load 0.7, engines finish a prompt once begun: %v; p95 of first token in s: urgent | 1-4k, 4-16k, 16-64k, 64-256k, 256k-1M"

func TestExperimentPolicies(t *testing.T) {
	for _, keeps := range []bool{false, true} {
		t.Logf(expHeader, keeps)
		got := map[string]float64{}
		for _, policy := range []string{settings.PolicyRandom, settings.PolicyLeastLoaded, settings.PolicyLeastLoadedPriority, settings.PolicyLengthAware} {
			got[policy] = expRow(t, expCase{name: policy, policy: policy, nonPreemptive: keeps})
		}
		if got[settings.PolicyLengthAware] > got[settings.PolicyLeastLoaded]/4 {
			t.Errorf("length-aware slows short requests by %.2f, least-loaded by %.2f", got[settings.PolicyLengthAware], got[settings.PolicyLeastLoaded])
		}
	}
}

func TestExperimentDecisions(t *testing.T) {
	for _, keeps := range []bool{false, true} {
		t.Logf(expHeader, keeps)
		base := expRow(t, expCase{name: "as shipped", nonPreemptive: keeps})
		expRow(t, expCase{name: "sampled from all", opts: Options{SimilarRatio: math.Inf(1)}, nonPreemptive: keeps})
		expRow(t, expCase{name: "even limits", opts: Options{ShortSkew: 1}, nonPreemptive: keeps})
		expRow(t, expCase{name: "nothing promoted", opts: Options{PromotePart: 1e-9}, nonPreemptive: keeps})
		whole := expRow(t, expCase{name: "no boundary", noBoundary: true, nonPreemptive: keeps})
		if whole <= base {
			t.Errorf("as shipped %.2f, no boundary %.2f", base, whole)
		}
	}
}

// TestExperimentSmallSites has only a few engines in a domain.
func TestExperimentSmallSites(t *testing.T) {
	for _, keeps := range []bool{false, true} {
		t.Logf(expHeader, keeps)
		for _, n := range []int{2, 7} {
			got := map[string]float64{}
			for _, policy := range []string{settings.PolicyLeastLoaded, settings.PolicyLeastLoadedPriority, settings.PolicyLengthAware} {
				c := expCase{name: fmt.Sprintf("%d, %s", n, policy), policy: policy, nonPreemptive: keeps, engines: n, fronts: 3}
				got[policy] = expRow(t, c)
			}
			if got[settings.PolicyLengthAware] > got[settings.PolicyLeastLoaded]/2 {
				t.Errorf("%d engines: length-aware %.2f, least-loaded %.2f", n, got[settings.PolicyLengthAware], got[settings.PolicyLeastLoaded])
			}
		}
	}
}

// TestExperimentHerding sends a burst of many small prompts through fronts whose view is up
// to 0.8 s old.
func TestExperimentHerding(t *testing.T) {
	all := Options{Samples: 24}
	cases := []expCase{
		{name: "as shipped", burst: true},
		{name: "no sampling", burst: true, opts: all},
		{name: "no correction", burst: true, noCorrection: true},
		{name: "neither", burst: true, opts: all, noCorrection: true},
		{name: "strict limits", burst: true, opts: Options{LimitSlack: 1}},
		{name: "least-loaded", burst: true, policy: settings.PolicyLeastLoaded},
	}
	p95 := make([]float64, len(cases))
	for i, c := range cases {
		p95[i] = expP95(t, expRun(t, c, isAny), isAny)
		t.Logf("burst of 1-4k, load 0.7: %-16s first token p95 %.2f s", c.name, p95[i])
	}
	if p95[3] <= p95[0] {
		t.Errorf("p95 as shipped %.2f s, with neither %.2f s", p95[0], p95[3])
	}
}
