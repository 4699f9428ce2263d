package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Figures of the trial: those of demands/aparca-norte-grown.toml for cold servers.
const (
	coldFor      = 3 * time.Second
	coldPerS     = 17
	coldOverage  = 1.5
	coldSlack    = 5
	coldFrom     = 10 * time.Second
	coldLength   = 18 * time.Second
	coldClients  = 8 // of each machine
	coldDeadline = 4 * time.Second
)

// playCold has one server become cold again in the middle of its life, and counts its arrivals.
func playCold(e *environment) (bool, error) {
	var mu sync.Mutex
	var arrivals []time.Time
	var coldAt time.Time
	var servers []*server
	for i := range 3 {
		zone := fmt.Sprintf("zone-%c", 'a'+i)
		s, err := startServer(e.rec, "i-counter-"+zone, "counter", zone, 60*time.Millisecond)
		if err != nil {
			return false, err
		}
		s.onRun = func(s *server, _ *serverRequest) {
			if s == servers[0] {
				mu.Lock()
				defer mu.Unlock()
				arrivals = append(arrivals, time.Now())
			}
		}
		servers = append(servers, s)
	}
	for _, s := range servers {
		s.serve(e.store)
	}
	err := e.putConfig(1, []map[string]any{{
		"name": "counter", "host": "counter.example", "path_prefix": "/", "kind": "non_idempotent", "timeout_ms": coldDeadline.Milliseconds(),
		"target_latency_ms": 300, "priority": 1, "service": "counter", "max_attempts": 1, "allow_anonymous": false,
	}}, []map[string]any{{"name": "counter", "health_path": "/health", "max_connections": 590, "protocol": "h1", "tls": false, "cold_start_s": coldFor.Seconds(), "cold_per_s": coldPerS}})
	if err != nil {
		return false, err
	}
	if err := e.startMachines(3); err != nil {
		return false, err
	}
	began := time.Now()
	var wg sync.WaitGroup
	for _, m := range e.machines {
		for n := range coldClients {
			wg.Go(func() {
				for i := 0; time.Since(began) < coldLength; i++ {
					c, err := dialClient(m.front())
					if err != nil {
						continue
					}
					id := fmt.Sprintf("%s-%d-%d", m.name, n, i)
					status, _, _, err := c.do(clientRequest{id: id, method: "POST", target: "/orders/" + id, host: "counter.example", key: tenantKey, deadline: coldDeadline, body: "x"})
					e.rec.add("client: %s: status %d, %v", id, status, err)
					c.close()
					time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(coldFrom)
	if e.trouble {
		coldAt = time.Now()
		servers[0].coldUntil.Store(coldAt.Add(coldFor).UnixMilli())
		e.rec.say("%s is cold for %v", servers[0].id, coldFor)
	}
	wg.Wait()
	if !e.trouble {
		return false, nil
	}
	most := 0
	for i, from := range arrivals {
		if from.Before(coldAt) || from.Add(time.Second).After(coldAt.Add(coldFor)) {
			continue
		}
		end, _ := slices.BinarySearchFunc(arrivals, from.Add(time.Second), func(a, b time.Time) int { return a.Compare(b) })
		most = max(most, end-i)
	}
	bound := coldPerS*coldOverage + coldSlack
	e.rec.say("the cold server got %d requests in one second at most; the bound is %.1f", most, bound)
	return float64(most) > bound, nil
}
