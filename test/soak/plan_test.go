package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"syscall"
	"time"
)

// disruption is a fault or an operation that a scenario applies to the site.
type disruption struct {
	at, duration time.Duration
	kind, param  string
	target       int // index in the daemons or the servers
	count        int // of the daemons that are partitioned, from target on
}

func (dis disruption) String() string {
	return fmt.Sprintf("%.1fs+%.1fs %s %s %d", dis.at.Seconds(), dis.duration.Seconds(), dis.kind, dis.param, dis.target)
}

// Kinds of disruptions. A planned one must not cut any request.
const (
	killDaemon        = "kill daemon"
	stopDaemon        = "stop daemon" // planned
	freezeDaemon      = "freeze daemon"
	reloadDaemon      = "reload daemon" // planned
	killServer        = "kill server"
	freezeServer      = "freeze server"
	rollServer        = "roll server" // planned
	newSettings       = "new settings"
	disruptStore      = "disrupt store"
	disruptFrontLink  = "disrupt front link"  // the link in front of a daemon
	disruptServerLink = "disrupt server link" // the link in front of a server
	disruptStoreLink  = "disrupt store link"  // the link from a daemon to the store
	killAll           = "kill all daemons"
	restartServer     = "restart server" // under the same id
	foreignEntry      = "foreign entry"
	lateEntry         = "late entry"   // of the server that had the address before
	limitServer       = "limit server" // planned
	turnAway          = "turn away"    // by a server; planned
	// A sound server does nothing for about a second, and goes on. It counts as planned.
	pauseServer = "pause server"
	// A server takes several times as long for what it begins. It counts as planned.
	slowServer = "slow server"
	// A server sends some answers without end.
	endlessServer = "endless server"
	// Planned: an operation of operators, and a state that a server announces.
	evacuateDomain = "evacuate domain"
	coldServer     = "cold server"
	// A request that crashes each server that runs it is sent through all daemons.
	crashingRequest = "crashing request"
	// The store is restored from a copy; the duration is the age of the copy.
	restoreStore = "restore store"
	// The connections of some daemons to servers fail.
	partitionDaemons = "partition daemons"
)

// foreignEntries are invalid entries, as other writers may write them.
var foreignEntries = []string{"{", "null", `{"service":"shop"}`, `{"service":"shop","address":7}`, "\x00\xff\xfe", `[{"state":"ready"}]`}

// weights are the relative frequencies of the kinds: planned ones and new settings are
// frequent, as they must not affect any request.
var weights = []struct {
	kind   string
	weight int
}{
	{killDaemon, 3}, {stopDaemon, 4}, {freezeDaemon, 3}, {reloadDaemon, 2}, {killServer, 3}, {freezeServer, 3},
	{rollServer, 4}, {newSettings, 5}, {disruptStore, 4}, {disruptFrontLink, 2}, {disruptServerLink, 3}, {disruptStoreLink, 3}, {killAll, 1},
}

var linkFaults = []string{linkSlow, linkResets, linkSilent, linkOneWay}

// Times of disruptions: one starts every disruptionInterval on average, so about two overlap.
const (
	disruptionInterval = 1200 * time.Millisecond
	minDuration        = 300 * time.Millisecond
	maxDuration        = 4 * time.Second
)

// drawDisruptions returns the disruptions of a seed.
func drawDisruptions(seed uint64, length time.Duration, daemons, servers int) []disruption {
	rng := rand.New(rand.NewPCG(seed, 1))
	storeFaultNames := make([]string, 0, len(storeFaults))
	for name := range storeFaults {
		storeFaultNames = append(storeFaultNames, name)
	}
	slices.Sort(storeFaultNames)
	sum := 0
	for _, w := range weights {
		sum += w.weight
	}
	var plan []disruption
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() * float64(disruptionInterval))
		if at >= length {
			return plan
		}
		dis := disruption{at: at, duration: minDuration + time.Duration(rng.Int64N(int64(maxDuration-minDuration)))}
		n := rng.IntN(sum)
		for _, w := range weights {
			if n -= w.weight; n < 0 {
				dis.kind = w.kind
				break
			}
		}
		dis.target = rng.IntN(daemons)
		switch dis.kind {
		case killServer, freezeServer, rollServer:
			dis.target = rng.IntN(servers)
		case disruptServerLink:
			dis.target, dis.param = rng.IntN(servers), linkFaults[rng.IntN(len(linkFaults))]
		case disruptFrontLink, disruptStoreLink:
			dis.param = linkFaults[rng.IntN(len(linkFaults))]
		case disruptStore:
			dis.param = storeFaultNames[rng.IntN(len(storeFaultNames))]
		}
		plan = append(plan, dis)
	}
}

