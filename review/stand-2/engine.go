package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of an engine, as the configuration names them.
const (
	readPerMs  = 256.0  // prompt tokens
	pairsPerM  = 0.0917 // ms per million pairs
	stepMs     = 0.925
	eventSize  = 46 // tokens of an event
	kvTokens   = 450000
	engineSlot = 16
)

// engine is a sound model server: it reads prompts in turn at its published speed, alone or in even
// parts with helpers, and then writes its events.
type engine struct {
	id, address string
	born        int64 // Unix milliseconds
	site        *site

	mu      sync.Mutex
	free    time.Time // when all that it has to read is read
	running int
	tickets map[string]*ticket
}

type ticket struct {
	tokens  int
	expires time.Time
	used    bool
	made    time.Time
}

func (e *engine) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.address, e.born, e.tickets = l.Addr().String(), time.Now().UnixMilli(), map[string]*ticket{}
	go func() { _ = (&http.Server{Handler: e}).Serve(l) }()
	return nil
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.Header().Set("At-Server", e.address)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Instance-Id", e.id)
	case "/api/report":
		e.report(w)
	case "/api/order":
		e.order(w, r)
	default:
		e.run(w, r)
	}
}

// dropExpired removes the reservations whose time is over. The caller holds the lock.
func (e *engine) dropExpired() {
	for id, t := range e.tickets {
		if time.Now().After(t.expires) {
			delete(e.tickets, id)
		}
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropExpired()
	list, used := []map[string]any{}, 0
	for id, t := range e.tickets {
		state := "held"
		if t.used {
			state = "used"
		}
		used += t.tokens
		list = append(list, map[string]any{"id": id, "tokens": t.tokens, "state": state, "age_ms": time.Since(t.made).Milliseconds()})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"born": e.born, "stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"busy": false, "seq": 0, "queued": 0, "running": e.running, "kv_used": used, "kv_total": kvTokens, "handles": 0, "admission_tickets": list})
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op     string `json:"op"`
		ID     string `json:"id"`
		Tokens int    `json:"tokens"`
		HoldMs int    `json:"hold_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&o)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropExpired()
	w.Header().Set("Content-Type", "application/json")
	used := 0
	for _, t := range e.tickets {
		used += t.tokens
	}
	switch o.Op {
	case "reserve":
		t := e.tickets[o.ID]
		if t == nil {
			if used+o.Tokens > kvTokens {
				w.WriteHeader(http.StatusConflict)
				return
			}
			t = &ticket{tokens: o.Tokens, made: time.Now()}
			e.tickets[o.ID] = t
		}
		t.expires = time.Now().Add(time.Duration(o.HoldMs) * time.Millisecond)
	case "release":
		delete(e.tickets, o.ID)
	default:
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"free": kvTokens - used})
}

// readFor books the time that the engine needs for a part of a prompt, and returns its end.
func (e *engine) readFor(d time.Duration, ticketID string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t := e.tickets[ticketID]; t != nil {
		t.used = true
	}
	if now := time.Now(); e.free.Before(now) {
		e.free = now
	}
	e.free = e.free.Add(d)
	return e.free
}

func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.site.rec.add("%s reaches server %s (helpers %q)", id, e.id, r.Header.Get("Helpers"))
	e.site.noteReached(id)
	prompt, out, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	tokens, _ := strconv.Atoi(prompt)
	answer, _ := strconv.Atoi(out)
	readers, tickets := []*engine{e}, []string{""}
	if list := r.Header.Get("Helpers"); list != "" {
		for _, h := range strings.Split(list, ",") {
			address, t, _ := strings.Cut(h, "/")
			if x := e.site.engineAt(address); x == e {
				tickets[0] = t
			} else if x != nil {
				readers, tickets = append(readers, x), append(tickets, t)
			}
		}
	}
	e.mu.Lock()
	e.running++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	n := float64(tokens)
	work := (n/readPerMs + n*n/2/1e6*pairsPerM) / float64(len(readers))
	last := time.Now()
	for i, x := range readers {
		if end := x.readFor(time.Duration(work*float64(time.Millisecond)), tickets[i]); end.After(last) {
			last = end
		}
	}
	select {
	case <-time.After(time.Until(last)):
	case <-r.Context().Done():
		e.site.rec.add("%s: its connection to %s is closed before the first event", id, e.id)
		return
	}
	e.site.rec.add("%s runs at %s", id, e.id)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Seal", "seal-"+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := w.(http.Flusher)
	for k := 1; k*eventSize <= max(answer, eventSize); k++ {
		select {
		case <-time.After(time.Duration(eventSize * stepMs * float64(time.Millisecond))):
		case <-r.Context().Done():
			e.site.rec.add("%s: its connection to %s is closed midway", id, e.id)
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", k)
		flush.Flush()
	}
	e.site.rec.add("%s ends at %s", id, e.id)
}
