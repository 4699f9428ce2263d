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

// Limits of the wait until all daemons have applied a settings change.
const (
	offsetPollInterval = 50 * time.Millisecond
	offsetTimeout      = time.Minute
)

// durationStats holds quantiles of durations in seconds.
type durationStats struct {
	Number int     `json:"number"`
	P50    float64 `json:"p50_seconds"`
	P95    float64 `json:"p95_seconds"`
	Max    float64 `json:"max_seconds"`
}

// newDurationStats returns the statistics of durations, nil when there are none. It
// sorts its argument.
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

// changeSettings publishes changes at a constant rate until the context ends, and
// returns how long each took from the start of the publishing command until all
// daemons had applied it.
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

// changeOnce publishes a new text of a team's document and returns how long it took
// until all daemons had applied it. It does not use the context of the measurement,
// so that a change in progress at its end is completed and counted.
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

// awaitOffset waits until all daemons have applied the settings log up to an offset.
func (s *site) awaitOffset(offset float64) error {
	began := time.Now()
	waiting := append([]*daemon(nil), s.daemons...)
	for len(waiting) > 0 {
		if time.Since(began) > offsetTimeout {
			return fmt.Errorf("%d daemons have not applied offset %.0f after %s", len(waiting), offset, offsetTimeout)
		}
		var lagging []*daemon
		for _, d := range waiting {
			sm, err := d.sample()
			if err != nil {
				return err
			}
			if sm.offset < offset {
				lagging = append(lagging, d)
			}
		}
		if waiting = lagging; len(waiting) > 0 {
			time.Sleep(offsetPollInterval)
		}
	}
	return nil
}

func (s *site) settingsDir() string { return filepath.Join(s.dir, "settings") }

// applyCommand returns the command that publishes the site's settings through a daemon.
func (s *site) applyCommand(ctx context.Context, o options, d *daemon) *exec.Cmd {
	return exec.CommandContext(ctx, filepath.Join(o.bin, "buckthorndock"),
		"--address", d.address, "--token", operatorToken, "settings", "apply", s.settingsDir())
}