// Times of restarts and foreign entries. A restart is shorter than the time after which
// the entry of a silent server is removed.
const (
	restartInterval = 4 * time.Second
	maxRestart      = entryTTL
)

// drawEach returns disruptions that start at the mean interval every, each drawn by next. Each
// stream of a seed has a random source of its own, so that a new kind does not change the others.
func drawEach(seed, stream uint64, every, length time.Duration, next func(rng *rand.Rand) disruption) []disruption {
	rng := rand.New(rand.NewPCG(seed, stream))
	var plan []disruption
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() * float64(every))
		if at >= length {
			return plan
		}
		dis := next(rng)
		dis.at = at
		plan = append(plan, dis)
	}
}

// drawRestarts returns restarts of servers under the same id, and foreign entries.
func drawRestarts(seed uint64, length time.Duration, servers int) []disruption {
	return drawEach(seed, 2, restartInterval, length, func(rng *rand.Rand) disruption {
		dis := disruption{kind: restartServer, target: rng.IntN(servers), duration: time.Duration(rng.Int64N(int64(maxRestart)))}
		if rng.IntN(2) == 0 {
			dis.kind, dis.param = foreignEntry, foreignEntries[rng.IntN(len(foreignEntries))]
		}
		return dis
	})
}

// lateEntryInterval is the mean interval of late entries of dead servers.
const lateEntryInterval = 6 * time.Second

// drawLateEntries returns late entries of dead servers.
func drawLateEntries(seed uint64, length time.Duration, servers int) []disruption {
	return drawEach(seed, 3, lateEntryInterval, length, func(rng *rand.Rand) disruption {
		return disruption{kind: lateEntry, target: rng.IntN(servers), duration: entryTTL}
	})
}

// Times and rates of the limits that servers announce.
const (
	limitInterval    = 5 * time.Second
	minLimitDuration = 6 * time.Second // more than limitDelay and limitWindow
)

var limitRates = []string{"0.5", "1.5", "4"} // requests a second

// drawLimits returns rate limits that servers announce.
func drawLimits(seed uint64, length time.Duration, servers int) []disruption {
	return drawEach(seed, 4, limitInterval, length, func(rng *rand.Rand) disruption {
		rate := limitRates[rng.IntN(len(limitRates))]
		lasts := minLimitDuration + time.Duration(rng.Int64N(int64(minLimitDuration)))
		return disruption{kind: limitServer, param: rate, target: rng.IntN(servers), duration: lasts}
	})
}

// targets returns the names of what a disruption affects, as in the spans of the history.
func (r *rig) targets(dis disruption) []string {
	switch dis.kind {
	case killServer, freezeServer, rollServer, disruptServerLink, restartServer, foreignEntry, lateEntry, limitServer, turnAway, coldServer, pauseServer, slowServer, endlessServer:
		return []string{r.servers[dis.target].name}
	case disruptStore, restoreStore:
		return []string{"store"}
	case newSettings:
		return []string{"settings"}
	case evacuateDomain:
		return []string{dis.param}
	case crashingRequest:
		return []string{"crashing request"}
	case partitionDaemons:
		return daemonNames(r.partitioned(dis))
	case killAll:
		return daemonNames(r.daemons)
	}
	return []string{r.daemons[dis.target].name}
}

// runDisruption applies one disruption and returns when it is over.
func (r *rig) runDisruption(dis disruption) {
	var spans []*span
	for _, target := range r.targets(dis) {
		spans = append(spans, r.history.beginDisruption(target, dis.kind))
	}
	defer func() {
		for _, s := range spans {
			r.history.endDisruption(s)
		}
	}()
	switch dis.kind {
	case killDaemon, stopDaemon, freezeDaemon, reloadDaemon:
		r.disruptDaemon(r.daemons[dis.target], dis)
	case killAll:
		for _, d := range r.daemons {
			r.checkMemory(d)
			d.proc.kill()
		}
		time.Sleep(dis.duration)
		for _, d := range r.daemons {
			r.startDaemon(d)
		}
	case killServer, freezeServer, pauseServer, rollServer, restartServer:
		r.disruptServer(r.servers[dis.target], dis)
	case foreignEntry:
		r.putForeignEntries(r.servers[dis.target], dis.param)
	case lateEntry:
		r.putLateEntry(r.servers[dis.target], dis.duration)
	case limitServer:
		r.advertise(r.servers[dis.target], "limit", dis)
	case turnAway:
		r.advertise(r.servers[dis.target], "turn away", dis)
	case slowServer:
		r.advertise(r.servers[dis.target], "slow", dis)
	case endlessServer:
		r.sendEndless(r.servers[dis.target], dis)
	case newSettings:
		r.publishSettings()
	case evacuateDomain:
		r.evacuate(dis)
	case coldServer:
		r.makeCold(r.servers[dis.target], dis.duration)
	case restoreStore:
		r.restore(dis.duration)
	case crashingRequest:
		r.sendCrashingRequests(dis)
	case partitionDaemons:
		r.partition(dis)
	case disruptStore:
		r.setStoreFault(dis.param)
		time.Sleep(dis.duration)
		r.setStoreFault("")
	case disruptFrontLink:
		r.disruptLink("front-"+r.daemons[dis.target].name, dis)
	case disruptStoreLink:
		r.disruptLink("store-"+r.daemons[dis.target].name, dis)
	case disruptServerLink:
		r.disruptLink(r.servers[dis.target].name, dis)
	}
}

