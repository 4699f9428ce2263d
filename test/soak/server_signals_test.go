package soak

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Bounds of what servers get after what they have announced in answers.
const (
	limitDelay         = 3 * time.Second // from a server's first announcement of a limit until it is enforced
	limitWindow        = 4 * time.Second
	answerDelay        = 500 * time.Millisecond // from an answer until its daemon acts on it
	leavingAnswerDelay = 2 * time.Second        // from an answer of a leaving server until it gets nothing
	maxTurnedAway      = 2                      // requests in a back-off: those already under way
)

// limit is a period in which a server announced a rate limit.
type limit struct {
	server    string
	perSecond float64
	from, to  time.Time // to is zero while it lasts
}

// allowed returns the requests that the server may get in limitWindow.
func (l limit) allowed() float64 { return 1.5*l.perSecond*limitWindow.Seconds() + 5 }

// addLimit records that a server has announced or withdrawn a limit.
func (h *history) addLimit(r report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := time.Unix(0, r.At)
	h.endLimit(r.Server, at)
	if r.Number > 0 {
		h.limits = append(h.limits, limit{server: r.Server, perSecond: r.Number, from: at})
	}
}

// endLimit records that a server's limit has ended. The caller holds the lock.
func (h *history) endLimit(server string, at time.Time) {
	for i, l := range h.limits {
		if l.server == server && l.to.IsZero() {
			h.limits[i].to = at
		}
	}
}

// checkLimits checks that a server with a limit gets no more than it allows, in total over the
// daemons that it has told.
func (h *history) checkLimits(add findingFunc) {
	for _, l := range h.limits {
		arrivals := h.arrivals(l)
		for i, first := range arrivals {
			n := 0
			for n < len(arrivals)-i && arrivals[i+n].Sub(first) <= limitWindow {
				n++
			}
			if end := first.Add(limitWindow); float64(n) > l.allowed() && !end.Before(l.from.Add(limitDelay)) {
				add("a server's limit is kept", "%s announced %g per second and got %d requests in %s, %s after",
					l.server, l.perSecond, n, limitWindow, first.Sub(l.from))
				break
			}
		}
	}
}

