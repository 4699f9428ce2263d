package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/settings"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var start = time.Unix(1_800_000_000, 0)

func check(t *testing.T, seed int64, name string, f any, gens ...gopter.Gen) {
	t.Helper()
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(seed))
	props.Property(name, prop.ForAll(f, gens...))
	props.TestingRun(t)
}

// site is a set of limiters that exchange digests.
type site struct {
	hosts   []*Limiter
	domains []string // of each host
}

func newSite(sizes ...int) *site {
	s := &site{}
	for d, size := range sizes {
		for h := range size {
			o := LimiterOptions{Host: fmt.Sprintf("host-%d-%d", d, h), Domain: fmt.Sprintf("hal-%d", d)}
			s.hosts = append(s.hosts, NewLimiter(o))
			s.domains = append(s.domains, o.Domain)
		}
	}
	return s
}

// addDemand puts random demand on some hosts.
func (s *site) addDemand(rng *rand.Rand, n Node, now time.Time) {
	for _, h := range s.hosts {
		for range rng.IntN(3) * rng.IntN(20) {
			h.Admit([]Node{n}, Cost{TotalTokens: 1 + rng.IntN(5000)}, now)
		}
	}
}

// exchange sends the digests of all hosts to all others: across domains only if
// linked, and then as the sum of a domain if sums is true.
func (s *site) exchange(sums, linked bool, now time.Time) {
	var us []Usage
	for _, h := range s.hosts {
		us = append(us, h.Usage(now))
	}
	for i, h := range s.hosts {
		var received []Usage
		for j, u := range us {
			if s.domains[i] == s.domains[j] || linked && !sums {
				received = append(received, u)
			}
		}
		h.ApplyPeers(received, now)
		h.Refresh(now)
	}
	for i, h := range s.hosts {
		for j := range s.hosts {
			if sums && linked && s.domains[i] != s.domains[j] {
				h.ApplyPeers([]Usage{s.hosts[j].DomainUsage()}, now)
			}
		}
	}
	for _, h := range s.hosts {
		h.Refresh(now)
	}
}

// total returns the sum of the shares and low, the smallest share of requests in
// flight.
func (s *site) total(n Node) (sum settings.Limits, low int) {
	low = n.Limits.RequestsInFlight
	for _, h := range s.hosts {
		share := h.Share(n)
		sum.RequestsInFlight += share.RequestsInFlight
		sum.PromptTokensInFlight += share.PromptTokensInFlight
		sum.TokensPerSecond += share.TokensPerSecond
		low = min(low, share.RequestsInFlight)
	}
	return sum, low
}

func TestSharesAddUpToTheLimit(t *testing.T) {
	check(t, 30, "shares of hosts with equal views add up to the limit, and none is zero", func(seed uint64, a, b, c, requests int, sums bool) bool {
		rng := rand.New(rand.NewPCG(seed, 1))
		n := Node{"/frigolijst", settings.Limits{RequestsInFlight: requests, PromptTokensInFlight: 1 + rng.IntN(1e7), TokensPerSecond: 1 + rng.IntN(1e6)}}
		s := newSite(a, b, c)
		s.addDemand(rng, n, start)
		s.exchange(sums, true, start)
		sum, low := s.total(n)
		return sum == n.Limits && (low >= 1 || requests < a+b+c)
	}, gen.UInt64(), gen.IntRange(1, 6), gen.IntRange(0, 6), gen.IntRange(0, 6), gen.IntRange(1, 300), gen.Bool())
}

func TestSharesHoldDuringAPartition(t *testing.T) {
	check(t, 31, "while domains are partitioned, shares add up to the limit under changing demand", func(seed uint64, sums bool) bool {
		rng := rand.New(rand.NewPCG(seed, 2))
		n := Node{"customer", settings.Limits{RequestsInFlight: 100, PromptTokensInFlight: 1e6, TokensPerSecond: 1e5}}
		s := newSite(3, 2, 4)
		now := start
		for step := range 12 {
			cut := step >= 3 && step < 9
			s.addDemand(rng, n, now)
			s.exchange(sums, !cut, now)
			if sum, low := s.total(n); sum != n.Limits || low < 1 {
				return false
			}
			now = now.Add(DefaultStaleAfter + time.Second)
		}
		return true
	}, gen.UInt64(), gen.Bool())
}

