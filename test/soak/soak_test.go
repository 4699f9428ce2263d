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

	"github.com/buckthorndock/buckthorndock/platform/standin"
)

// play is one soak: a site, its troubles, and what its callers do.
type play struct {
	seed             uint64
	plan             []trouble
	length           time.Duration
	daemons, servers int
	domains          int    // failure domains of the servers; zero: one; everyServer: each is alone in its own
	logPrefix        string // of the names of the daemons' logs, where several plays keep theirs together
	apart            bool   // the daemons do not know each other
	direct           bool   // servers are reached without a link, so that an ended one refuses connections
	mutant           string
	recovery         time.Duration // from the last trouble's end until all serve again
}

// everyServer is a number of failure domains.
const everyServer = -1

const (
	callersPerDaemon = 4
	recoveryWait     = 45 * time.Second
)

// run plays it and returns the promises that were broken.
func (p play) run(t *testing.T) []finding {
	r := newRig(t, p)
	if !r.eventually(recoveryWait, r.allListen) {
		t.Fatal("the daemons do not come up")
	}
	if p.mutant == "" && !r.eventually(recoveryWait, func() bool { return r.allServe(p.seed) }) {
		t.Fatal("the site does not serve before any trouble")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers, troubles sync.WaitGroup
	for _, d := range r.daemons {
		for n := range callersPerDaemon {
			callers.Add(1)
			go r.newCaller(d, n, p.seed).run(ctx, &callers)
		}
	}
	end := time.Now().Add(p.length)
	r.playAll(p.plan, &troubles)
	time.Sleep(time.Until(end))
	troubles.Wait()
	if !r.eventually(p.recovery, func() bool { return r.allServe(p.seed) }) {
		r.history.find("all serve again after the troubles", "not within %s: %s", p.recovery, r.lastOutcomes())
	}
	r.checkWork(p.recovery)
	cancel()
	callers.Wait()
	r.checkQuiet(p.recovery)
	for _, d := range r.daemons {
		r.stop(d)
	}
	t.Logf("seed %d, %d troubles: %s", p.seed, len(p.plan), r.history.summary())
	return r.history.check()
}

// playAll begins each trouble at its time. Those of one target wait for each other.
func (r *rig) playAll(plan []trouble, all *sync.WaitGroup) {
	started, busy := time.Now(), map[string]*sync.Mutex{}
	lock := func(name string) *sync.Mutex {
		if busy[name] == nil {
			busy[name] = &sync.Mutex{}
		}
		return busy[name]
	}
	for _, tr := range plan {
		time.Sleep(time.Until(started.Add(tr.at)))
		var held []*sync.Mutex
		for _, target := range r.targets(tr) {
			held = append(held, lock(target)) // always in one order
		}
		all.Add(1)
		go func() {
			defer all.Done()
			for _, m := range held {
				m.Lock()
				defer m.Unlock()
			}
			r.play(tr)
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
		if !dials(d.front) {
			return false
		}
	}
	return true
}

// allServe tells if each daemon serves each kind of request several times in a row with
// the newest key, and none with a key that is gone.
func (r *rig) allServe(seed uint64) bool {
	const inARow = 3
	version := r.history.newest()
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

// checkWork: while callers call, each plain server that lives and is registered gets work.
// Engines are left out, for short prompts gather on few of them.
func (r *rig) checkWork(within time.Duration) {
	since := time.Now()
	idle := func() []string { return r.history.idle(r.plainServers(), since) }
	if !r.eventually(within, func() bool { return len(idle()) == 0 }) {
		r.history.find("a server that lives gets work", "none for %v within %s", idle(), within)
	}
}

// checkQuiet: with no caller left, the daemons have nothing in progress and the engines
// hold no memory for them.
func (r *rig) checkQuiet(within time.Duration) {
	for _, d := range r.daemons {
		idle := func() bool {
			return strings.Contains(get(d.metrics, "/metrics"), "\nbuckthorndock_requests_in_flight 0\n")
		}
		if !r.eventually(within, idle) {
			r.history.find("nothing is left in progress", "%s", d.name)
		}
	}
	for _, s := range r.servers {
		free := func() bool {
			n, err := standin.CountLeases(s.direct)
			return err == nil && n == 0
		}
		if !r.eventually(within, free) {
			r.history.find("engines get their memory back", "%s", s.name)
		}
	}
}

func tellFindings(t *testing.T, p play, found []finding) {
	for _, f := range found {
		t.Errorf("seed %d: %s", p.seed, f)
	}
	if len(found) > 0 {
		for _, tr := range p.plan {
			t.Log(tr)
		}
	}
}

func seeded(seed uint64, length time.Duration, daemons, servers int) play {
	return play{
		seed: seed, plan: draw(seed, length, daemons, 2*servers), length: length,
		daemons: daemons, servers: servers, recovery: recoveryWait,
	}
}

// TestSoak plays the seeds that the flags name: without any, a short run of a fixed one.
func TestSoak(t *testing.T) {
	t.Parallel()
	first := *flagSeed
	if first == 0 {
		first = rand.Uint64N(1_000_000_000)
	}
	for i := range *flagSeeds {
		p := seeded(first+uint64(i), time.Duration(*flagMinutes*float64(time.Minute)), *flagDaemons, *flagServers)
		p.plan = append(p.plan, drawRestarts(p.seed, p.length, 2*p.servers)...)
		p.plan = append(p.plan, drawLateEntries(p.seed, p.length, 2*p.servers)...)
		p.plan = append(p.plan, drawLimits(p.seed, p.length, 2*p.servers)...)
		p.plan = append(p.plan, drawTurnAways(p.seed, p.length, 2*p.servers)...)
		p.plan = append(p.plan, drawEvacuations(p.seed, p.length)...)
		p.plan = append(p.plan, drawRestores(p.seed, p.length)...)
		p.plan = append(p.plan, drawDeadly(p.seed, p.length)...)
		p.plan = append(p.plan, drawColds(p.seed, p.length, 2*p.servers)...)
		p.domains = mostDomains
		slices.SortFunc(p.plan, func(a, b trouble) int { return cmp.Compare(a.at, b.at) })
		t.Run(fmt.Sprint(p.seed), func(t *testing.T) { tellFindings(t, p, p.run(t)) })
	}
}

// TestSeedsThatFailed plays the seeds that once broke a promise, as they were.
func TestSeedsThatFailed(t *testing.T) {
	for seed, cause := range map[uint64]string{
		1101: "SIGHUP before its handler was there killed a daemon that had just started",
		1100: "SIGTERM before its handler was there ended a daemon that had just started, not by its own end",
	} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			t.Log(cause)
			p := seeded(seed, 24*time.Second, 3, 4)
			tellFindings(t, p, p.run(t))
		})
	}
}

