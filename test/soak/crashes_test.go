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

	"github.com/buckthorndock/buckthorndock/internal/netfault"
	"github.com/buckthorndock/buckthorndock/platform/standin"
)

// Bounds for a request that crashes each server that runs it.
const (
	minCrashes  = 3               // crashes after which the request counts as known
	crashDelay  = 3 * time.Second // from then until all daemons know it
	maxLateRuns = 3               // times that it may still reach a server afterwards
)

// crashRestartDelay is how long after a crash a server starts again, under a new id.
const crashRestartDelay = 800 * time.Millisecond

// crashExitStatus is the exit status of a server that such a request has crashed.
const crashExitStatus = 7

// crashQuery is the query of a request that crashes the server that runs it.
const crashQuery = "crash=1"

// addCrash records that a request has crashed a server.
func (h *history) addCrash(r report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashes[r.ID] = append(h.crashes[r.ID], time.Unix(0, r.At))
}

// logicalID returns the part of a request id that all sends of the same logical request share: the
// id up to the last dash.
func logicalID(id string) string { return id[:strings.LastIndex(id, "-")] }

// crashesOf returns, in order, when a logical request crashed servers.
func (h *history) crashesOf(request string) []time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []time.Time
	for id, times := range h.crashes {
		if logicalID(id) == request {
			all = append(all, times...)
		}
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// recordSend records the daemon to which a request of a crash site goes.
func (h *history) recordSend(d *daemon, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.daemonOf[id] = d.name
}

// lateRuns returns how often a logical request reached servers after known, sent by daemons that
// nothing had disrupted in the crashDelay before.
func (h *history) lateRuns(request string, known time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	late := 0
	for id, runs := range h.runs {
		if logicalID(id) != request {
			continue
		}
		for _, r := range runs {
			touched := func(target string) bool { return target == h.daemonOf[id] || target == "store" }
			if r.at.After(known) && !h.disrupted(r.at.Add(-crashDelay), r.at, touched) {
				late++
			}
		}
	}
	return late
}

// checkCrashes checks that a request that has crashed minCrashes servers is kept from the others
// by all daemons together.
func (h *history) checkCrashes(add findingFunc) {
	requests := map[string]bool{}
	for id := range h.crashes {
		requests[logicalID(id)] = true
	}
	for request := range requests {
		ended := h.crashesOf(request)
		if len(ended) < minCrashes {
			continue
		}
		if late := h.lateRuns(request, ended[minCrashes-1].Add(crashDelay)); late > maxLateRuns {
			add("a request that crashes servers is kept from others", "%s reached servers %d times too late; %d crashed in all", request, late, len(ended))
		}
	}
}

// crashSite is a site to which a request that crashes servers is sent, beside others.
type crashSite struct {
	t     *testing.T
	r     *rig
	count atomic.Int64
}

// send sends a logical request through a daemon once and returns the outcome. A timeout that is not
// zero makes the caller disconnect then.
func (c *crashSite) send(d *daemon, request, kind, query string, timeout time.Duration) outcome {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if timeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	id := fmt.Sprintf("%s-%d", request, c.count.Add(1))
	c.r.history.recordSend(d, id)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.address+"/"+kind+"/x?"+query, strings.NewReader(request))
	if err != nil {
		c.t.Error(err)
		return outcome{}
	}
	req.Host = "h"
	call := standin.Call{ID: id, Key: apiKey(c.r.history.newestVersion()), Timeout: callerDeadline}
	if kind == kindStream {
		call.PromptTokens, call.MaxTokens, call.PromptPart = 2000, 100, 7
	}
	call.SetHeaders(req.Header)
	return exchange(req, outcome{id: id, kind: kind, daemon: d.name}, expectedBody(kind, id, request))
}

// exchange sends a request on a connection of the default transport and completes its outcome. own is
// the body that a server writes.
func exchange(req *http.Request, o outcome, own string) outcome {
	o.sent = time.Now()
	res, err := http.DefaultTransport.RoundTrip(req)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(res.Body)
		res.Body.Close()
		o.status, o.own = res.StatusCode, string(text) == own
	}
	o.failed, o.done = err, time.Now()
	return o
}

// Times of a round: the other requests run when the crashing request arrives, and their callers
// disconnect soon after the servers have crashed.
const (
	crashingStartDelay = 150 * time.Millisecond
	crashingDaemonGap  = 25 * time.Millisecond
	leaverTimeout      = 450 * time.Millisecond
	roundPause         = crashDelay + 300*time.Millisecond
)

// crashingInterval is the mean interval of crashing requests, each of which is sent again every
// crashingRepeatInterval for the duration of its disruption.
const (
	crashingInterval       = 8 * time.Second
	maxCrashingDuration    = 8 * time.Second
	crashingRepeatInterval = 1200 * time.Millisecond
)

// drawCrashingRequests returns requests that crash servers.
func drawCrashingRequests(seed uint64, length time.Duration) []disruption {
	return drawEach(seed, 9, crashingInterval, length, func(rng *rand.Rand) disruption {
		kind := []string{kindStream, kindAgain}[rng.IntN(2)]
		return disruption{kind: crashingRequest, param: kind, duration: minDuration + time.Duration(rng.Int64N(int64(maxCrashingDuration)))}
	})
}

