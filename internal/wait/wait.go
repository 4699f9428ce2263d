// Package wait has the waits of the shells round the cores: for a time, once or again and
// again, or less when a context ends.
package wait

import (
	"context"
	"time"
)

// For waits and reports false when the context ended first.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Every calls do each d, first after d, until the context ends. Calls that a slow one
// delays are left out.
func Every(ctx context.Context, d time.Duration, do func(now time.Time)) {
	ticker := time.NewTicker(d)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			do(now)
		case <-ctx.Done():
			return
		}
	}
}
