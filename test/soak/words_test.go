package soak

import (
	"slices"
	"testing"
	"time"
)

// Bounds of what servers get after their word.
const (
	limitBinds  = 3 * time.Second // from a server's first word of a limit
	limitWindow = 4 * time.Second
	toldFor     = 500 * time.Millisecond // from an answer until its daemon is bound by its word
	leavesFor   = 2 * time.Second        // from an answer of a server that leaves until it gets nothing
	mostTurned  = 2                      // requests in a back-off, for those under way
)

// limit is the time for which a server named a limit.
type limit struct {
	server    string
	perSecond float64
	from, to  time.Time // to is zero while it lasts
}

// allowed returns the requests that the server may get in limitWindow.
func (l limit) allowed() float64 { return 1.5*l.perSecond*limitWindow.Seconds() + 5 }

// addLimit notes that a server has named a limit or taken it back.
func (h *history) addLimit(r report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := time.Unix(0, r.At)
	h.endLimit(r.Server, at)
	if r.Number > 0 {
		h.limits = append(h.limits, limit{server: r.Server, perSecond: r.Number, from: at})
	}
}

// endLimit notes that a server names no limit any more. The caller holds the lock.
func (h *history) endLimit(server string, at time.Time) {
	for i, l := range h.limits {
		if l.server == server && l.to.IsZero() {
			h.limits[i].to = at
		}
	}
}

// checkLimits: a server that names a limit gets no more than it allows, from all daemons
// together that it has told.
func (h *history) checkLimits(add adder) {
	for _, l := range h.limits {
		arrivals := h.arrivals(l)
		for i, first := range arrivals {
			n := 0
			for n < len(arrivals)-i && arrivals[i+n].Sub(first) <= limitWindow {
				n++
			}
			if end := first.Add(limitWindow); float64(n) > l.allowed() && !end.Before(l.from.Add(limitBinds)) {
				add("a server's limit is kept", "%s named %g a second and got %d requests in %s, %s after",
					l.server, l.perSecond, n, limitWindow, first.Sub(l.from))
				break
			}
		}
	}
}

