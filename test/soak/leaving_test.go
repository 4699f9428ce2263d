package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// signalStorm is the param of a stopDaemon that sends stormSignals beside the one that stops it.
const signalStorm = "signal storm"

var stormSignals = []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM}

// stormPause is the time before each signal of a storm.
const stormPause = 150 * time.Millisecond

func (r *rig) sendSignals(p *proc, signals []syscall.Signal) {
	for _, s := range signals {
		select {
		case <-time.After(stormPause):
			p.signal(s)
		case <-p.ended:
			return
		}
	}
}

// endStandstill is the param of a stopDaemon whose process stands still, as on a busy machine, from
// shortly before it gives up what waits until shortly before its grace is over.
const endStandstill = "standstill at the end"

// Parts of the grace after which an endStandstill begins and ends.
const (
	standstillFrom = 0.7
	standstillTo   = 0.96
)

// standStillAtEnd freezes a process that shuts down near the end of its grace.
func (r *rig) standStillAtEnd(p *proc) {
	part := func(of float64) time.Duration { return time.Duration(of * float64(r.grace)) }
	select {
	case <-time.After(part(standstillFrom)):
		p.freeze(part(standstillTo - standstillFrom))
	case <-p.ended:
	}
}

// Times of daemons that leave beside long queues. Their grace is shorter than what callers wait.
const (
	leaveInterval = 4 * time.Second
	shortGrace    = time.Second
	longGrace     = 3 * time.Second
	queueWork     = 700 * time.Millisecond // of an engine, before a stream begins
	queuePause    = 100 * time.Millisecond // after a refusal
	queueCallers  = 24                     // at each daemon: together more than the engines have slots
)

// queue sends streams that take long to begin, one after the other, until the context ends.
func (c *caller) queue(ctx context.Context) {
	query := fmt.Sprintf("stream=1&work=%d", queueWork.Milliseconds())
	for ctx.Err() == nil {
		if o := c.send(kindStream, query, c.rig.history.newestVersion()-1); o.status != http.StatusOK {
			time.Sleep(queuePause)
		}
	}
}

// drawLeaving returns shutdowns of all daemons of a failure domain or of all daemons, some with further
// signals.
func drawLeaving(seed uint64, length time.Duration, daemons int) []disruption {
	rng := rand.New(rand.NewPCG(seed, 14))
	var plan []disruption
	for at := time.Duration(rng.Int64N(int64(leaveInterval))); at < length; at += leaveInterval {
		param := ""
		if rng.IntN(2) == 0 {
			param = signalStorm
		}
		group, all := rng.IntN(numDomains), rng.IntN(4) == 0
		for i := range daemons {
			if i%numDomains == group || all {
				plan = append(plan, disruption{at: at, kind: stopDaemon, param: param, target: i, duration: minDuration})
			}
		}
	}
	return plan
}

// newLeavingScenario returns a scenario of daemons that leave beside long queues.
func newLeavingScenario(seed uint64) scenario {
	rng := rand.New(rand.NewPCG(seed, 15))
	p := scenario{
		seed: seed, length: time.Duration(*flagMinutes * float64(time.Minute)), daemons: *flagDaemons, servers: *flagServers, recovery: recoveryWait,
		grace: shortGrace + time.Duration(rng.Int64N(int64(longGrace-shortGrace))), queueCallers: queueCallers, domains: numDomains,
	}
	p.plan = drawLeaving(seed, p.length, p.daemons)
	return p
}

// TestDaemonsThatLeaveAnswerWhatTheyHaveRead guards against requests that wait in a daemon and lose
// their connection when it exits (review/4): failure domains and all daemons together get SIGTERM beside
// queues for engines, with a grace that is shorter than what callers wait.
func TestDaemonsThatLeaveAnswerWhatTheyHaveRead(t *testing.T) {
	t.Parallel()
	for i := range *flagSeeds {
		p := newLeavingScenario(*flagSeed + uint64(i))
		t.Run(fmt.Sprint(p.seed), func(t *testing.T) { reportFindings(t, p, p.run(t)) })
	}
}

// TestDaemonsThatStandStillAsTheirGraceEndsAnswer guards against a daemon that exits on time with
// requests that it has given up and not answered yet, because it got no processor time.
func TestDaemonsThatStandStillAsTheirGraceEndsAnswer(t *testing.T) {
	t.Parallel()
	p := newLeavingScenario(*flagSeed)
	p.grace = shortGrace
	for i := range p.plan {
		p.plan[i].param = endStandstill
	}
	reportFindings(t, p, p.run(t))
}
