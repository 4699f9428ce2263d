package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const propertySeed = 20261202

func checkProperty(t *testing.T, name string, p gopter.Prop) {
	t.Helper()
	params := gopter.DefaultTestParametersWithSeed(propertySeed)
	params.MinSuccessfulTests = 60
	properties := gopter.NewProperties(params)
	properties.Property(name, p)
	properties.TestingRun(t)
}

// history checks after each step of a site the properties that must hold at all times.
type history struct {
	newest map[[2]string]uint64       // highest incarnation, by viewer, which is never restarted here, and host
	left   map[string]map[string]bool // by viewer: incarnations that were seen leaving
	fault  string
}

func (h *history) check(s *site, viewers []*Members) {
	for _, m := range viewers {
		viewer := m.Self().Host
		if h.left[viewer] == nil {
			h.left[viewer] = make(map[string]bool)
		}
		for _, v := range m.View(s.now) {
			h.checkMember(viewer, v)
		}
	}
}

func (h *history) checkMember(viewer string, v Member) {
	pair := [2]string{viewer, v.Host}
	if v.Incarnation < h.newest[pair] {
		h.fault = fmt.Sprintf("%s went back to incarnation %d of %s", viewer, v.Incarnation, v.Host)
	}
	h.newest[pair] = v.Incarnation
	life := fmt.Sprintf("%s/%d", v.Host, v.Incarnation)
	if v.State == Leaving {
		h.left[viewer][life] = true
	}
	if h.left[viewer][life] && (v.State == Live || v.State == Suspect) {
		h.fault = fmt.Sprintf("%s sees %s %s after it left", viewer, life, v.State)
	}
}

// runSteps translates numbers into faults and changes of a site of two domains.
// Hosts 0 and 3 only observe, so that the history can follow their views.
func runSteps(s *site, steps []uint32, h *history) {
	watchers := []*Members{s.hosts[0], s.hosts[3]}
	var leftovers []*Members // stopped processes that may resume with an old incarnation
	for _, step := range steps {
		i := 1 + int(step>>8)%2 + 3*(int(step>>9)%2)
		m := s.hosts[i]
		address := m.Self().Address
		switch step % 7 {
		case 0:
			leftovers = append(leftovers, m)
			s.kill(m)
		case 1:
			leftovers = append(leftovers, m)
			s.hosts[i] = New(Config{Self: testIdentity(m.Self().Host, m.Self().Domain, m.Self().Incarnation+1)}, s.now)
			s.hosts[i].AddSeeds([]string{s.hosts[0].Self().Address})
			s.at[address] = s.hosts[i]
		case 2:
			if s.at[address] == m {
				m.Leave(s.now)
				s.send(m, m.TakePushes(s.rng))
			}
		case 3:
			s.cut = func(from, to string) bool { return from != to }
		case 4:
			s.cut = func(string, string) bool { return false }
		case 5:
			for _, old := range leftovers {
				s.send(old, old.Tick(s.now, s.rng))
			}
		}
		for range int(step>>12) % 40 {
			s.run(tickEvery)
			h.check(s, watchers)
		}
	}
}

func newPropertySite(t *testing.T, seed uint64) *site {
	s := newSite(t, seed)
	s.addDomain("a", 3)
	s.addDomain("b", 3)
	return s
}

func TestIncarnationsAndLeavesAreNeverReverted(t *testing.T) {
	checkProperty(t, "monotone", prop.ForAll(
		func(seed uint64, steps []uint32) string {
			s := newPropertySite(t, seed)
			h := &history{newest: make(map[[2]string]uint64), left: make(map[string]map[string]bool)}
			runSteps(s, steps, h)
			return h.fault
		},
		gen.UInt64(), gen.SliceOfN(12, gen.UInt32()),
	))
}

func TestViewsConvergeWhenFaultsEnd(t *testing.T) {
	checkProperty(t, "converge", prop.ForAll(
		func(seed uint64, steps []uint32) string {
			s := newPropertySite(t, seed)
			h := &history{newest: make(map[[2]string]uint64), left: make(map[string]map[string]bool)}
			runSteps(s, steps, h)
			s.cut = func(string, string) bool { return false }
			s.run(2 * time.Minute)
			return firstDisagreement(s)
		},
		gen.UInt64(), gen.SliceOfN(12, gen.UInt32()),
	))
}