// TestEachCheckCanFail plays, for each promise, a mutant that breaks it.
func TestEachCheckCanFail(t *testing.T) {
	forSettings := []trouble{{at: 300 * time.Millisecond, kind: newSettings}, {at: 600 * time.Millisecond, kind: newSettings}, {at: 900 * time.Millisecond, kind: newSettings}}
	forLimits := []trouble{{at: 200 * time.Millisecond, kind: limitServer, how: "1.5", lasts: 6 * time.Second}}
	forTurnAways := []trouble{{at: 200 * time.Millisecond, kind: turnAway, how: "3", lasts: 4 * time.Second}}
	forEvacuations := []trouble{{at: 200 * time.Millisecond, kind: evacuateDomain, how: domainName(0), lasts: 4 * time.Second}}
	forColds := []trouble{{at: 200 * time.Millisecond, kind: coolServer, lasts: 4 * time.Second}}
	forDeadly := []trouble{{at: 200 * time.Millisecond, kind: deadlyWork, how: kindAgain, lasts: 12 * time.Second}}
	forLeaving := []trouble{{at: 200 * time.Millisecond, kind: rollServer}}
	for _, c := range []struct {
		mutant, check string
		plan          []trouble
	}{
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
		{"leaving", "a cold server gets what it bears", forColds},
		{"leaving", "what ends servers is kept from them", forDeadly},
		{"dead", "all serve again after the troubles", nil},
		{"dead", "a server that lives gets work", nil},
		{"leaky", "engines get their memory back", nil},
	} {
		t.Run(c.mutant+"/"+c.check, func(t *testing.T) {
			t.Parallel()
			length := 2 * time.Second
			if c.mutant == "stale" {
				length += inForceKnown
			}
			p := play{seed: 1, plan: c.plan, length: length, daemons: 1, servers: 2, mutant: c.mutant, recovery: 2 * time.Second}
			for _, f := range p.run(t) {
				if f.check == c.check {
					return
				}
			}
			t.Errorf("no finding of %q", c.check)
		})
	}
}
