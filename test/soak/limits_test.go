package soak

import (
	"slices"
	"testing"
	"time"
)

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
	told := map[string]time.Time{}
	for _, o := range h.outcomes {
		for _, r := range h.runs[o.id] {
			if r.server != l.server || !r.whole || r.at.Before(l.from) {
				continue
			}
			if at, known := told[o.daemon]; !known || o.done.Before(at) {
				told[o.daemon] = o.done
			}
		}
	}
	var all []time.Time
	for _, o := range h.outcomes {
		bound, known := told[o.daemon]
		for _, r := range h.runs[o.id] {
			over := !l.to.IsZero() && r.at.After(l.to)
			if r.server == l.server && known && r.at.After(bound.Add(limitTold)) && !over && !h.harmed(o.daemon, l.from, r.at) {
				all = append(all, r.at)
			}
		}
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
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
