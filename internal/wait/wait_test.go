package wait

import (
	"context"
	"testing"
	"time"
)

func TestFor(t *testing.T) {
	if !For(t.Context(), time.Millisecond) || !For(t.Context(), 0) {
		t.Error("a wait was cut short")
	}
	ended, end := context.WithCancel(t.Context())
	end()
	if For(ended, time.Hour) || For(ended, 0) {
		t.Error("the end of the context was not seen")
	}
}

func TestUntil(t *testing.T) {
	done := make(chan struct{})
	ended, end := context.WithCancel(t.Context())
	end()
	if Until(ended, done) {
		t.Error("the end of the context was not seen")
	}
	close(done)
	if !Until(t.Context(), done) {
		t.Error("a wait was cut short")
	}
}

func TestEveryEndsWithItsContext(t *testing.T) {
	ctx, end := context.WithCancel(t.Context())
	calls := 0
	Every(ctx, time.Millisecond, func(time.Time) {
		if calls++; calls == 3 {
			end()
		}
	})
	if calls < 3 {
		t.Errorf("%d calls", calls)
	}
}