// advertise has a server send a value (a limit, a back-off) in its answers, or slow down by a
// factor, for the duration of the disruption. A restarted server does neither.
func (r *rig) advertise(s *server, op string, dis disruption) {
	number, err := strconv.ParseFloat(dis.param, 64)
	if err != nil {
		panic(err)
	}
	r.sendCommand(s.proc, command{Op: op, Number: number})
	time.Sleep(dis.duration)
	r.sendCommand(s.proc, command{Op: op})
}

func (r *rig) disruptLink(name string, dis disruption) {
	r.sendCommand(r.links, command{Op: "fault", Name: name, Fault: dis.param})
	time.Sleep(dis.duration)
	r.sendCommand(r.links, command{Op: "fault", Name: name})
}

func (r *rig) setStoreFault(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeFaultName = name
	r.sendCommand(r.store, command{Op: "fault", Fault: name})
}

func (r *rig) disruptDaemon(d *daemon, dis disruption) {
	r.checkMemory(d)
	switch dis.kind {
	case killDaemon:
		d.proc.kill()
		time.Sleep(dis.duration)
		r.startDaemon(d)
	case stopDaemon:
		p := d.proc
		switch dis.param {
		case signalStorm:
			r.restarting.Go(func() { r.sendSignals(p, stormSignals) })
		case endStandstill:
			r.restarting.Go(func() { r.standStillAtEnd(p) })
		}
		r.shutDown(d)
		time.Sleep(dis.duration)
		r.startDaemon(d)
	case freezeDaemon:
		d.proc.freeze(dis.duration)
	case reloadDaemon:
		// Before the daemon listens its signal handler may not be installed.
		r.eventually(recoveryWait, func() bool { return canConnect(d.front) })
		d.proc.signal(syscall.SIGHUP)
		time.Sleep(dis.duration)
	}
}

// shutDown shuts a daemon down, and records a finding if it does not exit cleanly within its grace
// time. A daemon that does not listen yet has nothing to finish, and may be ended by the signal.
func (r *rig) shutDown(d *daemon) {
	r.checkMemory(d)
	listened := canConnect(d.front)
	r.history.recordStop(d)
	d.proc.signal(r.stopSignal)
	select {
	case <-d.proc.ended:
		if d.proc.result != nil && listened {
			r.history.addFinding("a leaving daemon ends well", "%s: %v", d.name, d.proc.result)
		}
	case <-time.After(r.grace + stopMargin):
		r.history.addFinding("a leaving daemon ends well", "%s still runs %s after its grace", d.name, stopMargin)
		d.proc.signal(syscall.SIGCONT)
		d.proc.kill()
	}
}

// leavingDuration is how long a server that is shut down serves on after its announcement.
const leavingDuration = 5 * time.Second

func (r *rig) disruptServer(s *server, dis disruption) {
	switch dis.kind {
	case killServer:
		s.proc.kill()
		time.Sleep(dis.duration)
		r.startServer(s)
	case restartServer:
		s.proc.kill()
		time.Sleep(dis.duration)
		r.history.recordRestart(s.id())
		r.startIncarnation(s)
	case freezeServer, pauseServer:
		s.proc.freeze(dis.duration)
	case rollServer:
		r.mu.Lock()
		s.leaving = true
		r.sendCommand(s.proc, command{Op: "leave"})
		if r.storeFaultName == "" {
			r.updateEntry(s)
			r.history.recordLeavingInStore(s.id())
		}
		r.mu.Unlock()
		time.Sleep(leavingDuration)
		r.history.recordServerEnd(s.id())
		s.proc.kill()
		r.startServer(s)
	}
}