// sendCrashingRequests sends a crashing request of its own through all daemons, repeatedly for the
// duration of the disruption.
func (r *rig) sendCrashingRequests(dis disruption) {
	site := &crashSite{t: r.t, r: r}
	request := fmt.Sprintf("crashing%d", dis.at.Milliseconds())
	var all sync.WaitGroup
	for end := time.Now().Add(dis.duration); time.Now().Before(end); time.Sleep(crashingRepeatInterval) {
		for _, d := range r.daemons {
			all.Go(func() { site.send(d, request, dis.param, crashQuery, 0) })
		}
	}
	all.Wait()
}

// runRound sends the crashing request through all daemons, shortly after each other, beside callers
// that disconnect.
func (c *crashSite) runRound(kind string, n int) {
	var all sync.WaitGroup
	for i, d := range c.r.daemons {
		for k := range 3 {
			all.Go(func() { c.send(d, leaverRequest(n, i, k), kind, leaverQuery[kind], leaverTimeout) })
		}
	}
	time.Sleep(crashingStartDelay)
	for _, d := range c.r.daemons {
		all.Go(func() { c.send(d, "crashing", kind, crashQuery, 0) })
		time.Sleep(crashingDaemonGap)
	}
	all.Wait()
}

// leaverQuery is the query of the requests whose callers disconnect, by kind.
var leaverQuery = map[string]string{kindStream: "stream=1&work=700", kindAgain: "work=700"}

// leaverRequest returns the logical id of a request whose caller disconnects.
func leaverRequest(round, daemon, n int) string {
	return fmt.Sprintf("leaver%d.%d.%d", round, daemon, n)
}

// crashCase describes a crash site and what happens between two rounds.
type crashCase struct {
	name     string
	kind     string
	isolated bool // the daemons do not know each other
	alone    bool // each server has a failure domain of its own
	daemons  int
	// partitioned daemons, the first ones, reach no server themselves, in the way of fault.
	partitioned int
	fault       netfault.Fault
	between     func(r *rig)
}

func (c crashCase) run(t *testing.T) {
	const servers, rounds = 8, 5
	domains := 2
	if c.alone {
		domains = domainPerServer
	}
	r := newRig(t, scenario{seed: 1, daemons: c.daemons, servers: servers, domains: domains, isolated: c.isolated, partitions: c.partitioned > 0, direct: true, logPrefix: c.name + "-"})
	if !r.eventually(recoveryWait, r.allListen) || !r.eventually(recoveryWait, func() bool { return r.allServe(1) }) {
		t.Fatal("the site does not serve before any disruption")
	}
	r.setPaths(r.daemons[:c.partitioned], c.fault)
	site := &crashSite{t: t, r: r}
	for n := range rounds {
		site.runRound(c.kind, n)
		if c.between != nil {
			c.between(r)
		}
		time.Sleep(roundPause)
	}
	r.setPaths(r.daemons[:c.partitioned], netfault.None)
	ended := r.history.crashesOf("crashing")
	for i, at := range ended {
		t.Logf("server %d crashed %s after the first", i+1, at.Sub(ended[0]).Round(time.Millisecond))
	}
	if len(ended) < minCrashes {
		t.Errorf("%d servers crashed: the request was not tried enough", len(ended))
	}
	r.history.checkCrashes(func(check, format string, args ...any) {
		t.Errorf("%s: %s", check, fmt.Sprintf(format, args...))
	})
	site.checkLeavers(c.kind)
}

// checkLeavers checks that requests whose callers disconnected are served when they are sent again.
func (c *crashSite) checkLeavers(kind string) {
	for i, d := range c.r.daemons {
		request := leaverRequest(0, i, 0)
		served := func() bool {
			o := c.send(d, request, kind, leaverQuery[kind], 0)
			return o.status == http.StatusOK && o.own
		}
		if !c.r.eventually(recoveryWait, served) {
			c.t.Errorf("%s is no longer served at %s", request, d.name)
		}
	}
}

// killAllDaemons restarts all daemons, so that they lose what they know, and waits until all serve.
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

// TestRequestThatCrashesServersIsKeptFromThemByAllDaemons guards against daemons that each try a
// request once more, at the same time, after it has crashed three servers: beside callers that
// disconnect for good, where daemons do not reach each other, where no other server in the failure
// domain tells a crash from a network cut, where most daemons reach servers through others only,
// and when daemons restart without their knowledge.
func TestRequestThatCrashesServersIsKeptFromThemByAllDaemons(t *testing.T) {
	for _, c := range []crashCase{
		{name: "beside callers that disconnect", kind: kindAgain, daemons: 8},
		{name: "engines", kind: kindStream, daemons: 8},
		{name: "daemons cut from each other", kind: kindAgain, daemons: 8, isolated: true},
		{name: "one server a failure domain", kind: kindStream, daemons: 4, alone: true},
		{name: "most daemons reach no server", kind: kindStream, daemons: 8, partitioned: 6, fault: netfault.Reset},
		{name: "most daemons open no connection", kind: kindAgain, daemons: 8, partitioned: 6, fault: netfault.Refuse},
		{name: "daemons start again", kind: kindStream, daemons: 3, between: killAllDaemons},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}
