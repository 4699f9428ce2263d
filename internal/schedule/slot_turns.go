package schedule

import (
	"context"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/slots"
)

// slotTimeout bounds a request for a slot, which the keeper may hold.
const slotTimeout = slots.HoldFor + placeTimeout

// askAgainDelay is the time after which a request asks again that was held in vain.
const askAgainDelay = time.Millisecond

// recheckInterval is the time between two checks of whether a held request gets a slot: servers that
// have turned calls away get room without a release.
const recheckInterval = 10 * time.Millisecond

// acquireHeld answers a request for a slot. One that is expected to get a slot soon is held until
// it is the next, because the slot would be idle until it asks again. The caller holds the lock,
// which is released meanwhile.
func (s *Service) acquireHeld(ctx context.Context, r slots.Request) slots.Grant {
	began := time.Now()
	g := s.slots.ledger.Acquire(r, began)
	if g.Verdict != slots.Wait || g.Wait > slots.HoldFor {
		return g
	}
	turn := make(chan struct{}, 1)
	s.slots.turns[r.ID] = turn
	for g.Verdict == slots.Wait && time.Since(began) < slots.HoldFor && ctx.Err() == nil {
		s.mu.Unlock()
		woken := awaitTurn(ctx, turn)
		s.mu.Lock()
		now := time.Now()
		if s.slots.turns[r.ID] != turn {
			return slots.Grant{} // the request was withdrawn or sent again
		}
		if woken {
			g = s.slots.ledger.Acquire(r, now)
		} else {
			s.recheckTurns(now)
		}
	}
	delete(s.slots.turns, r.ID)
	if g.Verdict == slots.Wait {
		g.Wait = askAgainDelay
	}
	return g
}

// awaitTurn waits until a held request is woken, but not for longer than recheckInterval. It reports
// whether it was woken.
func awaitTurn(ctx context.Context, turn <-chan struct{}) bool {
	timer := time.NewTimer(recheckInterval)
	defer timer.Stop()
	select {
	case <-turn:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// recheckTurns wakes the held requests that get a slot now or have become too late for one. One of
// them checks for all, at most once per recheckInterval. The caller holds the lock.
func (s *Service) recheckTurns(now time.Time) {
	if now.Sub(s.slots.rechecked) < recheckInterval {
		return
	}
	s.slots.rechecked = now
	s.slots.ledger.Expire(now)
	s.wakeNext(now)
	for id, turn := range s.slots.turns {
		if !s.slots.ledger.Waits(id) {
			wakeTurn(turn)
		}
	}
}

// endSlot ends a lease, or withdraws a request that waits. The caller holds the lock.
func (s *Service) endSlot(lease string, now time.Time) {
	s.slots.ledger.Release(lease, now)
	if turn, held := s.slots.turns[lease]; held {
		delete(s.slots.turns, lease)
		wakeTurn(turn)
	}
	s.wakeNext(now)
}

// wakeNext lets the held requests ask again that get a slot now. The caller holds the lock.
func (s *Service) wakeNext(now time.Time) {
	if len(s.slots.turns) == 0 {
		return
	}
	for _, id := range s.slots.ledger.Next(now) {
		wakeTurn(s.slots.turns[id])
	}
}

// wakeTurn wakes a held request, unless it is awake already or, with nil, not held.
func wakeTurn(turn chan<- struct{}) {
	select {
	case turn <- struct{}{}:
	default:
	}
}