// firstDisagreement describes the first difference between a running host's view
// and the actual state, or between two hosts' owners of a key. It is empty when
// there is none.
func firstDisagreement(s *site) string {
	for _, viewer := range s.hosts {
		if s.at[viewer.Self().Address] != viewer {
			continue
		}
		for _, m := range s.hosts {
			if w := viewMismatch(s, viewer, m); w != "" {
				return w
			}
		}
		for k := range 20 {
			key := fmt.Sprint("engine-", k)
			first, _ := Owner(key, s.hosts[0].View(s.now))
			if o, _ := Owner(key, viewer.View(s.now)); o.Host != first.Host {
				return fmt.Sprintf("owner of %s is %s at %s and %s at the first", key, o.Host, viewer.Self().Host, first.Host)
			}
		}
	}
	return ""
}

func viewMismatch(s *site, viewer, m *Members) string {
	want := Live
	running := s.at[m.Self().Address] == m
	switch {
	case !running:
		want = Dead
	case m.self.leaveVersion > 0:
		want = Leaving
	}
	got, known := s.stateAt(viewer, m.Self().Host)
	if !running && !known || known && got == want {
		return ""
	}
	return fmt.Sprintf("%s sees %s %s (known %t), want %s", viewer.Self().Host, m.Self().Host, got, known, want)
}

func TestRankMovesOnlyKeysOfARemovedOwner(t *testing.T) {
	checkProperty(t, "rendezvous", prop.ForAll(
		func(seed uint64, key string, n int) string {
			rng := rand.New(rand.NewPCG(seed, 2))
			members := make([]Member, n)
			for i := range members {
				members[i] = Member{Identity: testIdentity(fmt.Sprint("h", i), "a", 1)}
			}
			ranked := Rank(key, members, n)
			rng.Shuffle(n, func(i, j int) { members[i], members[j] = members[j], members[i] })
			owner, ok := Owner(key, members)
			if !ok || len(ranked) != n || owner.Host != ranked[0].Host {
				return "owner depends on the order of members"
			}
			for i := range members {
				if members[i].Host == owner.Host {
					members[i].State = Suspect
				}
			}
			next, ok := Owner(key, members)
			if ok != (n > 1) || ok && next.Host != ranked[1].Host {
				return "the second in rank does not follow the owner"
			}
			return ""
		},
		gen.UInt64(), gen.AlphaString(), gen.IntRange(1, 70),
	))
}

func TestLocalOwnerIsFirstInLocalRank(t *testing.T) {
	checkProperty(t, "local owner", prop.ForAll(
		func(seed uint64, key string, n int) string {
			rng := rand.New(rand.NewPCG(seed, 3))
			members := make([]Member, n)
			for i := range members {
				domain := fmt.Sprint("domain-", rng.IntN(3))
				members[i] = Member{Identity: testIdentity(fmt.Sprint("h", i), domain, 1), State: State(rng.IntN(2))}
			}
			owner, ok := LocalOwner(key, "domain-1", members)
			ranked := LocalRank(key, "domain-1", members, 1)
			if ok != (len(ranked) > 0) || ok && owner.Host != ranked[0].Host {
				return fmt.Sprintf("owner %q %v, ranked %v", owner.Host, ok, ranked)
			}
			return ""
		},
		gen.UInt64(), gen.AlphaString(), gen.IntRange(0, 70),
	))
}

func TestRankSpreadsKeysEvenly(t *testing.T) {
	members := make([]Member, 60)
	for i := range members {
		members[i] = Member{Identity: testIdentity(fmt.Sprint("h", i), "a", 1)}
	}
	owned := make(map[string]int)
	const keys = 60_000
	for k := range keys {
		o, _ := Owner(fmt.Sprint("engine-", k), members)
		owned[o.Host]++
	}
	for _, m := range members {
		if got, mean := owned[m.Host], keys/len(members); got < mean*8/10 || got > mean*12/10 {
			t.Errorf("%s owns %d keys, mean %d", m.Host, got, mean)
		}
	}
}
