package booking

import (
	"sync"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/cost"
)

// largeFigures are those that a fleet of some two hundred engines publishes.
var largeFigures = cost.Figures{
	Slots: 10, Memory: 450_000, Stride: 73, Chunk: 2048, StepMs: 0.925, PerSeqMs: 0.00483,
	ContextPerK: 0.00254, PrefillTokensPerMs: 256, PairsMsPerM: 0.0917, UsualPrompt: 15_000, UsualAnswer: 1700, MaxHelpers: 16,
}

// turns is a load that turns every ten seconds from many long prompts to many short ones
// and back, as when the audits of a night run beside the fridges that wake on the hour. The
// rates are those that 195 engines were bought for, times x; the factors of its spans keep
// the work of the long spans at two thirds of what the engines can read, as on the days that
// their users fear.
func turns(x float64) []phase {
	usual := []float64{282 * x, 30 * x, 6.9 * x}
	long := []float64{0.33 * 282 * x, 1.3 * 30 * x, 2.75 * 6.9 * x}
	short := []float64{2.5 * 282 * x, 0.5 * 30 * x, 0.05 * 6.9 * x}
	return []phase{
		{until: 1500 * time.Millisecond, rates: usual},
		{until: 11 * time.Second, rates: long},
		{until: 13 * time.Second, rates: usual},
		{until: 22500 * time.Millisecond, rates: short},
		{until: 23 * time.Second, rates: usual},
		{until: 32500 * time.Millisecond, rates: long},
		{until: 38 * time.Second, rates: usual},
	}
}

// shrinking is a load that turns while engines are taken away and, as it turns back to short
// prompts, a failure domain of five is cut off.
func shrinking() []phase {
	load := turns(1)
	load[5].away = 23
	load[6].away = 62
	return load
}

// steadyLong is a load without turns whose long prompts alone take four fifths of the
// engines.
func steadyLong() []phase {
	return []phase{{until: 30 * time.Second, rates: []float64{0.4 * 282, 30, 1.6 * 6.9}}}
}

// steady is a load without turns of a small site.
func steady() []phase {
	return []phase{{until: 30 * time.Second, rates: []float64{35, 2.6, 1.07}}}
}

// modelLoad is a load with the engines that bear it.
type modelLoad struct {
	name    string
	engines int
	figures cost.Figures
	phases  []phase
	limit   float64 // requests a second that each engine takes; zero: it names none
}

func modelLoads() []modelLoad {
	slow := largeFigures
	slow.PrefillTokensPerMs /= 2
	slow.PairsMsPerM *= 2
	return []modelLoad{
		{"large", 195, largeFigures, turns(1), 0},
		{"an eighth of the engines away", 172, largeFigures, turns(1), 0},
		{"engines go away", 195, largeFigures, shrinking(), 0},
		{"small", 26, largeFigures, turns(23.0 / 195), 0},
		{"middle", 78, largeFigures, turns(0.95 * 78 / 195), 0},
		{"engines half as fast", 195, slow, turns(0.55), 0},
		{"many long prompts all the time", 100, largeFigures, steadyLong(), 0},
		{"limits over the load", 23, largeFigures, steady(), 2.1},
		{"limits under the load", 23, largeFigures, steady(), 1.5},
	}
}

// play plays the load with some seeds.
func (l modelLoad) play(seeds int) []result {
	results := make([]result, seeds)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() {
			m := newModel(uint64(i+1), l.engines, l.figures)
			m.limit(l.limit)
			m.run(l.phases)
			results[i] = m.result()
		})
	}
	wg.Wait()
	return results
}

// TestTurnFromShortToLongPrompts is the pattern of the first second of a long span: writers
// of short answers on nearly all engines, and long prompts with seconds to spare. Those that
// can wait do, and the largest tenth, which needs most engines at once, does not pay for it.
func TestTurnFromShortToLongPrompts(t *testing.T) {
	paused, largest := 0, 0.0
	results := modelLoads()[0].play(3)
	for _, r := range results {
		paused += r.paused
		largest += r.largest.share() / float64(len(results))
		t.Logf("worth %.3f, largest %.3f, paused %d", r.all.share(), r.largest.share(), r.paused)
	}
	if paused > 150 {
		t.Errorf("%d answers paused too long", paused)
	}
	if largest < 0.80 {
		t.Errorf("the largest prompts earned %.2f of their worth", largest)
	}
}

// BenchmarkTurningLoad tells how well the book serves loads that turn, and one that does
// not, in shares of the worth that callers could earn; eight plays each.
func BenchmarkTurningLoad(b *testing.B) {
	for _, l := range modelLoads() {
		b.Run(l.name, func(b *testing.B) {
			for b.Loop() {
				results := l.play(8)
				n := float64(len(results))
				var worth, largest, paused, refused, lost float64
				for _, r := range results {
					worth += r.all.share() / n
					largest += r.largest.share() / n
					paused += float64(r.paused) / n
					refused += float64(r.all.refused) / n
					lost += float64(r.all.lost) / n
				}
				b.ReportMetric(worth, "worth")
				b.ReportMetric(largest, "worth-of-largest")
				b.ReportMetric(paused, "paused")
				b.ReportMetric(refused, "refused")
				b.ReportMetric(lost, "lost")
			}
		})
	}
}