// arrivals returns, in order, when a server with a limit got requests from daemons that it had
// told. A daemon that was disrupted since the limit began is left out.
func (h *history) arrivals(l limit) []time.Time {
	told := h.firstAnswers(l.server, l.from)
	var all []time.Time
	for _, o := range h.outcomes {
		bound, known := told[o.daemon]
		for _, r := range h.runs[o.id] {
			over := !l.to.IsZero() && r.at.After(l.to)
			if r.server == l.server && known && r.at.After(bound.Add(answerDelay)) && !over && !h.daemonDisrupted(o.daemon, l.from, r.at) {
				all = append(all, r.at)
			}
		}
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// firstAnswers returns, by daemon, when it first passed on a complete answer to a request that
// the server started to run after from.
func (h *history) firstAnswers(server string, from time.Time) map[string]time.Time {
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

// daemonDisrupted reports whether a daemon was restarted, frozen or cut off in a span of time.
func (h *history) daemonDisrupted(daemon string, from, to time.Time) bool {
	return slices.ContainsFunc(h.spans, func(s *span) bool {
		return s.target == daemon && s.kind != reloadDaemon && s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
	})
}

// TestServerLimitHoldsAcrossAllDaemons guards against daemons that each apply the limit of an
// engine or plain server alone, so that together they exceed it.
func TestServerLimitHoldsAcrossAllDaemons(t *testing.T) {
	t.Parallel()
	const servers = 3 // of each service; those of both come in turn
	p := scenario{seed: 1, length: 9 * time.Second, daemons: 3, servers: servers, recovery: recoveryWait}
	for target := range 2 * (servers - 1) { // one of each has none
		p.plan = append(p.plan, disruption{at: 200 * time.Millisecond, kind: limitServer, param: "1.5", target: target, duration: p.length})
	}
	reportFindings(t, p, p.run(t))
}

// recordLeavingAnswer records since when a server's answers say that it leaves.
func (h *history) recordLeavingAnswer(r report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leavingAnswers[r.Server] = time.Unix(0, r.At)
}

// checkLeavingAnswers checks that a server that has said in an answer that it leaves gets nothing
// more from the daemon that passed the answer on, whatever the store says.
func (h *history) checkLeavingAnswers(add findingFunc) {
	for server, from := range h.leavingAnswers {
		told := h.firstAnswers(server, from)
		var late []string
		for _, o := range h.outcomes {
			at, known := told[o.daemon]
			if !known || o.sent.Before(at.Add(leavingAnswerDelay)) || h.daemonDisrupted(o.daemon, from, o.done) {
				continue
			}
			for _, r := range h.runs[o.id] {
				if r.server == server {
					late = append(late, o.id)
				}
			}
		}
		if len(late) > 0 {
			add("nothing new for a server that has said that it leaves", "%s got %d requests over %s after the answer, the first %s", server, len(late), leavingAnswerDelay, late[0])
		}
	}
}

// turnAwayInterval is the mean interval at which servers start to turn requests away.
const turnAwayInterval = 6 * time.Second

var turnAwaySeconds = []string{"0.7", "2", "5"} // seconds

// drawTurnAways returns periods in which servers turn requests away.
func drawTurnAways(seed uint64, length time.Duration, servers int) []disruption {
	return drawEach(seed, 5, turnAwayInterval, length, func(rng *rand.Rand) disruption {
		seconds := turnAwaySeconds[rng.IntN(len(turnAwaySeconds))]
		lasts := minDuration + time.Duration(rng.Int64N(int64(maxDuration)))
		return disruption{kind: turnAway, param: seconds, target: rng.IntN(servers), duration: lasts}
	})
}

// turnedAway is a request that a server turned away with a back-off.
type turnedAway struct {
	id, server string
	at         time.Time
	span       time.Duration
}

// addTurned records a request that was turned away.
func (h *history) addTurned(r report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.turned = append(h.turned, turnedAway{id: r.ID, server: r.Server, at: time.Unix(0, r.At), span: time.Duration(r.Number * float64(time.Second))})
}

// checkTurnedAway checks that a server that has turned a daemon's request away gets no more from
// it during the back-off than what was already under way.
func (h *history) checkTurnedAway(add findingFunc) {
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
		from, to := t.at.Add(answerDelay), t.at.Add(t.span)
		for _, a := range all {
			if a.daemon == daemons[t.id] && a.server == t.server && a.at.After(from) && a.at.Before(to) {
				n++
			}
		}
		if n > maxTurnedAway && !h.daemonDisrupted(daemons[t.id], t.at, to) {
			add("a server that turns away is left alone", "%s got %d requests from %s in its back-off of %s", t.server, n, daemons[t.id], t.span)
			return // one finding is enough; each request in the back-off would give another
		}
	}
}

// TestServersThatAnnounceLeavingGetNothingMoreDuringStoreOutage guards against daemons that
// prefer the store's old entry of a server to the server's own answer.
func TestServersThatAnnounceLeavingGetNothingMoreDuringStoreOutage(t *testing.T) {
	t.Parallel()
	const servers = 3 // of each service; those of both come in turn
	p := scenario{seed: 1, length: 7 * time.Second, daemons: 3, servers: servers, recovery: recoveryWait}
	p.plan = []disruption{{at: 100 * time.Millisecond, kind: disruptStore, param: "hangs", duration: p.length}}
	for target := range 2 * (servers - 1) { // one of each stays
		p.plan = append(p.plan, disruption{at: 200 * time.Millisecond, kind: rollServer, target: target})
	}
	reportFindings(t, p, p.run(t))
}

// TestServersThatTurnRequestsAwayGetNoneDuringTheirBackOff guards against daemons that send to a
// server during the back-off that it has told them.
func TestServersThatTurnRequestsAwayGetNoneDuringTheirBackOff(t *testing.T) {
	t.Parallel()
	const servers = 3 // of each service; those of both come in turn
	p := scenario{seed: 1, length: 7 * time.Second, daemons: 3, servers: servers, recovery: recoveryWait}
	for target := range 2 * servers { // all, so that there is no better choice
		p.plan = append(p.plan, disruption{at: 200 * time.Millisecond, kind: turnAway, param: "3", target: target, duration: p.length})
	}
	reportFindings(t, p, p.run(t))
}

// TestBackOffOfARestartedServerHolds guards against requests during the back-off of a server that
// has restarted under its id and turned requests away before the store reported the restart.
func TestBackOffOfARestartedServerHolds(t *testing.T) {
	t.Parallel()
	p := scenario{seed: 1, length: 7 * time.Second, daemons: 3, servers: 3, recovery: recoveryWait}
	p.plan = []disruption{{at: 100 * time.Millisecond, kind: disruptStore, param: "hangs", duration: 2 * time.Second}}
	for target := range 2 { // one of each service
		p.plan = append(p.plan, disruption{at: 200 * time.Millisecond, kind: restartServer, target: target, duration: 100 * time.Millisecond})
	}
	for target := range 2 {
		p.plan = append(p.plan, disruption{at: time.Second, kind: turnAway, param: "5", target: target, duration: 500 * time.Millisecond})
	}
	reportFindings(t, p, p.run(t))
}
