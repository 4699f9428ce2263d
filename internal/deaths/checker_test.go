package deaths

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

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

// site is a daemon with the upstreams e1 and e2 in domain z1 and two more in z2, and other daemons.
// Its own connections to upstreams are refused while it is partitioned.
type site struct {
	paths   *paths.Tracker
	checker *Checker
	daemons *fakeDaemons

	mu           sync.Mutex
	dead         map[string]bool // addresses at which nobody listens
	partitioned  bool
	silent       bool   // no upstream accepts or refuses a connection
	afterRefusal func() // called after the first connection to e1 was refused
}

var e1 = Upstream{ID: "e1", Address: "e1:1", Domain: "z1"}

// domains are the failure domains of the upstreams, by address.
var domains = map[string]string{e1.Address: e1.Domain, "e2:1": "z1", "far1:1": "z2", "far2:1": "z2"}

// daemonAddress is where a daemon of z1 listens; a partition from upstreams leaves it alone.
const daemonAddress = "d:1"

func newSite(daemons ...string) *site {
	dead := map[string]bool{}
	s := &site{dead: dead, daemons: &fakeDaemons{dead: dead, partitioned: map[string]bool{}}}
	for _, name := range daemons {
		s.daemons.all = append(s.daemons.all, paths.Daemon{Host: name, Address: name, Domain: "z1"})
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s.paths = paths.New(paths.Options{
		Domain:   "z1",
		Dial:     s.dial,
		DomainOf: func(address string) string { return domains[address] },
		Targets:  targets,
		Daemons:  s.daemons,
		Log:      logrus.NewEntry(log),
	})
	s.checker = New(Options{Paths: s.paths, Neighbours: neighbours})
	return s
}

func targets(domain string) []string {
	var all []string
	for address, d := range domains {
		if d == domain {
			all = append(all, address)
		}
	}
	return all
}

func neighbours(u Upstream) Neighbours {
	n := Neighbours{Daemons: []string{daemonAddress}}
	for address, domain := range domains {
		n.AddNear(u, address, domain, false)
	}
	return n
}

// dial opens a connection over the network of the site's own daemon.
func (s *site) dial(ctx context.Context, address string) (net.Conn, error) {
	if s.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	s.mu.Lock()
	refused := s.dead[address] || s.partitioned && address != daemonAddress
	var then func()
	if refused && address == e1.Address {
		then, s.afterRefusal = s.afterRefusal, nil
	}
	s.mu.Unlock()
	if then != nil {
		then()
	}
	if refused {
		return nil, syscall.ECONNREFUSED
	}
	conn, other := net.Pipe()
	_ = other.Close()
	return conn, nil
}

func (s *site) setPartitioned(partitioned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitioned = partitioned
}

// awaitState probes a domain until its path has a state; the test's timeout bounds it.
func (s *site) awaitState(domain string, want reach.State) {
	for s.paths.State(domain) != want {
		if done := s.paths.Suspect(domain); done != nil {
			<-done
		}
		time.Sleep(time.Millisecond)
	}
}

// checkAlive checks that the live e1 does not count as dead.
func (s *site) checkAlive(t *testing.T) {
	t.Helper()
	if s.checker.isDead(t.Context(), e1, recheckTimeout) {
		t.Error("a live upstream counts as dead")
	}
}

// TestProbesOverDifferentPathsProveNoDeath guards against deaths of live upstreams that a
// partitioned host reports: its own connection is refused, and then a neighbour of the upstream is
// reached over another path.
func TestProbesOverDifferentPathsProveNoDeath(t *testing.T) {
	for name, test := range map[string]func(t *testing.T, s *site){
		"the path changes between the probes": func(t *testing.T, s *site) {
			s.afterRefusal = func() { s.awaitState("z1", reach.Indirect) }
			s.setPartitioned(true)
			s.checkAlive(t)
		},
		"one of two daemons on the way is partitioned too": func(t *testing.T, s *site) {
			s.setPartitioned(true)
			s.awaitState("z1", reach.Indirect)
			s.daemons.partition("d1")
			const draws = 50 // the daemon is drawn at random
			for range draws {
				s.checkAlive(t)
			}
		},
		"upstreams elsewhere are reached through a daemon": func(t *testing.T, s *site) {
			<-s.paths.Suspect("z1") // so that it is not probed again at once
			s.setPartitioned(true)
			s.awaitState("z2", reach.Indirect)
			s.checkAlive(t)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, newSite("d1", "d2")) })
		})
	}
}

// TestProbesBeforeAndAfterAPartitionProveNoDeath guards against deaths of live upstreams that a
// host reports whose partition ends between two probes.
func TestProbesBeforeAndAfterAPartitionProveNoDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite()
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
				s := newSite("d1", "d2")
				s.dead[e1.Address] = true
				if partitioned {
					s.setPartitioned(true)
					s.awaitState("z1", reach.Indirect)
				}
				if !s.checker.isDead(t.Context(), e1, recheckTimeout) {
					t.Error("a dead upstream does not count as dead")
				}
			})
		})
	}
}

// TestLaterChecksFindWhatTheFirstCannot guards against evidence that is lost where all upstreams of
// a domain refuse connections, and against requests that are held for what a silent upstream did.
func TestLaterChecksFindWhatTheFirstCannot(t *testing.T) {
	for name, c := range map[string]struct {
		prepare   func(s *site)
		restarted bool
		want      Result
	}{
		"dead, found at once":                      {prepare: func(s *site) { s.dead[e1.Address] = true }, want: Dead},
		"another process answers":                  {prepare: func(*site) {}, restarted: true, want: Dead},
		"all refuse, so this host may be at fault": {prepare: func(s *site) { s.partitioned = true }, want: Unknown},
		"neither accepted nor refused":             {prepare: func(s *site) { s.silent = true }, want: Unresponsive},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite()
				c.prepare(s)
				got := make(chan Result, 1)
				s.checker.Recheck(e1, func(context.Context) bool { return c.restarted }, func(r Result) { got <- r })
				if r := <-got; r != c.want {
					t.Errorf("got %d, want %d", r, c.want)
				}
			})
		})
	}
}
