package bench

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

// Comparison is the same load under several placement policies.
type Comparison struct {
	Policies []PolicyResult `json:"policies"`
}

// PolicyResult is what came of one policy.
type PolicyResult struct {
	Policy   string        `json:"policy"`
	Mix      *Report       `json:"mix"`
	Alone    *Report       `json:"alone"` // the short requests alone, same seed
	Slowdown ShortSlowdown `json:"slowdown_of_short"`
}

// ShortSlowdown is the first token of short requests in the mix against the same
// requests alone.
type ShortSlowdown struct {
	MixP95Ms   float64 `json:"mix_p95_ms"`
	AloneP95Ms float64 `json:"alone_p95_ms"`
	Ratio      float64 `json:"ratio"`
}

// CompareOptions set up a comparison.
type CompareOptions struct {
	Policies []string
	// SetPolicy puts a policy in force and returns once every daemon follows it.
	SetPolicy func(ctx context.Context, policy string) error
	// Send sends a schedule; Run with its options in practice.
	Send func(ctx context.Context, arrivals []Arrival) []Record
	// Pause is the time between two runs, in which the site comes to rest.
	Pause time.Duration
	// Daemons is the number of daemons that take the load.
	Daemons int
}

// Compare runs a mix and its short requests alone under each policy.
func Compare(ctx context.Context, m *Mix, s Scale, seed uint64, o CompareOptions) (*Comparison, error) {
	arrivals := Schedule(m, s, seed)
	alone := ShortArrivals(m, arrivals)
	c := &Comparison{}
	for _, policy := range o.Policies {
		if err := o.SetPolicy(ctx, policy); err != nil {
			return nil, merry.Prependf(err, "set policy %s", policy)
		}
		report := func(as []Arrival) *Report {
			wait.For(ctx, o.Pause)
			r := NewReport(m, s, seed, o.Daemons, o.Send(ctx, as))
			r.Policy = policy
			return r
		}
		res := PolicyResult{Policy: policy, Alone: report(alone), Mix: report(arrivals)}
		res.Slowdown = newSlowdown(res.Mix, res.Alone)
		c.Policies = append(c.Policies, res)
		if err := ctx.Err(); err != nil {
			return nil, merry.Prependf(err, "policy %s", policy)
		}
	}
	return c, nil
}

func newSlowdown(mix, alone *Report) ShortSlowdown {
	s := ShortSlowdown{MixP95Ms: mix.Short.FirstTokenMs.P95, AloneP95Ms: alone.Short.FirstTokenMs.P95}
	s.Ratio = ratio(s.MixP95Ms, s.AloneP95Ms)
	return s
}
