package soak

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/platform/standin"
)

// Bounds for requests, no two alike, whose prompts have one part in common that crashes servers.
const (
	minPartCrashes   = 5              // crashes after which the part counts as known
	soundAgainDelay  = 2 * crashDelay // from then until sound requests have to be served again
	minSoundRequests = 20             // of each of the two times that are compared
)

// crashingParts is the first of the maxCrashingParts parts that crash the servers which answer
// requests with them.
const (
	crashingParts    = 0xdead0000
	maxCrashingParts = 16
)

func isCrashingPart(part uint32) bool { return part-crashingParts < maxCrashingParts }

// Parts that sound requests have.
const (
	popularPart = 0xa0
	commonPart  = 0xb0
	// strangersPart is the first part of sound requests that have no part in common with the others.
	strangersPart = 0xc0
)

// Intervals of the requests of a part site. Each daemon gets sound ones at soundInterval.
const (
	soundInterval  = 150 * time.Millisecond
	quietTime      = 3 * time.Second
	crashingTime   = 14 * time.Second
	partCallerWait = 5 * time.Second
)

// partCase describes a site to which requests with a crashing part come.
type partCase struct {
	name     string
	daemons  int
	servers  int           // of each service; 0: 8
	isolated bool          // the daemons do not know each other
	address  addressKind   // of servers that start again
	noStore  bool          // the store is away from before the first crashing request until the last has ended
	interval time.Duration // between two crashing requests, in turn of each kind
	burst    int           // sent at once, in place of each
	kinds    [][]uint32    // shared parts of each kind of crashing request, in order
	between  func(r *rig)  // happens once, while crashing requests come
	during   []disruption  // at times from the first crashing request
}

// partSite sends the requests of a partCase.
type partSite struct {
	*testing.T
	c     partCase
	r     *rig
	count atomic.Int64
	all   sync.WaitGroup

	mu    sync.Mutex
	sound []outcome
}

// send sends one request and returns its outcome. logical is the logical id.
func (s *partSite) send(d *daemon, logical string, parts []uint32) outcome {
	return s.sendQuery(d, logical, parts, "")
}

// sendQuery is send with more in the query of the request.
func (s *partSite) sendQuery(d *daemon, logical string, parts []uint32, more string) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), partCallerWait)
	defer cancel()
	n := s.count.Add(1)
	id := fmt.Sprintf("%s-%d", logical, n)
	s.r.history.recordSend(d, id)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.address+"/"+kindStream+"/x?stream=1"+more, strings.NewReader(id))
	if err != nil {
		s.Error(err)
		return outcome{}
	}
	req.Host = "h"
	call := standin.Call{ID: id, Key: apiKey(s.r.history.newestVersion()), Timeout: callerDeadline}
	call.PromptTokens, call.MaxTokens, call.SharedParts, call.PromptPart = 2000, 100, parts, uint32(n)
	call.SetHeaders(req.Header)
	return exchange(req, outcome{id: id, kind: kindStream, daemon: d.name}, expectedBody(kindStream, id, id))
}

// sendSound sends sound requests to a daemon until the context ends: most share a part with those
// that crash servers.
func (s *partSite) sendSound(ctx context.Context, d *daemon) {
	kinds := [][]uint32{{popularPart}, {popularPart, commonPart}, {strangersPart, commonPart}}
	for n := 0; ctx.Err() == nil; n++ {
		s.all.Go(func() {
			o := s.send(d, "sound", kinds[n%len(kinds)])
			s.mu.Lock()
			defer s.mu.Unlock()
			s.sound = append(s.sound, o)
		})
		time.Sleep(soundInterval)
	}
}

func crashingID(kind int) string { return fmt.Sprintf("crashing%d", kind) }

// sendCrashing sends crashing requests through all daemons in turn until the context ends.
func (s *partSite) sendCrashing(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		kind := n % len(s.c.kinds)
		for k := range max(s.c.burst, 1) {
			d := s.r.daemons[(n+k)%len(s.r.daemons)]
			s.all.Go(func() { s.send(d, crashingID(kind), s.c.kinds[kind]) })
		}
		time.Sleep(s.c.interval)
	}
}

