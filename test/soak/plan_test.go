package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/buckthorndock/buckthorndock/platform/standin"
)

// trouble is one thing that is done to the site, drawn or planned.
type trouble struct {
	at, lasts time.Duration
	kind, how string
	target    int // of the daemons or of the servers
}

func (tr trouble) String() string {
	return fmt.Sprintf("%.1fs+%.1fs %s %s %d", tr.at.Seconds(), tr.lasts.Seconds(), tr.kind, tr.how, tr.target)
}

// Kinds of troubles. A planned one must cut nothing.
const (
	killDaemon    = "kill daemon"
	stopDaemon    = "stop daemon" // planned
	freezeDaemon  = "freeze daemon"
	reloadDaemon  = "reload daemon" // planned
	killServer    = "kill server"
	freezeServer  = "freeze server"
	rollServer    = "roll server" // planned
	newSettings   = "new settings"
	harmStore     = "harm store"
	harmEntry     = "harm entry"       // the link before a daemon
	harmServer    = "harm server link" // the link before a server
	harmToStore   = "harm store link"  // the link from a daemon to the store
	killAll       = "kill all daemons"
	restartServer = "restart server" // under the id that it has
	foreignEntry  = "foreign entry"
	lateEntry     = "late entry"   // of the server that had the address before
	limitServer   = "limit server" // planned
	turnAway      = "turn away"    // by a server; planned
	// Planned work of operators, and of a server that tells of it.
	evacuateDomain = "evacuate domain"
	coolServer     = "cool server"
	// A request comes through all daemons that ends each server which runs it.
	deadlyWork = "deadly work"
	// The store comes back from a copy that is as old as the trouble is long.
	restoreStore = "restore store"
)

// Entries of other writers.
var foreignEntries = []string{"{", "null", `{"service":"shop"}`, `{"service":"shop","address":7}`, "\x00\xff\xfe", `[{"state":"ready"}]`}

// weights of the kinds: planned work and new settings come often, for they must harm
// nobody.
var weights = []struct {
	kind   string
	weight int
}{
	{killDaemon, 3}, {stopDaemon, 4}, {freezeDaemon, 3}, {reloadDaemon, 2}, {killServer, 3}, {freezeServer, 3},
	{rollServer, 4}, {newSettings, 5}, {harmStore, 4}, {harmEntry, 2}, {harmServer, 3}, {harmToStore, 3}, {killAll, 1},
}

var linkHows = []string{linkSlow, linkResets, linkSilent, linkOneWay}

// Times of troubles: one begins each troubleEvery on average, so about two overlap.
const (
	troubleEvery  = 1200 * time.Millisecond
	shortestTrial = 300 * time.Millisecond
	longestTrial  = 4 * time.Second
)

// draw returns the troubles of a seed.
func draw(seed uint64, length time.Duration, daemons, servers int) []trouble {
	rng := rand.New(rand.NewPCG(seed, 1))
	storeHows := make([]string, 0, len(storeFaults))
	for how := range storeFaults {
		storeHows = append(storeHows, how)
	}
	slices.Sort(storeHows)
	sum := 0
	for _, w := range weights {
		sum += w.weight
	}
	var plan []trouble
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() * float64(troubleEvery))
		if at >= length {
			return plan
		}
		tr := trouble{at: at, lasts: shortestTrial + time.Duration(rng.Int64N(int64(longestTrial-shortestTrial)))}
		n := rng.IntN(sum)
		for _, w := range weights {
			if n -= w.weight; n < 0 {
				tr.kind = w.kind
				break
			}
		}
		tr.target = rng.IntN(daemons)
		switch tr.kind {
		case killServer, freezeServer, rollServer:
			tr.target = rng.IntN(servers)
		case harmServer:
			tr.target, tr.how = rng.IntN(servers), linkHows[rng.IntN(len(linkHows))]
		case harmEntry, harmToStore:
			tr.how = linkHows[rng.IntN(len(linkHows))]
		case harmStore:
			tr.how = storeHows[rng.IntN(len(storeHows))]
		}
		plan = append(plan, tr)
	}
}

// Times of restarts and foreign entries. A restart is shorter than the time after which
// the entry of a silent server is removed.
const (
	restartEvery   = 4 * time.Second
	restartLongest = lapse
)

// drawEach returns troubles that begin every so often on average, each as next draws it. Each
// stream of a seed is drawn apart from the others, so that a new kind changes none of these.
func drawEach(seed, stream uint64, every, length time.Duration, next func(rng *rand.Rand) trouble) []trouble {
	rng := rand.New(rand.NewPCG(seed, stream))
	var plan []trouble
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() * float64(every))
		if at >= length {
			return plan
		}
		tr := next(rng)
		tr.at = at
		plan = append(plan, tr)
	}
}

