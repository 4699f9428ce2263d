package placement

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func TestGangMembersHoldTheRequest(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(31)
	properties := gopter.NewProperties(params)
	properties.Property("parts add up to the need and fit their engines", prop.ForAll(
		func(sizes []int64, tokens int) bool {
			now := time.Unix(1_800_000_000, 0)
			v := NewView(Options{})
			specs := make([]Spec, len(sizes))
			for i := range sizes {
				specs[i] = Spec{Name: string(rune('a' + i)), Address: "127.0.0.1:1", Domain: "d"}
			}
			v.SetPool("p", specs)
			var all int64
			for i, size := range sizes {
				v.ApplyReport(specs[i].Name, Report{Incarnation: "1", Seq: 1, Taken: now, MemoryTotal: size, Models: []string{"m"}})
				all += size
			}
			a := Request{Pool: "p", Model: "m", Domain: "d", Tokens: tokens, MaxTokens: 10}
			members := GangMembers(v, a, now)
			if a.MemoryNeeded() > all {
				return members == nil
			}
			var sum int64
			for _, m := range members {
				e := v.Engine(m.Name)
				if m.Tokens > e.report.MemoryTotal {
					return false
				}
				sum += m.Tokens
			}
			return sum >= a.MemoryNeeded()
		},
		gen.SliceOfN(6, gen.Int64Range(1000, 500_000)),
		gen.IntRange(1, 3_000_000),
	))
	properties.TestingRun(t)
}
