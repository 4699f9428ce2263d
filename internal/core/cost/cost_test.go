package cost

import (
	"testing"
	"time"
)

// today are the figures of the engines of today's sites.
var today = Figures{
	Slots: 16, Memory: 450_000, Stride: 46, Chunk: 2048, StepMs: 0.925, PerSeqMs: 0.00483,
	ContextPerK: 0.00254, PrefillTokensPerMs: 256, PairsMsPerM: 0.0917,
}

func TestReadGrowsWithThePairs(t *testing.T) {
	cases := []struct {
		tokens   int
		from, to time.Duration
	}{
		{5_000, 20 * time.Millisecond, 22 * time.Millisecond},
		{45_000, 260 * time.Millisecond, 275 * time.Millisecond},
		{210_000, 2800 * time.Millisecond, 2900 * time.Millisecond},
		{1_000_000, 49 * time.Second, 51 * time.Second},
	}
	for _, c := range cases {
		if got := today.PrefillTime(c.tokens); got < c.from || got > c.to {
			t.Errorf("%d tokens: %v, want %v to %v", c.tokens, got, c.from, c.to)
		}
	}
}

func TestStepGrowsWithWritersAndContext(t *testing.T) {
	if today.StepTime(10, 50_000) <= today.StepTime(1, 5_000) {
		t.Error("a step beside others is not longer")
	}
	if got, want := today.DecodeTime(100, 1, 0), 100*today.StepTime(1, 0); got != want {
		t.Errorf("writing took %v, want %v", got, want)
	}
}
