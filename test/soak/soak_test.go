package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/netfault"
	"github.com/buckthorndock/buckthorndock/platform/standin"
)

// scenario describes one soak: a site and its disruptions.
type scenario struct {
	seed             uint64
	plan             []disruption
	length           time.Duration
	daemons, servers int
	domains          int    // failure domains of the servers; 0: one; domainPerServer: one for each server
	logPrefix        string // of the file names of the daemons' logs, where several scenarios share a directory
	isolated         bool   // the daemons do not know each other
	sameAddress      bool   // a server that starts again listens where its former incarnation did
	direct           bool   // servers are reached without a link, so that one that has exited refuses connections
	partitions       bool   // daemons can be partitioned from the servers
	powerLoss        bool   // daemons can lose power
	daemonDomains    int    // failure domains of the daemons; 0: numDomains
	memoryMB         int    // limit of each daemon; 0: memoryMB
	mutant           string
	settingsWithin   time.Duration // max time until settings are in force; 0: settingsDelay
	grace            time.Duration // of each daemon; 0: grace
	maxAttempts      int           // of each request; 0: maxAttempts
	retrySlack       int           // in the daemons' files; 0: retrySlack
	queueCallers     int           // callers of each daemon in addition, whose streams take long to begin
	within           time.Duration // bounds of settings and leaving servers in the daemons' files; 0: defaultWithin
	fewServers       int           // of fewService, for which competitors compete; 0: there are none
	fewWork          time.Duration // of each request to fewService
	recovery         time.Duration // max time from the end of the last disruption until all serve again
}

// domainPerServer is a value of scenario.domains.
const domainPerServer = -1

const (
	callersPerDaemon = 4
	recoveryWait     = 45 * time.Second
)