// drawRestarts returns restarts of servers under their ids and foreign entries.
func drawRestarts(seed uint64, length time.Duration, servers int) []trouble {
	return drawEach(seed, 2, restartEvery, length, func(rng *rand.Rand) trouble {
		tr := trouble{kind: restartServer, target: rng.IntN(servers), lasts: time.Duration(rng.Int64N(int64(restartLongest)))}
		if rng.IntN(2) == 0 {
			tr.kind, tr.how = foreignEntry, foreignEntries[rng.IntN(len(foreignEntries))]
		}
		return tr
	})
}

// lateEvery is the mean pause between late entries of dead servers.
const lateEvery = 6 * time.Second

// drawLateEntries returns late entries of dead servers.
func drawLateEntries(seed uint64, length time.Duration, servers int) []trouble {
	return drawEach(seed, 3, lateEvery, length, func(rng *rand.Rand) trouble {
		return trouble{kind: lateEntry, target: rng.IntN(servers), lasts: lapse}
	})
}

// Times and sizes of the limits that servers name.
const (
	limitEvery = 5 * time.Second
	limitLasts = 6 * time.Second // over the time from which it binds and the window in which it counts
)

var limitHows = []string{"0.5", "1.5", "4"} // requests a second

// drawLimits returns limits of servers.
func drawLimits(seed uint64, length time.Duration, servers int) []trouble {
	return drawEach(seed, 4, limitEvery, length, func(rng *rand.Rand) trouble {
		how := limitHows[rng.IntN(len(limitHows))]
		lasts := limitLasts + time.Duration(rng.Int64N(int64(limitLasts)))
		return trouble{kind: limitServer, how: how, target: rng.IntN(servers), lasts: lasts}
	})
}

// turnAwayEvery is the mean pause between servers that turn requests away.
const turnAwayEvery = 6 * time.Second

var turnAwayHows = []string{"0.7", "2", "5"} // seconds

// drawTurnAways returns servers that turn requests away.
func drawTurnAways(seed uint64, length time.Duration, servers int) []trouble {
	return drawEach(seed, 5, turnAwayEvery, length, func(rng *rand.Rand) trouble {
		how := turnAwayHows[rng.IntN(len(turnAwayHows))]
		lasts := shortestTrial + time.Duration(rng.Int64N(int64(longestTrial)))
		return trouble{kind: turnAway, how: how, target: rng.IntN(servers), lasts: lasts}
	})
}

// targets says what a trouble is about, as the history's spans name it.
func (r *rig) targets(tr trouble) []string {
	switch tr.kind {
	case killServer, freezeServer, rollServer, harmServer, restartServer, foreignEntry, lateEntry, limitServer, turnAway, coolServer:
		return []string{r.servers[tr.target].name}
	case harmStore, restoreStore:
		return []string{"store"}
	case newSettings:
		return []string{"settings"}
	case evacuateDomain:
		return []string{tr.how}
	case deadlyWork:
		return []string{"deadly"}
	case killAll:
		var all []string
		for _, d := range r.daemons {
			all = append(all, d.name)
		}
		return all
	}
	return []string{r.daemons[tr.target].name}
}

// play does one trouble and returns when it is over.
func (r *rig) play(tr trouble) {
	var spans []*span
	for _, target := range r.targets(tr) {
		spans = append(spans, r.history.trouble(target, tr.kind))
	}
	defer func() {
		for _, s := range spans {
			r.history.over(s)
		}
	}()
	switch tr.kind {
	case killDaemon, stopDaemon, freezeDaemon, reloadDaemon:
		r.harmDaemon(r.daemons[tr.target], tr)
	case killAll:
		for _, d := range r.daemons {
			d.proc.kill()
		}
		time.Sleep(tr.lasts)
		for _, d := range r.daemons {
			r.startDaemon(d)
		}
	case killServer, freezeServer, rollServer, restartServer:
		r.harmServer(r.servers[tr.target], tr)
	case foreignEntry:
		r.foreign(r.servers[tr.target], tr.how)
	case lateEntry:
		r.late(r.servers[tr.target], tr.lasts)
	case limitServer:
		r.word(r.servers[tr.target], "limit", tr)
	case turnAway:
		r.word(r.servers[tr.target], "turn away", tr)
	case newSettings:
		r.publish()
	case evacuateDomain:
		r.evacuate(tr)
	case coolServer:
		r.cool(r.servers[tr.target], tr.lasts)
	case restoreStore:
		r.restore(tr.lasts)
	case deadlyWork:
		r.sendDeadly(tr)
	case harmStore:
		r.storeFault(tr.how)
		time.Sleep(tr.lasts)
		r.storeFault("")
	case harmEntry:
		r.harmLink("front-"+r.daemons[tr.target].name, tr)
	case harmToStore:
		r.harmLink("store-"+r.daemons[tr.target].name, tr)
	case harmServer:
		r.harmLink(r.servers[tr.target].name, tr)
	}
}

