package cost

import (
	"testing"
	"time"
)

// sampleFigures are the figures of a typical site's engines.
var sampleFigures = Figures{
	Slots: 16, Memory: 450_000, Stride: 46, Chunk: 2048, StepMs: 0.925, PerSeqMs: 0.00483,
	ContextPerK: 0.00254, PrefillTokensPerMs: 256, PairsMsPerM: 0.0917,
}

func TestPrefillTimeGrowsWithThePairs(t *testing.T) {
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
		if got := sampleFigures.PrefillTime(c.tokens); got < c.from || got > c.to {
			t.Errorf("%d tokens: %v, want %v to %v", c.tokens, got, c.from, c.to)
		}
	}
}

func TestStepTimeGrowsWithDecodesAndContext(t *testing.T) {
	if sampleFigures.StepTime(10, 50_000) <= sampleFigures.StepTime(1, 5_000) {
		t.Error("a step with more decodes and context is not longer")
	}
	if got, want := sampleFigures.DecodeTime(100, 1, 0), 100*sampleFigures.StepTime(1, 0); got != want {
		t.Errorf("decode took %v, want %v", got, want)
	}
}
