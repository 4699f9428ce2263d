package pace

import (
	"maps"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/notice"
)

// Shares of a limit that one host gives out.
const (
	// FullShare is for the host that gives the turns to all.
	FullShare = 1.0
	// FallbackShare is for one that is asked in its place, perhaps only by some while it still
	// gives turns to others.
	FallbackShare = 0.25
)

const (
	// minPerSecond is given out whatever the limit is: only an answer tells that it has
	// ended.
	minPerSecond = 0.1
	// burst is how many turns may be given at once after a quiet time.
	burst = 2
)

// Pacer gives turns. It is not safe for concurrent use.
//
// Invariant: while the limit of an upstream stands, or it is cold, at most burst turns more are
// given there in any time than the share of the limit allows in it, and none within an interval
// of the first word of it, for another host may have given some.
type Pacer struct {
	share     float64
	upstreams map[string]*upstream
}

type upstream struct {
	limit notice.Limit
	cold  ColdLimit
	next  time.Time // the earliest turn; in the past where turns are left
}

// ColdLimit is the limit of an upstream that is cold: it ends by itself.
type ColdLimit struct {
	Upstream  string  // ID of the life
	PerSecond float64 // requests from all hosts together
	Until     time.Time
}

// New returns a Pacer that knows no limits and gives a deputy's share of those it hears.
func New() *Pacer { return &Pacer{share: FallbackShare, upstreams: map[string]*upstream{}} }

// SetShare changes the share of the limits that is given out.
func (p *Pacer) SetShare(share float64) { p.share = share }

// SetLimit takes in what some host has heard of a limit. Of two words the later one holds.
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
	soonest := now.Add(p.interval(u, now))
	if began || raised && u.next.After(soonest) {
		u.next = soonest
	}
}

// SetCold takes in that an upstream is cold, and until when; a time that has passed says that it
// is warm. Turns that it was given while it was taken for warm are not known, so the next one
// is after an interval.
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
	soonest := now.Add(p.interval(u, now))
	if began && (!u.limit.Limited || u.next.Before(soonest)) {
		u.next = soonest
	}
}

// ColdLimit returns until when an upstream is cold; ok is false when it is not.
func (p *Pacer) ColdLimit(id string, now time.Time) (c ColdLimit, ok bool) {
	u := p.upstreams[id]
	if u == nil || !now.Before(u.cold.Until) {
		return ColdLimit{}, false
	}
	return u.cold, true
}

// limited reports whether an upstream takes a bounded number of requests at a time.
func (u *upstream) limited(at time.Time) bool { return u.limit.Limited || at.Before(u.cold.Until) }

// interval returns the time between two turns.
func (p *Pacer) interval(u *upstream, at time.Time) time.Duration {
	perSecond := u.limit.PerSecond
	switch {
	case !u.limit.Limited: // turns that were given while it is cold may be after it
		perSecond = u.cold.PerSecond
	case at.Before(u.cold.Until):
		perSecond = min(perSecond, u.cold.PerSecond)
	}
	rate := p.share * max(perSecond, minPerSecond)
	return time.Duration(float64(time.Second) / rate)
}

// NextTurn returns the earliest turn at an upstream; limited is false when it may be sent to at
// any time.
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

// TakeTurn takes a turn that is not before the next one.
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

// Admit takes the next turn if it is within a time, and returns the wait for it.
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

// retention is how long a limit of an upstream that is not listed is kept after it was heard:
// the upstream may come back.
const retention = time.Minute

// RetainListed forgets the limits of upstreams that are not listed, after a while.
func (p *Pacer) RetainListed(listed func(id string) bool, now time.Time) {
	maps.DeleteFunc(p.upstreams, func(id string, u *upstream) bool {
		over := !u.limited(now) || !listed(id)
		return over && now.Sub(u.limit.At) > retention && now.Sub(u.cold.Until) > retention
	})
}
