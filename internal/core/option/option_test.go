package option

import (
	"testing"
	"time"
)

func TestDefault(t *testing.T) {
	for given, want := range map[time.Duration]time.Duration{0: 5, -1: 5, 3: 3} {
		got := given
		Default(&got, 5)
		if got != want {
			t.Errorf("%d became %d, want %d", given, got, want)
		}
	}
}