func (c partCase) run(t *testing.T) {
	const usualServers = 8
	r := newRig(t, scenario{
		seed: 1, daemons: c.daemons, servers: cmp.Or(c.servers, usualServers), domains: 2, isolated: c.isolated,
		direct: c.address != linkedAddress, sameAddress: c.address == sameAddress, logPrefix: c.name + "-",
	})
	if !r.eventually(recoveryWait, r.allListen) || !r.eventually(recoveryWait, func() bool { return r.allServe(1) }) {
		t.Fatal("the site does not serve before any disruption")
	}
	s := &partSite{T: t, c: c, r: r}
	ctx, stop := context.WithCancel(context.Background())
	for _, d := range r.daemons {
		s.all.Go(func() { s.sendSound(ctx, d) })
	}
	time.Sleep(quietTime)
	if c.noStore {
		r.setStoreFault("hangs")
	}
	began := time.Now()
	s.all.Go(func() { s.sendCrashing(ctx) })
	for _, dis := range c.during {
		s.all.Go(func() {
			time.Sleep(dis.at)
			r.runDisruption(dis)
		})
	}
	if c.between != nil {
		time.Sleep(crashingTime / 4)
		c.between(r)
	}
	time.Sleep(time.Until(began.Add(crashingTime)))
	stop()
	s.all.Wait()
	known := began
	for kind := range c.kinds {
		if at := s.checkKeptAway(kind); at.After(known) {
			known = at
		}
	}
	s.checkSoundServed(began, known)
	if c.noStore {
		s.checkSuccessorsServe()
	}
}

// checkKeptAway checks that few requests with a crashing part reach servers once it is known. It
// returns when that was.
func (s *partSite) checkKeptAway(kind int) (known time.Time) {
	ended := s.r.history.crashesOf(crashingID(kind))
	if len(ended) < 2 {
		s.Errorf("kind %d crashed %d servers: it was not tried enough", kind, len(ended))
		return known
	}
	known = ended[min(minPartCrashes, len(ended))-1]
	late := s.r.history.lateRuns(crashingID(kind), known.Add(crashDelay))
	s.Logf("kind %d crashed %d servers, the last %s after the first; %d late", kind, len(ended), ended[len(ended)-1].Sub(ended[0]).Round(time.Millisecond), late)
	if len(ended) >= minPartCrashes && late > maxLateRuns {
		s.Errorf("requests of kind %d reached servers %d times too late; %d crashed in all", kind, late, len(ended))
	}
	return known
}

// checkSoundServed checks that sound requests are served at least half as often once the parts are
// known, while crashing requests still come, as before these came.
func (s *partSite) checkSoundServed(began, known time.Time) {
	var before, after, servedBefore, servedAfter int
	for _, o := range s.sound {
		switch {
		case o.done.Before(began):
			before++
			servedBefore += served(o)
		case o.sent.After(known.Add(soundAgainDelay)):
			after++
			servedAfter += served(o)
		}
	}
	s.Logf("sound requests served: %d of %d before, %d of %d with the parts known", servedBefore, before, servedAfter, after)
	if before < minSoundRequests || after < minSoundRequests {
		s.Errorf("%d and %d sound requests are too few to compare", before, after)
	}
	if 2*servedAfter*before < servedBefore*after {
		s.Error("sound requests are served less than half as often while the crashing ones come")
	}
}

// served returns 1 if a request was served, else 0.
func served(o outcome) int {
	if o.status == http.StatusOK && o.own {
		return 1
	}
	return 0
}

// TestRequestsWithOneCrashingPartAreKeptFromServers guards against requests that are each new, share
// one part of their prompts, and crash server after server because no evidence joins them; and
// against sound requests that are refused for the parts which they share with these.
func TestRequestsWithOneCrashingPartAreKeptFromServers(t *testing.T) {
	const usual = 125 * time.Millisecond
	later := [][]uint32{{popularPart, crashingParts}}
	for _, c := range []partCase{
		{name: "later part", daemons: 8, interval: usual, kinds: later},
		{name: "first part", daemons: 4, interval: usual, kinds: [][]uint32{{crashingParts, commonPart}}},
		{name: "two parts", daemons: 4, interval: usual, kinds: [][]uint32{{popularPart, crashingParts}, {popularPart, crashingParts + 1, commonPart}}},
		{name: "few requests", daemons: 4, interval: 1500 * time.Millisecond, kinds: later},
		{name: "bursts", daemons: 4, interval: 2 * time.Second, burst: 12, kinds: later},
		{name: "daemons cut from each other", daemons: 4, interval: usual, isolated: true, kinds: later},
		{name: "the store away", daemons: 4, interval: usual, kinds: later, during: []disruption{{kind: disruptStore, param: "hangs", duration: 4 * time.Second}}},
		{name: "daemons lose the store", daemons: 4, interval: usual, kinds: later, isolated: true, during: []disruption{
			{kind: disruptStoreLink, param: linkSilent, duration: 4 * time.Second, target: 0}, {kind: disruptStoreLink, param: linkSilent, duration: 4 * time.Second, target: 1, at: time.Second},
		}},
		{name: "daemons start again", daemons: 3, interval: usual, kinds: later, between: killAllDaemons},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}