// run runs the scenario and returns the promises that were broken.
func (p scenario) run(t *testing.T) []finding {
	r := newRig(t, p)
	if !r.eventually(recoveryWait, r.allListen) {
		t.Fatal("the daemons do not listen")
	}
	if p.mutant == "" && !r.eventually(recoveryWait, func() bool { return r.allServe(p.seed) }) {
		t.Fatal("the site does not serve before any disruption")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	queueing, endQueues := context.WithCancel(ctx)
	defer endQueues()
	var callers, queues, disruptions sync.WaitGroup
	for _, d := range r.daemons {
		for n := range callersPerDaemon {
			callers.Add(1)
			go r.newCaller(d, n, p.seed).run(ctx, &callers)
		}
		for n := range p.queueCallers {
			queues.Go(func() { r.newCaller(d, callersPerDaemon+n, p.seed).queue(queueing) })
		}
	}
	if p.fewServers > 0 {
		r.startCompetitors(ctx, &callers, p.seed, p.fewWork)
	}
	end := time.Now().Add(p.length)
	r.runDisruptions(p.plan, &disruptions)
	time.Sleep(time.Until(end))
	disruptions.Wait()
	endQueues()
	queues.Wait()
	if !r.eventually(p.recovery, func() bool { return r.allServe(p.seed) }) {
		r.history.addFinding("all serve again after the troubles", "not within %s: %s", p.recovery, r.lastOutcomes())
	}
	r.checkWork(p.recovery)
	if p.fewServers > 0 {
		time.Sleep(calmTime)
	}
	cancel()
	callers.Wait()
	r.checkNothingWaits()
	r.checkQuiet(p.recovery)
	for _, d := range r.daemons {
		r.shutDown(d)
	}
	t.Logf("seed %d, %d disruptions: %s", p.seed, len(p.plan), r.history.summary())
	if p.fewServers > 0 {
		t.Log(r.history.scarcitySummary())
	}
	return r.history.checkAll()
}

// runDisruptions starts each disruption at its time. Those of one target run one after the other.
func (r *rig) runDisruptions(plan []disruption, all *sync.WaitGroup) {
	started, busy := time.Now(), map[string]*sync.Mutex{}
	lock := func(name string) *sync.Mutex {
		if busy[name] == nil {
			busy[name] = &sync.Mutex{}
		}
		return busy[name]
	}
	for _, dis := range plan {
		time.Sleep(time.Until(started.Add(dis.at)))
		var held []*sync.Mutex
		for _, target := range r.targets(dis) {
			held = append(held, lock(target)) // always in the same order, so that none deadlock
		}
		all.Add(1)
		go func() {
			defer all.Done()
			for _, m := range held {
				m.Lock()
				defer m.Unlock()
			}
			r.runDisruption(dis)
		}()
	}
}

func (r *rig) eventually(within time.Duration, ok func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return ok()
}

func (r *rig) allListen() bool {
	for _, d := range r.daemons {
		if !canConnect(d.front) {
			return false
		}
	}
	return true
}

// allServe reports whether each daemon serves each kind of request several times in a row
// with the newest key, and refuses a key that was removed.
func (r *rig) allServe(seed uint64) bool {
	const inARow = 3
	version := r.history.newestVersion()
	for i, d := range r.daemons {
		c := r.newCaller(d, i, seed)
		c.name = fmt.Sprintf("probe-%s-%x", d.name, rand.Uint64()) // ids are used once
		for range inARow {
			for kind, query := range map[string]string{kindOnce: "", kindAgain: "", kindStream: "stream=1"} {
				if o := c.send(kind, query, version); o.status != http.StatusOK || o.failed != nil || !o.own {
					return false
				}
			}
		}
		if o := c.send(kindOnce, "", version-2); o.status != http.StatusUnauthorized {
			return false
		}
	}
	return true
}

func (r *rig) lastOutcomes() string {
	h := r.history
	h.mu.Lock()
	defer h.mu.Unlock()
	var text strings.Builder
	for _, o := range h.outcomes[max(0, len(h.outcomes)-6):] {
		fmt.Fprintf(&text, "[%s %s %d %v] ", o.id, o.kind, o.status, o.failed)
	}
	return text.String()
}

// checkWork checks that, while callers send requests, each plain server that is live and
// registered gets work. Engines are not checked, as short prompts concentrate on few of them.
func (r *rig) checkWork(within time.Duration) {
	since := time.Now()
	idle := func() []string { return r.history.idle(r.plainServers(), since) }
	if !r.eventually(within, func() bool { return len(idle()) == 0 }) {
		r.history.addFinding("a server that lives gets work", "none for %v within %s", idle(), within)
	}
}

// checkQuiet checks that, without callers, the daemons have nothing in progress and the
// engines hold no memory for them.
func (r *rig) checkQuiet(within time.Duration) {
	for _, d := range r.daemons {
		idle := func() bool {
			return strings.Contains(getPage(d.metrics, "/metrics"), "\nbuckthorndock_requests_in_flight 0\n")
		}
		if !r.eventually(within, idle) {
			r.history.addFinding("nothing is left in progress", "%s", d.name)
		}
	}
	for _, s := range r.servers {
		free := func() bool {
			n, err := standin.CountLeases(s.direct)
			return err == nil && n == 0
		}
		if !r.eventually(within, free) {
			r.history.addFinding("engines get their memory back", "%s", s.name)
		}
	}
}

func reportFindings(t *testing.T, p scenario, found []finding) {
	for _, f := range found {
		t.Errorf("seed %d: %s", p.seed, f)
	}
	if len(found) > 0 {
		for _, dis := range p.plan {
			t.Log(dis)
		}
	}
}

func newScenario(seed uint64, length time.Duration, daemons, servers int) scenario {
	return scenario{
		seed: seed, plan: drawDisruptions(seed, length, daemons, 2*servers), length: length,
		daemons: daemons, servers: servers, recovery: recoveryWait,
	}
}

func (p *scenario) sortPlan() {
	slices.SortFunc(p.plan, func(a, b disruption) int { return cmp.Compare(a.at, b.at) })
}

// TestSoak runs the seeds that the flags select: by default a short run of a fixed seed.
func TestSoak(t *testing.T) {
	t.Parallel()
	first := *flagSeed
	if first == 0 {
		first = rand.Uint64N(1_000_000_000)
	}
	for i := range *flagSeeds {
		p := newScenario(first+uint64(i), time.Duration(*flagMinutes*float64(time.Minute)), *flagDaemons, *flagServers)
		p.plan = append(p.plan, drawRestarts(p.seed, p.length, 2*p.servers)...)
		p.plan = append(p.plan, drawLateEntries(p.seed, p.length, 2*p.servers)...)
		p.plan = append(p.plan, drawLimits(p.seed, p.length, 2*p.servers)...)
		p.plan = append(p.plan, drawTurnAways(p.seed, p.length, 2*p.servers)...)
		p.plan = append(p.plan, drawEvacuations(p.seed, p.length)...)
		p.plan = append(p.plan, drawRestores(p.seed, p.length)...)
		p.plan = append(p.plan, drawCrashingRequests(p.seed, p.length)...)
		p.plan = append(p.plan, drawColds(p.seed, p.length, 2*p.servers)...)
		p.plan = append(p.plan, drawEndless(p.seed, p.length, 2*p.servers)...)
		p.plan = append(p.plan, drawPauses(p.seed, p.length, 2*p.servers)...)
		p.plan = append(p.plan, drawStandstills(p.seed, p.length, p.daemons)...)
		p.fewServers, p.fewWork = usualFewServers, scarceWork
		p.plan = append(p.plan, drawScarcity(p.seed, p.length, 2*p.servers, p.fewServers)...)
		p.domains = numDomains
		p.sortPlan()
		t.Run(fmt.Sprint(p.seed), func(t *testing.T) { reportFindings(t, p, p.run(t)) })
	}
}

// TestSeedsThatFailed runs the seeds that once broke a promise, with the parameters of that run.
func TestSeedsThatFailed(t *testing.T) {
	for seed, cause := range map[uint64]string{
		1101: "SIGHUP before its handler was installed killed a daemon that had just started",
		1100: "SIGTERM before its handler was installed killed a daemon that had just started, in place of a clean exit",
	} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			t.Log(cause)
			p := newScenario(seed, 24*time.Second, 3, 4)
			reportFindings(t, p, p.run(t))
		})
	}
}

