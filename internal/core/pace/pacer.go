package pace

import (
	"maps"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/notice"
)

// Shares of a limit that one host gives out.
const (
	// FullShare is for the host that gives out the turns for all.
	FullShare = 1.0
	// FallbackShare is for a host that is asked instead, perhaps by some hosts only while the first
	// one still gives out turns to others.
	FallbackShare = 0.25
)

const (
	// minPerSecond is given out however low the limit is: only an answer to a request shows
	// that the limit has ended.
	minPerSecond = 0.1
	// burst is how many turns may be given out at once after an idle time.
	burst = 2
)

// Pacer gives out turns. It is not safe for concurrent use.
//
// Invariant: while an upstream has a limit or is cold, the turns given out for it in any period
// exceed what the share of the limit allows in that period by at most burst, and none falls
// within one interval of the first report, for another host may have given out some.
type Pacer struct {
	share     float64
	upstreams map[string]*upstream
}

type upstream struct {
	limit notice.Limit
	cold  ColdLimit
	next  time.Time // the earliest turn; in the past while unused turns remain
}

// ColdLimit is the limit of a cold upstream. It expires at Until.
type ColdLimit struct {
	Upstream  string  // ID of the incarnation
	PerSecond float64 // requests from all hosts together
	Until     time.Time
}

// New returns a Pacer without limits that gives out FallbackShare of those reported to it.
func New() *Pacer { return &Pacer{share: FallbackShare, upstreams: map[string]*upstream{}} }

// SetShare sets the share of the limits that is given out.
func (p *Pacer) SetShare(share float64) { p.share = share }

// SetLimit takes in a limit that a host reports, unless a later report of it is known.
func (p *Pacer) SetLimit(l notice.Limit, now time.Time) {
	u := p.upstreams[l.Upstream]
	switch {
	case u == nil && !l.Limited:
		return
	case u == nil:
		u = &upstream{}
		p.upstreams[l.Upstream] = u
	case l.At.Before(u.limit.At):
		return
	}
	began, raised := l.Limited && !u.limit.Limited, l.PerSecond > u.limit.PerSecond
	u.limit = l
	earliest := now.Add(p.interval(u, now))
	if began || raised && u.next.After(earliest) {
		u.next = earliest
	}
}

// SetCold takes in that an upstream is cold, and until when; a time in the past says that it is
// warm. The requests sent to it while it counted as warm are not known here, so the next turn is
// an interval from now.
func (p *Pacer) SetCold(c ColdLimit, now time.Time) {
	u := p.upstreams[c.Upstream]
	if u == nil {
		if !c.Until.After(now) {
			return
		}
		u = &upstream{}
		p.upstreams[c.Upstream] = u
	}
	began := c.Until.After(now) && !u.cold.Until.After(now)
	u.cold = c
	earliest := now.Add(p.interval(u, now))
	if began && (!u.limit.Limited || u.next.Before(earliest)) {
		u.next = earliest
	}
}

// ColdLimit returns the limit of a cold upstream; ok is false when the upstream is not cold.
func (p *Pacer) ColdLimit(id string, now time.Time) (c ColdLimit, ok bool) {
	u := p.upstreams[id]
	if u == nil || !now.Before(u.cold.Until) {
		return ColdLimit{}, false
	}
	return u.cold, true
}

// limited reports whether an upstream has a limit or is cold at a time.
func (u *upstream) limited(at time.Time) bool { return u.limit.Limited || at.Before(u.cold.Until) }

// interval returns the time between two turns.
func (p *Pacer) interval(u *upstream, at time.Time) time.Duration {
	perSecond := u.limit.PerSecond
	switch {
	case !u.limit.Limited: // a turn given out while it is cold may lie after the end of the cold limit
		perSecond = u.cold.PerSecond
	case at.Before(u.cold.Until):
		perSecond = min(perSecond, u.cold.PerSecond)
	}
	rate := p.share * max(perSecond, minPerSecond)
	return time.Duration(float64(time.Second) / rate)
}

// NextTurn returns the earliest turn at an upstream; limited is false when requests may be sent
// to it at any time.
func (p *Pacer) NextTurn(id string, now time.Time) (turn time.Time, limited bool) {
	u := p.upstreams[id]
	if u == nil || !u.limited(now) {
		return now, false
	}
	if u.next.Before(now) {
		return now, true
	}
	return u.next, true
}

// TakeTurn takes a turn, which must not be before the next one.
func (p *Pacer) TakeTurn(id string, turn time.Time) {
	u := p.upstreams[id]
	if u == nil {
		return
	}
	interval := p.interval(u, turn)
	if left := turn.Add(-(burst - 1) * interval); u.next.Before(left) {
		u.next = left
	}
	u.next = u.next.Add(interval)
}

// Admit takes the next turn if the wait for it is at most within, and returns the wait; ok is
// false when it is longer.
func (p *Pacer) Admit(id string, within time.Duration, now time.Time) (wait time.Duration, ok bool) {
	turn, limited := p.NextTurn(id, now)
	wait = turn.Sub(now)
	if wait > within {
		return wait, false
	}
	if limited {
		p.TakeTurn(id, turn)
	}
	return wait, true
}

// retention is how long the limit of an upstream that is not listed is kept after the last
// report: the upstream may be listed again.
const retention = time.Minute

// RetainListed drops upstreams that are not listed, or have no limit any more, retention after
// the last report.
func (p *Pacer) RetainListed(listed func(id string) bool, now time.Time) {
	maps.DeleteFunc(p.upstreams, func(id string, u *upstream) bool {
		over := !u.limited(now) || !listed(id)
		return over && now.Sub(u.limit.At) > retention && now.Sub(u.cold.Until) > retention
	})
}
