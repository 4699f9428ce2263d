package ledger

import "time"

// Turns lets one gang of a pool gather at a time. It is a courtesy: two hosts
// that both give a turn cost retries and never a member, as each gang asks its
// members in one order and keeps all or none. A turn lapses by itself, so a lost
// GiveTurn or a dead front holds up nobody for long.
type Turns struct {
	limit time.Duration
	pools map[string]*turn
}

type turn struct {
	gang    string
	expires time.Time
	waiting []waiter
}

type waiter struct {
	gang  string
	asked time.Time
}

// Shares of a turn's limit: how long a gang that has stopped asking keeps its
// place in the queue, when the first in the queue asks again, and the longest
// wait of the others.
const (
	shareKept  = 2
	shareFirst = 64
	shareLast  = 4
)

// NewTurns returns Turns whose turns lapse after limit.
func NewTurns(limit time.Duration) *Turns {
	return &Turns{limit: limit, pools: map[string]*turn{}}
}

// Acquire asks for a pool's turn. Gangs get it in the order in which they first
// asked; asking again is idempotent. When ok is false, wait is when to ask again.
func (t *Turns) Acquire(pool, gang string, now time.Time) (wait time.Duration, ok bool) {
	p := t.pools[pool]
	if p == nil {
		p = &turn{}
		t.pools[pool] = p
	}
	if p.gang != "" && !now.Before(p.expires) {
		p.gang = ""
	}
	p.note(gang, now, t.limit/shareKept)
	if p.gang == "" && p.waiting[0].gang == gang {
		p.gang = gang
		p.expires = now.Add(t.limit)
		p.waiting = p.waiting[1:]
		return 0, true
	}
	if p.gang == gang {
		return 0, true
	}
	return min(t.limit/shareFirst*time.Duration(p.place(gang)+1), t.limit/shareLast), false
}

func (p *turn) place(gang string) int {
	for i, w := range p.waiting {
		if w.gang == gang {
			return i
		}
	}
	return len(p.waiting)
}

// note puts a gang into the queue and drops those that ask no longer.
func (p *turn) note(gang string, now time.Time, limit time.Duration) {
	if p.gang == gang {
		return
	}
	kept := p.waiting[:0]
	found := false
	for _, w := range p.waiting {
		if w.gang == gang {
			w.asked = now
			found = true
		}
		if now.Sub(w.asked) <= limit {
			kept = append(kept, w)
		}
	}
	if !found {
		kept = append(kept, waiter{gang: gang, asked: now})
	}
	p.waiting = kept
}

// Release gives a turn back. It is idempotent.
func (t *Turns) Release(pool, gang string) {
	if p := t.pools[pool]; p != nil && p.gang == gang {
		p.gang = ""
	}
}
