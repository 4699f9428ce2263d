package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// Times and numbers of the case with another writer.
const (
	writerCallers = 12
	writerAfter   = 4 * time.Second // from the start of the traffic until the entries are written
	writerTraffic = 12 * time.Second
	callerGap     = 70 * time.Millisecond
	allowedCuts   = 3 // of kept connections without an answer, by the rule LOST
)

// playOtherWriter has another writer put entries into the list of servers: valid in form, of a service
// that no configuration names, at the addresses of live servers. It returns 1 if more than allowedCuts
// requests of kept connections, each of which a live server had got, end with a closed connection.
func (s *site) playOtherWriter(root string, trouble bool) int {
	s.start(root)
	first := daemons[0]
	var mu sync.Mutex
	counts := map[string]int{}
	end := time.Now().Add(writerTraffic)
	var all sync.WaitGroup
	for i := range writerCallers {
		all.Go(func() {
			time.Sleep(time.Duration(i) * callerGap) // so that most are in the middle of a stream at any time
			c, kept := s.connect(first), false
			for n := 0; time.Now().Before(end); n++ {
				r := c.ask(fmt.Sprintf("%08x%08x", i, n), warmUpTokens)
				outcome := s.outcome(r, kept)
				mu.Lock()
				counts[outcome]++
				mu.Unlock()
				kept = true
				if r.whole {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				c, kept = s.connect(first), false
			}
		})
	}
	time.Sleep(writerAfter)
	if trouble {
		s.writeForeignEntries()
	}
	all.Wait()
	s.rec.add("%v", counts)
	fmt.Println(counts)
	stopAll()
	if counts[cutOutcome] > allowedCuts {
		return 1
	}
	return 0
}

const cutOutcome = "cut"

// outcome names the end of a request for the count.
func (s *site) outcome(r result, kept bool) string {
	switch {
	case r.whole:
		return fmt.Sprintf("whole %d", r.status)
	case kept && s.hasReached(r.id) && r.after < deadlineMs*time.Millisecond:
		s.rec.add("LOST: %s was passed on to a live server and its kept connection is closed", r.id)
		return cutOutcome
	}
	return "other"
}

// writeForeignEntries writes, for each server, an entry of another program that runs beside it.
func (s *site) writeForeignEntries() {
	for i, e := range s.engines {
		text, _ := json.Marshal(map[string]any{"service": "node-metrics", "address": e.address, "zone": zones[i%len(zones)], "version": "v1",
			"slots": 1, "state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": time.Now().UnixMilli()})
		s.store.append("keyed.servers", record{fmt.Sprintf("metrics-%d", i+1), text})
	}
	s.rec.add("another writer has put %d entries of a service that no configuration names", len(s.engines))
}
