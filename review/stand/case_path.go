package main

import (
	"fmt"
	"sync"
	"time"
)

// pathRequests is the number of requests that the case sends.
const pathRequests = 30

// playPath sends orders whose path begins with two slashes, and compares the path that servers run with
// the one that the client has sent.
func playPath(e *environment) (bool, error) {
	var mu sync.Mutex
	ran := map[string]string{} // request target at the server, by id of the request
	for i := range 3 {
		zone := fmt.Sprintf("zone-%c", 'a'+i)
		s, err := startServer(e.rec, "i-counter-"+zone, "counter", zone, 15*time.Millisecond)
		if err != nil {
			return false, err
		}
		s.onRun = func(_ *server, r *serverRequest) {
			mu.Lock()
			defer mu.Unlock()
			ran[r.id()] = r.method + " " + r.target
		}
		s.serve(e.store)
	}
	err := e.putConfig(1, []map[string]any{{
		"name": "counter", "host": "counter.example", "path_prefix": "/", "kind": "non_idempotent", "timeout_ms": 4000,
		"target_latency_ms": 300, "priority": 1, "service": "counter", "max_attempts": 1, "allow_anonymous": false,
	}}, []map[string]any{{"name": "counter", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}})
	if err != nil {
		return false, err
	}
	if err := e.startMachines(3); err != nil {
		return false, err
	}
	prefix := "/"
	if e.trouble {
		prefix = "//"
	}
	changed := 0
	for i := range pathRequests {
		m := e.machines[i%len(e.machines)]
		id := fmt.Sprintf("order-%d", i)
		target := fmt.Sprintf("%sorders/%d?line=1", prefix, i)
		c, err := dialClient(m.front())
		if err != nil {
			return false, err
		}
		e.rec.add("client sends %s to %s: POST %s", id, m.name, target)
		status, header, body, err := c.do(clientRequest{
			id: id, method: "POST", target: target, host: "counter.example", key: tenantKey, deadline: 4 * time.Second, body: "one pallet",
		})
		c.close()
		e.rec.add("client: %s: status %d, seal %q, %q, %v", id, status, header.Get("Response-Seal"), body, err)
		mu.Lock()
		at, isRun := ran[id]
		mu.Unlock()
		if isRun && at != "POST "+target {
			changed++
			e.rec.add("UNASKED: the client sent %q, a server ran %q", "POST "+target, at)
		}
	}
	e.rec.say("%d requests, %d run, %d of them with another path than the client's (one breaks UNASKED)", pathRequests, len(ran), changed)
	return changed > 0, nil
}
