package ledger

import "time"

// Turns lets one gang of a pool gather at a time. It only avoids contention: if
// two hosts both grant a turn, that costs retries but no deadlock, as all gangs
// reserve their members in the same order and keep all or none. A turn expires,
// so a lost ReleaseTurn or a crashed front blocks others only briefly.
type Turns struct {
	limit time.Duration
	pools map[string]*turn
}

// turn is the turn of one pool and the queue for it.
type turn struct {
	gang    string // that has the turn; empty if none has
	expires time.Time
	waiting []waiter
}

type waiter struct {
	gang  string
	asked time.Time // last request for the turn
}

// Fractions of a turn's limit, as divisors.
const (
	queueKeptDivisor  = 2  // how long a gang that no longer asks keeps its place in the queue
	firstRetryDivisor = 64 // after which the first in the queue asks again
	maxRetryDivisor   = 4  // longest time after which any other asks again
)

// NewTurns returns Turns whose turns expire after limit.
func NewTurns(limit time.Duration) *Turns {
	return &Turns{limit: limit, pools: map[string]*turn{}}
}

// Acquire asks for a pool's turn. Gangs get it in the order in which they first
// asked; asking again is idempotent. If ok is false, ask again after wait.
func (t *Turns) Acquire(pool, gang string, now time.Time) (wait time.Duration, ok bool) {
	p := t.pools[pool]
	if p == nil {
		p = &turn{}
		t.pools[pool] = p
	}
	if p.gang != "" && !now.Before(p.expires) {
		p.gang = ""
	}
	p.enqueue(gang, now, t.limit/queueKeptDivisor)
	if p.gang == "" && p.waiting[0].gang == gang {
		p.gang = gang
		p.expires = now.Add(t.limit)
		p.waiting = p.waiting[1:]
		return 0, true
	}
	if p.gang == gang {
		return 0, true
	}
	return min(t.limit/firstRetryDivisor*time.Duration(p.position(gang)+1), t.limit/maxRetryDivisor), false
}

// position returns a gang's place in the queue, from 0.
func (p *turn) position(gang string) int {
	for i, w := range p.waiting {
		if w.gang == gang {
			return i
		}
	}
	return len(p.waiting)
}

// enqueue adds a gang to the queue and removes those that have not asked within
// limit.
func (p *turn) enqueue(gang string, now time.Time, limit time.Duration) {
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
