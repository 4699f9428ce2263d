package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case: those of the deployment further/azahar-refill.toml, scaled to three machines. The
// disruption is garble within the doses of its site file (share 0.35, x 0.02, 5.5 s).
const (
	garbageZones    = 3
	garbageClients  = 16 // of each machine, that send orders to the sound service
	garbageOthers   = 3  // of each machine, that send vouchers to the service with the faulty server
	garbageWork     = 60 * time.Millisecond
	garbageDeadline = 4 * time.Second
	garbageFrom     = 8 * time.Second
	garbageFor      = 5500 * time.Millisecond
	garbageOneIn    = 50 // answers of the faulty server that are spoiled
	garbageLength   = 25 * time.Second
	// lostAllowed is how often rule LOST lets a machine close a kept connection without an answer after
	// it has passed the request on to a sound server.
	lostAllowed = 3
)

// sent is what is known of one request.
type sent struct {
	machine string
	kept    bool // on a connection that had carried another one
	ended   string
	lost    bool      // no answer, or not a whole one
	at      time.Time // when it ended
}

// The services of the case. All servers of the first one are sound; one of the second is faulty.
const (
	soundService  = "counter"
	faultyService = "vouchers"
)

// playGarbage has one server of a service replace some of its answers by bytes that are no answer, and
// counts the requests to the other service that are lost.
func playGarbage(e *environment) (bool, error) {
	var mu sync.Mutex
	runBy := map[string]string{} // by id of the request: the sound server that has run it
	spoiled := map[string]bool{}
	var began time.Time
	var answers atomic.Int64
	for i := range garbageZones {
		zone := fmt.Sprintf("zone-%c", 'a'+i)
		sound, err := startServer(e.rec, "i-counter-"+zone, soundService, zone, garbageWork)
		if err != nil {
			return false, err
		}
		sound.onRun = func(s *server, r *serverRequest) {
			mu.Lock()
			defer mu.Unlock()
			runBy[r.id()] = s.id
		}
		sound.serve(e.store)
		other, err := startServer(e.rec, "i-vouchers-"+zone, faultyService, zone, garbageWork)
		if err != nil {
			return false, err
		}
		if i == 0 {
			other.spoil = func(r *serverRequest) bool {
				mu.Lock()
				defer mu.Unlock()
				since := time.Since(began)
				if !e.trouble || began.IsZero() || since < garbageFrom || since > garbageFrom+garbageFor || answers.Add(1)%garbageOneIn != 0 {
					return false
				}
				spoiled[r.id()] = true
				return true
			}
		}
		other.serve(e.store)
	}
	route := func(service string) map[string]any {
		return map[string]any{
			"name": service, "host": "counter.example", "path_prefix": "/" + service + "/", "kind": "non_idempotent", "timeout_ms": garbageDeadline.Milliseconds(),
			"target_latency_ms": 300, "priority": 1, "service": service, "max_attempts": 1, "allow_anonymous": false,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}
	}
	err := e.putConfig(1, []map[string]any{route(soundService), route(faultyService)}, []map[string]any{service(soundService), service(faultyService)})
	if err != nil {
		return false, err
	}
	if err := e.startMachines(garbageZones); err != nil {
		return false, err
	}
	mu.Lock()
	began = time.Now()
	mu.Unlock()
	all := map[string]*sent{}
	var wg sync.WaitGroup
	for _, m := range e.machines {
		for n := range garbageClients + garbageOthers {
			service := soundService
			if n >= garbageClients {
				service = faultyService
			}
			wg.Go(func() {
				for id, s := range garbageClient(e, m, n, service, began.Add(garbageLength)) {
					mu.Lock()
					all[id] = s
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	return judgeGarbage(e, all, runBy, spoiled), nil
}

// garbageClient sends requests for a service one after the other on a kept connection until the end.
func garbageClient(e *environment, m *machine, n int, service string, end time.Time) map[string]*sent {
	all := map[string]*sent{}
	var c *clientConn
	for i := 0; time.Now().Before(end); i++ {
		if c == nil || c.conn == nil {
			var err error
			if c, err = dialClient(m.front()); err != nil {
				c = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("%s-%d-%d", m.name, n, i)
		s := &sent{machine: m.name, kept: c.used > 0}
		all[id] = s
		e.rec.add("client sends %s to %s", id, m.name)
		status, header, body, err := c.do(clientRequest{
			id: id, method: "POST", target: "/" + service + "/" + id, host: "counter.example", key: tenantKey, deadline: garbageDeadline, body: "one pallet",
		})
		switch {
		case errors.Is(err, errNoAnswer):
			s.ended, s.lost = "the connection ended without an answer", true
		case err != nil:
			s.ended, s.lost = fmt.Sprintf("status %d, then %v", status, err), true
		default:
			s.ended = fmt.Sprintf("status %d, seal %q, %d bytes", status, header.Get("Response-Seal"), len(body))
		}
		e.rec.add("client: %s: %s", id, s.ended)
		s.at = time.Now()
		if s.lost {
			c.close()
			c = nil
		}
		time.Sleep(time.Duration(20+rand.IntN(20)) * time.Millisecond)
	}
	if c != nil {
		c.close()
	}
	return all
}

// judgeGarbage applies rule LOST: at any time, a machine passes a request from a kept connection on to a
// sound server and closes that connection without an answer, more than three times.
func judgeGarbage(e *environment, all map[string]*sent, runBy map[string]string, spoiled map[string]bool) bool {
	answered, lost, atFirstEnd := 0, 0, 0
	var firstEnd time.Time
	for _, m := range e.machines {
		m.mu.Lock()
		for _, end := range m.ends {
			if firstEnd.IsZero() || end.at.Before(firstEnd) {
				firstEnd = end.at
			}
		}
		m.mu.Unlock()
	}
	for id, s := range all {
		server, ran := runBy[id]
		if !s.lost {
			answered++
			continue
		}
		if s.kept && ran && !spoiled[id] {
			lost++
			if s.at.Sub(firstEnd).Abs() < time.Second {
				atFirstEnd++
			}
			e.rec.add("LOST: %s on a kept connection of %s: run by %s, whose answer was sound; %s", id, s.machine, server, s.ended)
		}
	}
	ends := 0
	for _, m := range e.machines {
		m.mu.Lock()
		ends += len(m.ends)
		e.rec.say("%s: %d ends of its process, memory at its peak %.0f MB", m.name, len(m.ends), m.peakMB)
		m.mu.Unlock()
	}
	e.rec.say("%d requests, %d answered; %d spoiled answers; %d ends of processes by themselves; %d requests lost that a sound server ran, %d of them at the first end (more than %d break LOST)",
		len(all), answered, len(spoiled), ends, lost, atFirstEnd, lostAllowed)
	return lost > lostAllowed
}