// TestEachCheckCanFail runs, for each promise, a mutant that breaks it, and expects the finding.
func TestEachCheckCanFail(t *testing.T) {
	forSettings := []disruption{{at: 300 * time.Millisecond, kind: newSettings}, {at: 600 * time.Millisecond, kind: newSettings}, {at: 900 * time.Millisecond, kind: newSettings}}
	forLimits := []disruption{{at: 200 * time.Millisecond, kind: limitServer, param: "1.5", duration: 6 * time.Second}}
	forTurnAways := []disruption{{at: 200 * time.Millisecond, kind: turnAway, param: "3", duration: 4 * time.Second}}
	forEvacuations := []disruption{{at: 200 * time.Millisecond, kind: evacuateDomain, param: domainName(0), duration: 4 * time.Second}}
	forColds := []disruption{{at: 200 * time.Millisecond, kind: coldServer, duration: 4 * time.Second}}
	forDeadly := []disruption{{at: 200 * time.Millisecond, kind: crashingRequest, param: kindAgain, duration: 12 * time.Second}}
	forLeaving := []disruption{{at: 200 * time.Millisecond, kind: rollServer}}
	forPartitions := []disruption{{at: 200 * time.Millisecond, kind: partitionDaemons, param: string(netfault.Refuse), count: 1, duration: 6 * time.Second}}
	for _, c := range []struct {
		mutant, check string
		plan          []disruption
	}{
		{"twice", "a call that a full server turned away runs once", nil},
		{"boaster", "a call that a full server turned away ends as not run", nil},
		{"restless", "no lease and no waiting request is left", nil},
		{"unfair", "no customer starves", nil},
		{"unfair", "no rank starves", nil},
		{"twice", "at most once", nil},
		{"eager", "no more attempts than allowed", nil},
		{"eager", "repeats stay in the budget", nil},
		{"liar", "what was refused has not run", nil},
		{"swapped", "the own, whole answer", nil},
		{"mute", "a refusal says when to come back", nil},
		{"cutter", "planned work cuts nothing", nil},
		{"late", "an answer in time", nil},
		{"hoarder", "work ends when the caller leaves", nil},
		{"hoarder", "nothing is left in progress", nil},
		{crasher, "a leaving daemon ends well", nil},
		{"backward", "settings go forward", forSettings},
		{"stale", "settings are in force in time", forSettings},
		{"leaving", "nothing new for a server that leaves", forLeaving},
		{"leaving", "nothing new for a server that has said that it leaves", forLeaving},
		{"leaving", "a server that turns away is left alone", forTurnAways},
		{"leaving", "a server's limit is kept", forLimits},
		{"leaving", "nothing new for an evacuated failure domain", forEvacuations},
		{"leaving", "a cold server gets no more than its rate", forColds},
		{"leaving", "a request that crashes servers is kept from others", forDeadly},
		{"dead", "partitioned daemons serve through others", forPartitions},
		{"dead", "all serve again after the troubles", nil},
		{"dead", "a server that lives gets work", nil},
		{"leaky", "engines get their memory back", nil},
		{greedy, "memory stays within its limit", nil},
	} {
		t.Run(c.mutant+"/"+c.check, func(t *testing.T) {
			t.Parallel()
			length := 2 * time.Second
			if c.mutant == "stale" {
				length += settingsDelay
			}
			p := scenario{seed: 1, plan: c.plan, length: length, daemons: 1, servers: 2, mutant: c.mutant, recovery: 2 * time.Second}
			if len(c.plan) > 0 && c.plan[0].kind == partitionDaemons {
				p.daemons, p.partitions = 2, true // the check compares the daemons
			}
			if c.mutant == greedy {
				p.mutant, p.memoryMB = "", greedyMemoryMB
			}
			if slices.Contains(scarcityMutants, c.mutant) {
				p.fewServers, p.fewWork = 1, scarceWork
			}
			for _, f := range p.run(t) {
				if f.check == c.check {
					t.Log(f)
					return
				}
			}
			t.Errorf("no finding of %q", c.check)
		})
	}
}
