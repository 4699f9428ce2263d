// Package wait waits for a time, once or periodically, or until a context ends.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns false if the context ended first.
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

// Until waits until done is closed. It returns false if the context ended first.
func Until(ctx context.Context, done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// Every calls fn at intervals of d, first after d, until the context ends. Ticks that pass
// during a slow call are dropped.
func Every(ctx context.Context, d time.Duration, fn func(now time.Time)) {
	ticker := time.NewTicker(d)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			fn(now)
		case <-ctx.Done():
			return
		}
	}
}
