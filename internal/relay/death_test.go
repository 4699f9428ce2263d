package relay

import (
	"context"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/reach"
	"github.com/buckthorndock/buckthorndock/internal/paths"
)

// fakeDaemons are the other daemons of a fixture. They reach all upstreams that listen, but while
// they are partitioned, and have not noticed that then.
type fakeDaemons struct {
	all  []paths.Daemon
	dead map[string]bool // addresses at which nobody listens

	mu          sync.Mutex
	partitioned map[string]bool // by address
}

func (f *fakeDaemons) Others() []paths.Daemon { return f.all }

func (f *fakeDaemons) Call(_ context.Context, address, _ string, args, reply any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := reply.(*paths.ProbeReply)
	for _, upstream := range args.(*paths.ProbeRequest).Addresses {
		if f.partitioned[address] || f.dead[upstream] {
			r.Refused = append(r.Refused, upstream)
		} else {
			r.Reached = append(r.Reached, upstream)
		}
	}
	return nil
}

func (f *fakeDaemons) Connect(context.Context, string, string) (net.Conn, error) {
	return nil, merry.New("not used by these tests")
}

func (f *fakeDaemons) partition(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned[address] = true
}

// pathSite is a fixture with the engines e1 and e2 in domain z1 and two more in z2, and other
// daemons. Its own connections to upstreams are refused while it is partitioned.
type pathSite struct {
	*fixture
	e1 fleet.Upstream

	mu           sync.Mutex
	partitioned  bool
	afterRefusal func() // called after the first connection to e1 was refused
}

// daemonAddress is where a daemon of z1 listens; a partition from upstreams leaves it alone.
const daemonAddress = "d:1"

func newPathSite(t *testing.T, daemons ...string) *pathSite {
	t.Helper()
	s := &pathSite{fixture: newFixture(t)}
	for _, name := range daemons {
		s.daemons.all = append(s.daemons.all, paths.Daemon{Host: name, Address: name, Domain: "z1"})
	}
	s.relay.opts.DaemonAddresses = func(string) []string { return []string{daemonAddress} }
	var list []fleet.Change
	for name, domain := range map[string]string{"e1": "z1", "e2": "z1", "far1": "z2", "far2": "z2"} {
		list = append(list, entry(fleet.Upstream{Incarnation: fleet.Incarnation{Name: name}, Service: "llm", Address: name + ":1", Domain: domain}))
	}
	s.list.Replace(list, time.Now())
	s.e1, _ = s.relay.opts.Upstreams().Get("e1")
	s.probe = s.tryConnect
	return s
}

// tryConnect tries to connect over the network of the site's own daemon.
func (s *pathSite) tryConnect(_ context.Context, address string) error {
	s.mu.Lock()
	refused := s.dead[address] || s.partitioned && address != daemonAddress
	var then func()
	if refused && address == s.e1.Address {
		then, s.afterRefusal = s.afterRefusal, nil
	}
	s.mu.Unlock()
	if then != nil {
		then()
	}
	if refused {
		return syscall.ECONNREFUSED
	}
	return nil
}

func (s *pathSite) setPartitioned(partitioned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitioned = partitioned
}

// awaitState probes a domain until its path has a state; the test's timeout bounds it.
func (s *pathSite) awaitState(domain string, want reach.State) {
	for s.relay.opts.Paths.State(domain) != want {
		if done := s.relay.opts.Paths.Suspect(domain); done != nil {
			<-done
		}
		time.Sleep(time.Millisecond)
	}
}

// checkAlive checks that the live e1 does not count as dead.
func (s *pathSite) checkAlive(t *testing.T) {
	t.Helper()
	if s.relay.isDead(t.Context(), s.e1, recheckTimeout) {
		t.Error("a live upstream counts as dead")
	}
}

// TestProbesOverDifferentPathsProveNoDeath guards against deaths of live upstreams that a
// partitioned host reports: its own connection is refused, and then a neighbour of the upstream is
// reached over another path.
func TestProbesOverDifferentPathsProveNoDeath(t *testing.T) {
	for name, test := range map[string]func(t *testing.T, s *pathSite){
		"the path changes between the probes": func(t *testing.T, s *pathSite) {
			s.afterRefusal = func() { s.awaitState("z1", reach.Indirect) }
			s.setPartitioned(true)
			s.checkAlive(t)
		},
		"one of two daemons on the way is partitioned too": func(t *testing.T, s *pathSite) {
			s.setPartitioned(true)
			s.awaitState("z1", reach.Indirect)
			s.daemons.partition("d1")
			const draws = 50 // the daemon is drawn at random
			for range draws {
				s.checkAlive(t)
			}
		},
		"upstreams elsewhere are reached through a daemon": func(t *testing.T, s *pathSite) {
			<-s.relay.opts.Paths.Suspect("z1") // so that it is not probed again at once
			s.setPartitioned(true)
			s.awaitState("z2", reach.Indirect)
			s.checkAlive(t)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, newPathSite(t, "d1", "d2")) })
		})
	}
}

// TestProbesBeforeAndAfterAPartitionProveNoDeath guards against deaths of live upstreams that a
// host reports whose partition ends between two probes.
func TestProbesBeforeAndAfterAPartitionProveNoDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPathSite(t)
		s.afterRefusal = func() { s.setPartitioned(false) }
		s.setPartitioned(true)
		s.checkAlive(t)
	})
}

// TestDeathIsFoundOverEitherPath guards against evidence that is lost because a host is partitioned.
func TestDeathIsFoundOverEitherPath(t *testing.T) {
	for name, partitioned := range map[string]bool{"direct": false, "indirect": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newPathSite(t, "d1", "d2")
				s.dead[s.e1.Address] = true
				if partitioned {
					s.setPartitioned(true)
					s.awaitState("z1", reach.Indirect)
				}
				if !s.relay.isDead(t.Context(), s.e1, recheckTimeout) {
					t.Error("a dead upstream does not count as dead")
				}
			})
		})
	}
}