// foreign puts another writer's entry in the place of a server's, until its next
// heartbeat, and under a key of its own.
func (r *rig) foreign(s *server, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, key := range []string{s.id(), "not-" + s.id()} {
		r.tell(r.store, command{Op: "put", Stream: standin.Servers, Key: key, Value: text})
	}
}

// late kills a server, starts its successor, and lets the entry of the dead one come after
// that of the successor, for as long as it takes to lapse. Neither tells its start.
func (r *rig) late(s *server, lasts time.Duration) {
	s.proc.kill()
	r.mu.Lock()
	dead := standin.Entry{Service: s.service, Address: s.address, Seq: s.seq + 1}
	id := s.id()
	r.mu.Unlock()
	r.startServer(s)
	r.mu.Lock()
	s.born = 0
	r.enter(s)
	r.tell(r.store, command{Op: "put", Stream: standin.Servers, Key: id, Value: dead.Text()})
	r.mu.Unlock()
	time.Sleep(lasts)
	r.mu.Lock()
	r.tell(r.store, command{Op: "put", Stream: standin.Servers, Key: id})
	r.mu.Unlock()
}

// word has a server's answers say a number for a time. One that is started anew says none.
func (r *rig) word(s *server, op string, tr trouble) {
	number, err := strconv.ParseFloat(tr.how, 64)
	if err != nil {
		panic(err)
	}
	r.tell(s.proc, command{Op: op, Number: number})
	time.Sleep(tr.lasts)
	r.tell(s.proc, command{Op: op})
}

func (r *rig) harmLink(name string, tr trouble) {
	r.tell(r.links, command{Op: "fault", Name: name, How: tr.how})
	time.Sleep(tr.lasts)
	r.tell(r.links, command{Op: "fault", Name: name})
}

func (r *rig) storeFault(how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeHow = how
	r.tell(r.store, command{Op: "fault", How: how})
}

func (r *rig) harmDaemon(d *daemon, tr trouble) {
	switch tr.kind {
	case killDaemon:
		d.proc.kill()
		time.Sleep(tr.lasts)
		r.startDaemon(d)
	case stopDaemon:
		r.stop(d)
		time.Sleep(tr.lasts)
		r.startDaemon(d)
	case freezeDaemon:
		d.proc.freeze(tr.lasts)
	case reloadDaemon:
		// In its first milliseconds no code of the daemon runs yet that could take it.
		r.eventually(recoveryWait, func() bool { return dials(d.front) })
		d.proc.signal(syscall.SIGHUP)
		time.Sleep(tr.lasts)
	}
}

// stop ends a daemon as planned, and notes one that does not end in its grace. One that
// does not listen yet has nothing to finish, and may end by the signal.
func (r *rig) stop(d *daemon) {
	listened := dials(d.front)
	d.proc.signal(r.stopSignal)
	select {
	case <-d.proc.ended:
		if d.proc.result != nil && listened {
			r.history.find("a leaving daemon ends well", "%s: %v", d.name, d.proc.result)
		}
	case <-time.After(grace + slack):
		r.history.find("a leaving daemon ends well", "%s still runs %s after its grace", d.name, slack)
		d.proc.signal(syscall.SIGCONT)
		d.proc.kill()
	}
}

// Times of a server's planned end: it serves on after it has said that it leaves.
const servesOn = 5 * time.Second

func (r *rig) harmServer(s *server, tr trouble) {
	switch tr.kind {
	case killServer:
		s.proc.kill()
		time.Sleep(tr.lasts)
		r.startServer(s)
	case restartServer:
		s.proc.kill()
		time.Sleep(tr.lasts)
		r.history.returns(s.id())
		r.startLife(s)
	case freezeServer:
		s.proc.freeze(tr.lasts)
	case rollServer:
		r.mu.Lock()
		s.leaving = true
		r.tell(s.proc, command{Op: "leave"})
		if r.storeHow == "" {
			r.enter(s)
			r.history.leaves(s.id())
		}
		r.mu.Unlock()
		time.Sleep(servesOn)
		s.proc.kill()
		r.startServer(s)
	}
}
