// Package wait has the one wait of the shells round the cores: for a time, or less when
// a context ends.
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
