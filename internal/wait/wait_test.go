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
