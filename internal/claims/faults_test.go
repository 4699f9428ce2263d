package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

func TestAppendFaults(t *testing.T) {
	for name, c := range map[string]struct {
		faults []fault
		claims int // records in the log afterwards
	}{
		"no effect":        {[]fault{noEffect, noEffect}, 1},
		"lost answer":      {[]fault{lostReply}, 1},
		"doubled":          {[]fault{appendedTwice}, 2},
		"no effect, twice": {[]fault{noEffect, appendedTwice}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, "a", "b")
			s.log.update(func() { s.log.faults = c.faults })
			r := s.mustHold("b", "k")
			if claims, _ := s.log.records("k"); claims != c.claims || !r.Permit.Dispatch(time.Now()) {
				t.Errorf("%d claim records, want %d; permit %v", claims, c.claims, r.Permit.State())
			}
			if again, err := s.acquire("a", "k"); err != nil || again.HoldsKey() || again.Offset != r.Offset {
				t.Errorf("second acquire: %+v, %v", again, err)
			}
		})
	}
}

// With half of the appends failing in some way, combiners becoming unreachable and
// reachable again and keys being released, no key is dispatched twice and each key
// can be dispatched in the end.
func TestRandomFaultsNeverDispatchTwice(t *testing.T) {
	const keys, workers, acquiresPerWorker = 8, 6, 40
	s := newSite(t, "a", "b", "c")
	rng := rand.New(rand.NewPCG(1, 2))
	for range workers * acquiresPerWorker {
		f := []fault{noEffect, lostReply, appendedTwice, noFault, noFault, noFault}[rng.IntN(6)]
		s.log.faults = append(s.log.faults, f)
	}
	var dispatches [keys]atomic.Int64
	try := func(rng *rand.Rand, host string, n int) {
		r, err := s.acquire(host, fmt.Sprint(n))
		switch {
		case err != nil || !r.HoldsKey():
		case rng.IntN(2) == 0:
			s.hosts[host].Release(r)
		case r.Permit.Dispatch(time.Now()):
			dispatches[n].Add(1)
		}
	}
	var wg sync.WaitGroup
	for w := range workers {
		rng := rand.New(rand.NewPCG(3, uint64(w)))
		wg.Go(func() {
			for i := range acquiresPerWorker {
				if w == 0 {
					s.setDown(s.names[i%2], rng.IntN(2) == 0)
				}
				try(rng, s.names[rng.IntN(3)], rng.IntN(keys))
			}
		})
	}
	wg.Wait()
	s.log.update(func() { s.log.faults = nil })
	for n := range dispatches {
		eventually(t, fmt.Sprintf("key %d dispatched", n), func() bool {
			try(rng, "c", n)
			return dispatches[n].Load() > 0
		})
		if d := dispatches[n].Load(); d != 1 {
			t.Errorf("key %d: %d dispatches", n, d)
		}
	}
}

func TestUnavailableLogRefusesAndRecovers(t *testing.T) {
	s := newSite(t, "a", "b")
	s.log.update(func() { s.log.noLog = true })
	_, err := s.acquire("b", "k")
	if r := wantCode(t, err, request.CodeKeyUnavailable); r.RetryAfter <= 0 {
		t.Error("no Retry-After")
	}
	s.log.update(func() { s.log.noLog = false })
	eventually(t, "a claim is held again", func() bool {
		r, err := s.acquire("b", "k")
		return err == nil && r.HoldsKey()
	})
}

func TestAppendsFailUntilDeadline(t *testing.T) {
	s := newSite(t, "a")
	s.log.update(func() { s.log.faults = make([]fault, 100_000) }) // no effect
	a := newRequest("k")
	a.NotAfter = time.Now().Add(300 * time.Millisecond)
	_, err := s.hosts["a"].Acquire(context.Background(), a)
	wantCode(t, err, request.CodeKeyUnavailable)
	s.log.update(func() { s.log.faults = nil })
	eventually(t, "another claim holds the key", func() bool {
		r, err := s.acquire("a", "k")
		return err == nil && r.HoldsKey()
	})
	if claims, _ := s.log.records("k"); claims != 1 {
		t.Errorf("%d claim records: one whose caller no longer waits was appended", claims)
	}
}

func TestAcquireWithCombinersDown(t *testing.T) {
	s := newSite(t, "a", "b", "c", "d")
	first := s.mustHold("d", "k")
	for _, name := range []string{"a", "b", "c"} {
		s.setDown(name, true)
		r, err := s.acquire("d", "k")
		if err != nil || r.HoldsKey() || r.Offset != first.Offset {
			t.Errorf("without %s: %+v, %v", name, r, err)
		}
		s.mustHold("d", "without "+name)
	}
}
