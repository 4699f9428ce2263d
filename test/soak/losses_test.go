package soak

import (
	"cmp"
	"io"
	"net/http"
	"testing"
	"time"
)

// Parts of the rule on requests that a planned restart may not lose.
const (
	lossSlack  = 200 * time.Millisecond // by then a request has been read
	cutSendBy  = 3 * time.Second        // after the signal: a request sent later is not cut at a server
	cutNotSoon = 5.0 / 6                // of the grace: servers may be cut after it
)

// daemonStop is the signal that shut an incarnation of a daemon down.
type daemonStop struct {
	daemon      string
	incarnation int64
	at          time.Time
}

func (h *history) recordStop(d *daemon) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stops = append(h.stops, daemonStop{d.name, d.starts.Load(), time.Now()})
}

// stopOf returns when the incarnation of a daemon that took a request was shut down.
func (h *history) stopOf(o outcome) (at time.Time, ok bool) {
	for _, s := range h.stops {
		if s.daemon == o.daemon && s.incarnation == o.incarnation {
			return s.at, true
		}
	}
	return time.Time{}, false
}

// checkLost checks that no connection ended without a complete answer to a request that a daemon had
// read, unless a server was still at work, late in the grace, on a request that was sent early.
func (h *history) checkLost(patience, grace time.Duration, add findingFunc) {
	for _, o := range h.outcomes {
		sent := cmp.Or(o.lastByte, o.sent)
		if o.failed == nil || o.abandoned || o.done.Sub(o.sent) >= patience {
			continue
		}
		runs := h.runs[o.id]
		if len(runs) == 0 && o.done.Sub(sent) <= lossSlack {
			continue // it crossed the close
		}
		at, stopped := h.stopOf(o)
		if h.serverLeft(runs, o.done) {
			continue
		}
		late := at.Add(time.Duration(cutNotSoon * float64(grace)))
		if stopped && !sent.After(at.Add(cutSendBy)) && o.done.After(late) && atWork(runs, late) {
			continue
		}
		add("a planned restart loses nothing", "%s (%s) at %s: sent %s after the signal (%v), ended after %s with status %d, run %d times: %v",
			o.id, o.kind, o.daemon, sent.Sub(at), stopped, o.done.Sub(sent), o.status, len(runs), o.failed)
	}
}

// serverLeft reports whether a server of the runs ended in the middle of its run, before a time.
func (h *history) serverLeft(runs []run, by time.Time) bool {
	for _, r := range runs {
		if end, ok := h.serverEnds[r.server]; ok && r.end.IsZero() && !end.After(by) {
			return true
		}
	}
	return false
}

// recordServerEnd records that the process of a server is about to end.
func (h *history) recordServerEnd(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.serverEnds[id] = time.Now()
}

// atWork reports whether a server was at work on a request at a time.
func atWork(runs []run, at time.Time) bool {
	for _, r := range runs {
		if r.end.IsZero() || r.end.After(at) {
			return true
		}
	}
	return false
}

// TestLossesAreTold checks what checkLost finds, and what it allows, of requests to a daemon that was
// shut down with a grace of 6 s.
func TestLossesAreTold(t *testing.T) {
	const grace, patience = 6 * time.Second, 15 * time.Second
	signal := time.Now()
	after := func(s float64) time.Time { return signal.Add(time.Duration(s * float64(time.Second))) }
	for name, c := range map[string]struct {
		sent, done float64 // seconds after the signal
		runs       []run
		serverEnds float64 // 0: it does not
		status     int
		whole      bool
		lost       bool
	}{
		"whole":                            {sent: 1, done: 2, status: http.StatusOK, whole: true},
		"refused":                          {sent: 4, done: 5, status: http.StatusServiceUnavailable, whole: true},
		"crosses the close":                {sent: 4, done: 4.1},
		"read, and closed":                 {sent: 4, done: 4.3, lost: true},
		"run, and closed at once":          {sent: 4, done: 4.1, runs: []run{{server: "s"}}, lost: true},
		"cut in the last sixth":            {sent: 2, done: 5.5, runs: []run{{server: "s"}}, status: http.StatusOK},
		"cut before the last sixth":        {sent: 2, done: 4.5, runs: []run{{server: "s"}}, status: http.StatusOK, lost: true},
		"cut, and sent late":               {sent: 3.1, done: 5.5, runs: []run{{server: "s"}}, status: http.StatusOK, lost: true},
		"the server had ended":             {sent: 2, done: 5.5, runs: []run{{server: "s", end: after(3)}}, lost: true},
		"the server broke off":             {sent: 2, done: 4.5, runs: []run{{server: "s"}}, serverEnds: 4.4, status: http.StatusOK},
		"no answer in all the time it had": {sent: -10, done: 5, runs: []run{{server: "s"}}},
	} {
		h := newHistory()
		o := outcome{id: "r", daemon: "d", incarnation: 1, sent: after(c.sent), done: after(c.done), status: c.status}
		if !c.whole {
			o.failed = io.ErrUnexpectedEOF
		}
		h.stops = []daemonStop{{"d", 1, signal}}
		h.runs["r"] = c.runs
		if c.serverEnds != 0 {
			h.serverEnds["s"] = after(c.serverEnds)
		}
		h.addOutcome(o)
		lost := false
		h.checkLost(patience, grace, func(string, string, ...any) { lost = true })
		if lost != c.lost {
			t.Errorf("%s: lost %v", name, lost)
		}
	}
}