func TestIsolatedOrNewHostsTakeEvenParts(t *testing.T) {
	n := Node{"customer", settings.Limits{RequestsInFlight: 80}}
	l := NewLimiter(LimiterOptions{Host: "a", Domain: "hal-a", ExpectedHosts: 8})
	if got := l.Share(n).RequestsInFlight; got != 10 {
		t.Errorf("a new host of 8 gets %d of 80, want 10", got)
	}
	busy := []NodeUsage{{Node: NodeID("customer"), Requests: 9000, Tokens: 1}}
	l.ApplyPeers([]Usage{{Host: "b", Domain: "hal-a", Nodes: busy}, {Host: "c", Domain: "hal-a"}, {Host: "d", Domain: "hal-a"}}, start)
	l.Refresh(start)
	if got := l.Share(n).RequestsInFlight; got != 4 {
		t.Errorf("an idle host beside a busy one gets %d of 80, want its floor 4", got)
	}
	l.Refresh(start.Add(time.Minute))
	if got := l.Share(n).RequestsInFlight; got != 20 {
		t.Errorf("isolated from its 3 peers it gets %d of 80, want 20", got)
	}
	l.RemoveHost("hal-a", "b")
	l.SetExpectedHosts(3)
	l.Refresh(start.Add(time.Minute))
	if got := l.Share(n).RequestsInFlight; got < 26 || got > 27 {
		t.Errorf("after one host has left it gets %d of 80, want 26 or 27", got)
	}
}

func TestLimiterKeepsEachLimit(t *testing.T) {
	check(t, 32, "usage stays within each node's limits, and all of it is released", func(seed uint64) bool {
		rng := rand.New(rand.NewPCG(seed, 3))
		chain := []Node{{"/", settings.Limits{RequestsInFlight: 9}}, {"/a", settings.Limits{PromptTokensInFlight: 1000}}, {"c", settings.Limits{TokensPerSecond: 2000}}}
		l := NewLimiter(LimiterOptions{Host: "a", Domain: "d"})
		var held []Cost
		prompt, taken, now := 0, 0.0, start
		for range 400 {
			now = now.Add(time.Duration(rng.IntN(100)) * time.Millisecond)
			if len(held) > 0 && rng.IntN(2) == 0 {
				c := held[0]
				held = held[1:]
				prompt -= c.PromptTokens
				l.Done(chain, c, c.TotalTokens/2, now)
				taken -= float64(c.TotalTokens - c.TotalTokens/2)
				continue
			}
			c := Cost{PromptTokens: 1 + rng.IntN(400)}
			c.TotalTokens = c.PromptTokens + rng.IntN(400)
			v := l.Admit(chain, c, now)
			fits := len(held) < 9 && (prompt == 0 || prompt+c.PromptTokens <= 1000)
			if v.OK && !fits || !v.OK && (v.RetryAfter < minLimitWait || v.RetryAfter > maxLimitWait) {
				return false
			}
			if !v.OK && fits && v.Limit != TokensPerSecond {
				return false
			}
			if v.OK {
				held = append(held, c)
				prompt += c.PromptTokens
				taken += float64(c.TotalTokens)
			}
			// At most one burst, the rate since, and the debt of one request.
			if taken > 2000*(1+now.Sub(start).Seconds())+800 {
				return false
			}
		}
		for _, c := range held {
			l.Done(chain, c, 0, now)
		}
		for _, n := range l.nodes {
			if n.inFlight != 0 || n.promptTokens != 0 {
				return false
			}
		}
		l.Usage(now.Add(time.Hour))
		return len(l.nodes) == 0
	}, gen.UInt64())
}