// arrivals returns when a server with a limit got requests from daemons that it had told,
// in order. A daemon that was harmed since the limit is left out.
func (h *history) arrivals(l limit) []time.Time {
	told := h.told(l.server, l.from)
	var all []time.Time
	for _, o := range h.outcomes {
		bound, known := told[o.daemon]
		for _, r := range h.runs[o.id] {
			over := !l.to.IsZero() && r.at.After(l.to)
			if r.server == l.server && known && r.at.After(bound.Add(toldFor)) && !over && !h.harmed(o.daemon, l.from, r.at) {
				all = append(all, r.at)
			}
		}
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// told returns when each daemon had passed on an answer of a server to what the server ran
// after a time.
func (h *history) told(server string, from time.Time) map[string]time.Time {
	told := map[string]time.Time{}
	for _, o := range h.outcomes {
		for _, r := range h.runs[o.id] {
			if r.server != server || !r.whole || r.at.Before(from) {
				continue
			}
			if at, known := told[o.daemon]; !known || o.done.Before(at) {
				told[o.daemon] = o.done
			}
		}
	}
	return told
}

// harmed reports whether a daemon was started anew, frozen or cut off in a span of time.
func (h *history) harmed(daemon string, from, to time.Time) bool {
	return slices.ContainsFunc(h.spans, func(s *span) bool {
		return s.target == daemon && s.kind != reloadDaemon && s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
	})
}

// TestServersThatNameALimitGetNoMoreFromAllDaemonsTogether guards against engines and
// plain servers that ask for a rate and are given what each daemon alone thinks right.
func TestServersThatNameALimitGetNoMoreFromAllDaemonsTogether(t *testing.T) {
	t.Parallel()
	const servers = 3 // of each service; those of both come in turn
	p := play{seed: 1, length: 9 * time.Second, daemons: 3, servers: servers, recovery: recoveryWait}
	for target := range 2 * (servers - 1) { // one of each has none
		p.plan = append(p.plan, trouble{at: 200 * time.Millisecond, kind: limitServer, how: "1.5", target: target, lasts: p.length})
	}
	tellFindings(t, p, p.run(t))
}

// says notes that a server's answers say that it leaves.
func (h *history) says(r report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.said[r.Server] = time.Unix(0, r.At)
}

// checkSaid: a server that has said in an answer that it leaves gets nothing more from the
// daemon that passed the answer on, whatever the store says.
func (h *history) checkSaid(add adder) {
	for server, from := range h.said {
		told := h.told(server, from)
		var late []string
		for _, o := range h.outcomes {
			at, known := told[o.daemon]
			if !known || o.sent.Before(at.Add(leavesFor)) || h.harmed(o.daemon, from, o.done) {
				continue
			}
			for _, r := range h.runs[o.id] {
				if r.server == server {
					late = append(late, o.id)
				}
			}
		}
		if len(late) > 0 {
			add("nothing new for a server that has said that it leaves", "%s got %d requests over %s after the answer, the first %s", server, len(late), leavesFor, late[0])
		}
	}
}

// turned is a request that a server has turned away for a time.
type turned struct {
	id, server string
	at         time.Time
	span       time.Duration
}

// addTurned notes a request that was turned away.
func (h *history) addTurned(r report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.turned = append(h.turned, turned{id: r.ID, server: r.Server, at: time.Unix(0, r.At), span: time.Duration(r.Number * float64(time.Second))})
}

// checkTurned: a server that has turned a daemon's request away for a time gets no more from
// it in that time than what was under way.
func (h *history) checkTurned(add adder) {
	daemons := map[string]string{}
	type arrival struct {
		daemon, server string
		at             time.Time
	}
	var all []arrival
	for _, o := range h.outcomes {
		daemons[o.id] = o.daemon
		for _, r := range h.runs[o.id] {
			all = append(all, arrival{o.daemon, r.server, r.at})
		}
	}
	for _, t := range h.turned {
		all = append(all, arrival{daemons[t.id], t.server, t.at})
	}
	for _, t := range h.turned {
		n := 0
		from, to := t.at.Add(toldFor), t.at.Add(t.span)
		for _, a := range all {
			if a.daemon == daemons[t.id] && a.server == t.server && a.at.After(from) && a.at.Before(to) {
				n++
			}
		}
		if n > mostTurned && !h.harmed(daemons[t.id], t.at, to) {
			add("a server that turns away is left alone", "%s got %d requests of %s in the %s for which it wanted none", t.server, n, daemons[t.id], t.span)
			return // one is enough; each request of the span would be another
		}
	}
}

// TestServersThatSayTheyLeaveGetNothingMoreWhileTheStoreIsAway guards against daemons that
// believe the store's old entry of a server more than the server's own answer.
func TestServersThatSayTheyLeaveGetNothingMoreWhileTheStoreIsAway(t *testing.T) {
	t.Parallel()
	const servers = 3 // of each service; those of both come in turn
	p := play{seed: 1, length: 7 * time.Second, daemons: 3, servers: servers, recovery: recoveryWait}
	p.plan = []trouble{{at: 100 * time.Millisecond, kind: harmStore, how: "hangs", lasts: p.length}}
	for target := range 2 * (servers - 1) { // one of each stays
		p.plan = append(p.plan, trouble{at: 200 * time.Millisecond, kind: rollServer, target: target})
	}
	tellFindings(t, p, p.run(t))
}

// TestServersThatTurnAwayAreLeftAloneForTheTimeTheySay guards against daemons that send to a
// server in the time for which it has told them that it wants nothing.
func TestServersThatTurnAwayAreLeftAloneForTheTimeTheySay(t *testing.T) {
	t.Parallel()
	const servers = 3 // of each service; those of both come in turn
	p := play{seed: 1, length: 7 * time.Second, daemons: 3, servers: servers, recovery: recoveryWait}
	for target := range 2 * servers { // all: there is no better choice
		p.plan = append(p.plan, trouble{at: 200 * time.Millisecond, kind: turnAway, how: "3", target: target, lasts: p.length})
	}
	tellFindings(t, p, p.run(t))
}

// TestBackOffOfAServerThatHasJustStartedAgainHolds guards against requests in the back-off of
// a server that has started again under its id, and turned away before the store told of it.
func TestBackOffOfAServerThatHasJustStartedAgainHolds(t *testing.T) {
	t.Parallel()
	p := play{seed: 1, length: 7 * time.Second, daemons: 3, servers: 3, recovery: recoveryWait}
	p.plan = []trouble{{at: 100 * time.Millisecond, kind: harmStore, how: "hangs", lasts: 2 * time.Second}}
	for target := range 2 { // one of each service
		p.plan = append(p.plan, trouble{at: 200 * time.Millisecond, kind: restartServer, target: target, lasts: 100 * time.Millisecond})
	}
	for target := range 2 {
		p.plan = append(p.plan, trouble{at: time.Second, kind: turnAway, how: "5", target: target, lasts: 500 * time.Millisecond})
	}
	tellFindings(t, p, p.run(t))
}
