package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
)

// pausingSender is a script one of whose engines is silent for a while.
type pausingSender struct {
	*script
	engine   string
	from, to time.Time
	renewed  map[string]time.Time // by engine: when its lease was last renewed
	lapsed   map[string]bool      // engines whose leases were renewed too late
}

// await waits while an engine is silent. Calls that arrive meanwhile are answered afterwards.
func (s *pausingSender) await(ctx context.Context, engine string) error {
	now := time.Now()
	if engine != s.engine || now.Before(s.from) || !now.Before(s.to) {
		return nil
	}
	select {
	case <-time.After(s.to.Sub(now)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *pausingSender) Reserve(ctx context.Context, on booking.Part, life time.Duration) error {
	if err := s.await(ctx, on.Upstream); err != nil {
		return err
	}
	s.mu.Lock()
	if last, ok := s.renewed[on.Upstream]; ok && time.Since(last) > leaseLifetime {
		s.lapsed[on.Upstream] = true
	}
	s.renewed[on.Upstream] = time.Now()
	s.mu.Unlock()
	return s.script.Reserve(ctx, on, life)
}

func (s *pausingSender) Report(ctx context.Context, on booking.Part) (Report, error) {
	if err := s.await(ctx, on.Upstream); err != nil {
		return Report{}, err
	}
	return s.script.Report(ctx, on)
}

// TestEngineThatIsSilentForASecondKeepsItsRun guards against long prompts that are given up, or
// lose their memory, because one of their engines falls silent for a second and goes on.
func TestEngineThatIsSilentForASecondKeepsItsRun(t *testing.T) {
	const silence = 1200 * time.Millisecond
	for _, engine := range []string{"first", "e1", "e2"} {
		for offset := time.Duration(0); offset < 2*leaseRenewInterval; offset += 100 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				s := &pausingSender{script: &script{born: 10}, engine: engine, renewed: map[string]time.Time{}, lapsed: map[string]bool{}}
				l := newLeases(t, s.script)
				l.sender = s
				s.from = time.Now().Add(offset)
				s.to = s.from.Add(silence)
				s.renewed["e1"], s.renewed["e2"] = time.Now(), time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				if lost := l.renew(ctx, leaseRenewInterval); lost != nil {
					t.Errorf("%s silent from %s: %v", engine, offset, lost)
				}
				for name := range s.lapsed {
					t.Errorf("%s silent from %s: the lease on %s has lapsed", engine, offset, name)
				}
			})
		}
	}
}