func TestLongPromptsAndLimits(t *testing.T) {
	n := []Node{{"c", settings.Limits{PromptTokensInFlight: 1000}}}
	l := NewLimiter(LimiterOptions{Host: "a", Domain: "d", ExpectedHosts: 8})
	if v := l.Admit(n, Cost{PromptTokens: 1001}, start); v.OK || v.RetryAfter != 0 {
		t.Errorf("over the site's limit: %+v, want refused without a retry time", v)
	}
	if v := l.Admit(n, Cost{PromptTokens: 900}, start); !v.OK {
		t.Errorf("longer than the host's share, alone: %+v, want admitted", v)
	}
	if v := l.Admit(n, Cost{PromptTokens: 1}, start); v.OK || v.Node != "c" || v.Limit != PromptTokensInFlight {
		t.Errorf("second prompt beside it: %+v, want refused", v)
	}
}

func TestEstimateIsCorrectedByUsage(t *testing.T) {
	n := []Node{{"c", settings.Limits{TokensPerSecond: 1000}}}
	l := NewLimiter(LimiterOptions{Host: "a", Domain: "d"})
	c := Cost{TotalTokens: 5000}
	l.Admit(n, c, start)
	if v := l.Admit(n, c, start); v.OK || v.RetryAfter < 4*time.Second || v.RetryAfter > 5*time.Second {
		t.Errorf("4000 tokens in debt: %+v, want refused for 4 to 5 seconds", v)
	}
	l.Done(n, c, 0, start)
	if v := l.Admit(n, c, start); !v.OK {
		t.Errorf("after the first ended without running: %+v, want admitted", v)
	}
}

func BenchmarkAdmit(b *testing.B) {
	var chains [210][]Node
	for i := range chains {
		for _, name := range []string{"/", fmt.Sprintf("/team-%d", i%30), fmt.Sprintf("customer-%d", i)} {
			chains[i] = append(chains[i], Node{name, settings.Limits{RequestsInFlight: 1e6, PromptTokensInFlight: 1e9, TokensPerSecond: 1e9}})
		}
	}
	l := NewLimiter(LimiterOptions{Host: "a", Domain: "d"})
	cost := Cost{PromptTokens: 1000, TotalTokens: 1200}
	b.ReportAllocs()
	for i := range b.N {
		now := start.Add(time.Duration(i) * 150 * time.Microsecond)
		chain := chains[i%len(chains)]
		l.Admit(chain, cost, now)
		l.Done(chain, cost, 1100, now)
	}
}

// BenchmarkExchange is one round of digests, with all limits divided, at the size to design for: 60 hosts
// in the own domain, the sums of 6 other domains, 210 customers and 30 paths.
func BenchmarkExchange(b *testing.B) {
	l := NewLimiter(LimiterOptions{Host: "host-0", Domain: "hal-0", MaxNodes: 64})
	var us []Usage
	var nodes []Node
	for i := range 240 {
		nodes = append(nodes, Node{fmt.Sprintf("customer-%d", i), settings.Limits{RequestsInFlight: 1000, PromptTokensInFlight: 1e7, TokensPerSecond: 1e6}})
		l.Admit(nodes[i:], Cost{TotalTokens: 10}, start)
	}
	own := l.Usage(start)
	for i := 1; i < 60; i++ {
		us = append(us, Usage{Host: fmt.Sprintf("host-%d", i), Domain: "hal-0", Nodes: own.Nodes})
	}
	for i := 1; i < 7; i++ {
		us = append(us, Usage{Domain: fmt.Sprintf("hal-%d", i), Hosts: 60, Nodes: own.Nodes})
	}
	b.ReportAllocs()
	for b.Loop() {
		l.ApplyPeers(us, start)
		l.Refresh(start)
		for _, n := range nodes {
			l.Share(n)
		}
	}
}
