package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"time"
)

// Limits of a wait for settings.
const (
	offsetPollInterval = 50 * time.Millisecond // between two looks at the daemons that lag
	offsetTimeout      = time.Minute
)

// durationStats are seconds that something took.
type durationStats struct {
	Number int     `json:"number"`
	P50    float64 `json:"p50_seconds"`
	P95    float64 `json:"p95_seconds"`
	Max    float64 `json:"max_seconds"`
}

func newDurationStats(all []time.Duration) *durationStats {
	if len(all) == 0 {
		return nil
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	at := func(q float64) float64 {
		i := int(math.Ceil(q*float64(len(all)))) - 1
		return all[max(i, 0)].Seconds()
	}
	return &durationStats{Number: len(all), P50: at(0.5), P95: at(0.95), Max: at(1)}
}

// changeSettings publishes changes at a steady rate until the context ends, and
// returns how long each took from the start of the publishing program until all
// daemons had it in force.
func (s *site) changeSettings(ctx context.Context, o options) ([]time.Duration, error) {
	ticker := time.NewTicker(time.Duration(float64(time.Minute) / o.changes))
	defer ticker.Stop()
	var took []time.Duration
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return took, nil
		}
		d, err := s.changeOnce(o, n)
		if err != nil {
			return took, err
		}
		took = append(took, d)
	}
}

// changeOnce publishes the next text of a team's document. It is not broken off
// when measuring ends, for half a change would be counted as none.
func (s *site) changeOnce(o options, n int) (time.Duration, error) {
	publisher := s.daemons[n%len(s.daemons)]
	text := fmt.Sprintf("requests: {max_tokens: %d}\n", 256+n)
	if err := os.WriteFile(filepath.Join(s.settingsDir(), "team.yaml"), []byte(text), 0o600); err != nil {
		return 0, err
	}
	began := time.Now()
	if out, err := s.applyCommand(context.Background(), o, publisher).CombinedOutput(); err != nil {
		return 0, fmt.Errorf("change %d: %w: %s", n, err, out)
	}
	sm, err := publisher.sample()
	if err != nil {
		return 0, err
	}
	if err := s.awaitOffset(sm.offset); err != nil {
		return 0, err
	}
	return time.Since(began), nil
}

// awaitOffset waits until all daemons have the record at the offset in force.
func (s *site) awaitOffset(offset float64) error {
	began := time.Now()
	waiting := append([]*daemon(nil), s.daemons...)
	for len(waiting) > 0 {
		if time.Since(began) > offsetTimeout {
			return fmt.Errorf("%d daemons without offset %.0f after %s", len(waiting), offset, offsetTimeout)
		}
		var still []*daemon
		for _, d := range waiting {
			sm, err := d.sample()
			if err != nil {
				return err
			}
			if sm.offset < offset {
				still = append(still, d)
			}
		}
		if waiting = still; len(waiting) > 0 {
			time.Sleep(offsetPollInterval)
		}
	}
	return nil
}

func (s *site) settingsDir() string { return filepath.Join(s.dir, "settings") }

// applyCommand returns the command that publishes the site's settings.
func (s *site) applyCommand(ctx context.Context, o options, d *daemon) *exec.Cmd {
	return exec.CommandContext(ctx, filepath.Join(o.bin, "buckthorndock"),
		"--address", d.address, "--token", operatorToken, "settings", "apply", s.settingsDir())
}
