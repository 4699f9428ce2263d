package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/platform/standin"
)

// Bounds of what a request may do that ends each server which runs it.
const (
	crashesFew  = 3               // servers that have ended before it counts as known
	crashKnown  = 3 * time.Second // from that to all daemons
	mostCrashes = 3               // times that it may reach a server afterwards
)

// reviveAfter is how long after its end a server starts again, under another id.
const reviveAfter = 800 * time.Millisecond

// deadlyExit is the status with which a server ends under such a request.
const deadlyExit = 7

// deadly is the query of a request that ends the server which runs it.
const deadly = "deadly=1"

// addCrash notes that a server has ended under a request.
func (h *history) addCrash(r report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashes[r.ID] = append(h.crashes[r.ID], time.Unix(0, r.At))
}

// workOf names the work of a request, whoever sends it and when: its id up to the last dash.
func workOf(id string) string { return id[:strings.LastIndex(id, "-")] }

// crashesOf returns when servers ended under a work, in order.
func (h *history) crashesOf(work string) []time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []time.Time
	for id, times := range h.crashes {
		if workOf(id) == work {
			all = append(all, times...)
		}
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// sendsTo notes the daemon to which a request of a crash site goes.
func (h *history) sendsTo(d *daemon, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deadly[id] = d.name
}

// lateOf returns how often a work reached servers when all had to know it, sent by daemons that
// nothing had troubled in that time.
func (h *history) lateOf(work string, known time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	late := 0
	for id, runs := range h.runs {
		if workOf(id) != work {
			continue
		}
		for _, r := range runs {
			touched := func(target string) bool { return target == h.deadly[id] || target == "store" }
			if r.at.After(known) && !h.troubled(r.at.Add(-crashKnown), r.at, touched) {
				late++
			}
		}
	}
	return late
}

// checkCrashes: a request that has ended some servers is kept from the others, by all daemons
// together.
func (h *history) checkCrashes(add adder) {
	works := map[string]bool{}
	for id := range h.crashes {
		works[workOf(id)] = true
	}
	for work := range works {
		ended := h.crashesOf(work)
		if len(ended) < crashesFew {
			continue
		}
		if late := h.lateOf(work, ended[crashesFew-1].Add(crashKnown)); late > mostCrashes {
			add("what ends servers is kept from them", "%s reached servers %d times late; %d ended in all", work, late, len(ended))
		}
	}
}

// crashSite is a site on which a request ends the servers that run it, beside others.
type crashSite struct {
	t    *testing.T
	r    *rig
	sent atomic.Int64
}

// send sends a work through a daemon once and returns what came of it; it leaves after a time,
// if that is not zero.
func (c *crashSite) send(d *daemon, work, kind, query string, leaves time.Duration) outcome {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if leaves > 0 {
		ctx, cancel = context.WithTimeout(ctx, leaves)
		defer cancel()
	}
	id := fmt.Sprintf("%s-%d", work, c.sent.Add(1))
	c.r.history.sendsTo(d, id)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.address+"/"+kind+"/x?"+query, strings.NewReader(work))
	if err != nil {
		c.t.Error(err)
		return outcome{}
	}
	req.Host = "h"
	call := standin.Call{ID: id, Key: key(c.r.history.newest()), Timeout: callerDeadline}
	if kind == kindStream {
		call.PromptTokens, call.MaxTokens, call.PromptPart = 2000, 100, 7
	}
	call.SetHeaders(req.Header)
	o := outcome{id: id, kind: kind, daemon: d.name, sent: time.Now()}
	res, err := http.DefaultTransport.RoundTrip(req)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(res.Body)
		res.Body.Close()
		o.status, o.own = res.StatusCode, string(text) == wanted(kind, id, work)
	}
	o.failed, o.done = err, time.Now()
	return o
}

// Times of a round: the others run when the deadly request comes, and leave soon after their
// servers have ended.
const (
	beforeDeadly = 150 * time.Millisecond
	deadlyApart  = 25 * time.Millisecond
	leaversStay  = 450 * time.Millisecond
	betweenTimes = crashKnown + 300*time.Millisecond
)

// deadlyEvery is the mean pause between works that end servers, each of which comes again every
// deadlyAgain as long as its trouble lasts.
const (
	deadlyEvery = 8 * time.Second
	deadlyLasts = 8 * time.Second
	deadlyAgain = 1200 * time.Millisecond
)

// drawDeadly returns works that end servers.
func drawDeadly(seed uint64, length time.Duration) []trouble {
	return drawEach(seed, 9, deadlyEvery, length, func(rng *rand.Rand) trouble {
		kind := []string{kindStream, kindAgain}[rng.IntN(2)]
		return trouble{kind: deadlyWork, how: kind, lasts: shortestTrial + time.Duration(rng.Int64N(int64(deadlyLasts)))}
	})
}

// sendDeadly sends a work of its own through all daemons, again and again.
func (r *rig) sendDeadly(tr trouble) {
	site := &crashSite{t: r.t, r: r}
	work := fmt.Sprintf("deadly%d", tr.at.Milliseconds())
	var all sync.WaitGroup
	for end := time.Now().Add(tr.lasts); time.Now().Before(end); time.Sleep(deadlyAgain) {
		for _, d := range r.daemons {
			all.Go(func() { site.send(d, work, tr.how, deadly, 0) })
		}
	}
	all.Wait()
}

// round has the deadly request come through all daemons, one just after the other, beside callers who leave.
func (c *crashSite) round(kind string, n int) {
	var all sync.WaitGroup
	for i, d := range c.r.daemons {
		for k := range 3 {
			all.Go(func() { c.send(d, leaver(n, i, k), kind, leaversWork[kind], leaversStay) })
		}
	}
	time.Sleep(beforeDeadly)
	for _, d := range c.r.daemons {
		all.Go(func() { c.send(d, "deadly", kind, deadly, 0) })
		time.Sleep(deadlyApart)
	}
	all.Wait()
}

// leaversWork is the query of those who leave, by kind.
var leaversWork = map[string]string{kindStream: "stream=1&work=700", kindAgain: "work=700"}

func leaver(round, daemon, n int) string { return fmt.Sprintf("leaver%d.%d.%d", round, daemon, n) }

// crashCase is a site and what happens between two rounds.
type crashCase struct {
	name    string
	kind    string
	apart   bool // the daemons do not know each other
	alone   bool // each server is alone in its failure domain
	daemons int
	between func(r *rig)
}

func (c crashCase) run(t *testing.T) {
	const servers, rounds = 8, 5
	domains := 2
	if c.alone {
		domains = everyServer
	}
	r := newRig(t, play{seed: 1, daemons: c.daemons, servers: servers, domains: domains, apart: c.apart, direct: true, logPrefix: c.name + "-"})
	if !r.eventually(recoveryWait, r.allListen) || !r.eventually(recoveryWait, func() bool { return r.allServe(1) }) {
		t.Fatal("the site does not serve before any trouble")
	}
	site := &crashSite{t: t, r: r}
	for n := range rounds {
		site.round(c.kind, n)
		if c.between != nil {
			c.between(r)
		}
		time.Sleep(betweenTimes)
	}
	ended := r.history.crashesOf("deadly")
	for i, at := range ended {
		t.Logf("server %d ended %s after the first", i+1, at.Sub(ended[0]).Round(time.Millisecond))
	}
	if len(ended) < crashesFew {
		t.Errorf("%d servers ended: the request was not tried", len(ended))
	}
	r.history.checkCrashes(func(check, format string, args ...any) {
		t.Errorf("%s: %s", check, fmt.Sprintf(format, args...))
	})
	site.checkLeavers(c.kind)
}

// checkLeavers: those who left are served when they come again.
func (c *crashSite) checkLeavers(kind string) {
	for i, d := range c.r.daemons {
		work := leaver(0, i, 0)
		served := func() bool {
			o := c.send(d, work, kind, leaversWork[kind], 0)
			return o.status == http.StatusOK && o.own
		}
		if !c.r.eventually(recoveryWait, served) {
			c.t.Errorf("%s is not served at %s any more", work, d.name)
		}
	}
}

// killAllDaemons has all daemons forget what they know.
func killAllDaemons(r *rig) {
	for _, d := range r.daemons {
		d.proc.kill()
	}
	for _, d := range r.daemons {
		r.startDaemon(d)
	}
	r.eventually(recoveryWait, r.allListen)
	r.eventually(recoveryWait, func() bool { return r.allServe(2) })
}

// TestRequestThatEndsServersIsKeptFromThemByAllDaemonsTogether guards against a request that is
// tried once more by each daemon, at the same time, after it has ended three servers: beside
// callers who leave and are never seen again, where daemons cannot hear each other, where no
// other server tells a death from a cut, and when daemons forget what they knew.
func TestRequestThatEndsServersIsKeptFromThemByAllDaemonsTogether(t *testing.T) {
	for _, c := range []crashCase{
		{name: "beside callers who leave", kind: kindAgain, daemons: 8},
		{name: "engines", kind: kindStream, daemons: 8},
		{name: "daemons cut from each other", kind: kindAgain, daemons: 8, apart: true},
		{name: "one server a failure domain", kind: kindStream, daemons: 4, alone: true},
		{name: "daemons start again", kind: kindStream, daemons: 3, between: killAllDaemons},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}
