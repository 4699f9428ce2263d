package paths

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/reach"
	"github.com/buckthorndock/buckthorndock/internal/tunnel"
)

// network is a site of daemons, each with a Tracker, and upstreams u0:1 to u2:1 in each failure
// domain: "a.u0:1" is in domain a. It fails per daemon and per upstream.
type network struct {
	mu          sync.Mutex
	partitioned map[string]error // by daemon: the error of its connections to upstreams
	dead        map[string]bool  // upstreams at which nobody listens
	unwilling   map[string]bool  // daemons that open no connections for others
	asked       int              // questions between daemons
	connected   map[string]int   // connections opened for others, by daemon
	dialed      map[string]int   // connections opened or tried, by daemon
	trackers    map[string]*Tracker
	daemons     []Daemon
}

const upstreamsPerDomain = 3

// newNetwork starts hosts daemons in each domain, named a0, a1 and so on.
func newNetwork(t *testing.T, domains []string, hosts int) *network {
	n := &network{
		partitioned: map[string]error{}, dead: map[string]bool{}, unwilling: map[string]bool{},
		connected: map[string]int{}, dialed: map[string]int{}, trackers: map[string]*Tracker{},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, domain := range domains {
		for i := range hosts {
			name := fmt.Sprintf("%s%d", domain, i)
			n.daemons = append(n.daemons, Daemon{Host: name, Address: name, Domain: domain})
			n.trackers[name] = New(Options{
				Domain:   domain,
				Dial:     func(ctx context.Context, address string) (net.Conn, error) { return n.dial(ctx, name, address) },
				DomainOf: domainOf,
				Targets:  targetsOf,
				Daemons:  &fakeDaemons{n, name},
				Log:      logrus.NewEntry(log),
			})
		}
	}
	return n
}

func domainOf(address string) string {
	domain, _, ok := strings.Cut(address, ".")
	if !ok {
		return ""
	}
	return domain
}

func targetsOf(domain string) []string {
	var all []string
	for i := range upstreamsPerDomain {
		all = append(all, fmt.Sprintf("%s.u%d:1", domain, i))
	}
	return all
}

var errHangs = merry.New("hangs")

func (n *network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	n.mu.Lock()
	n.dialed[from]++
	err := n.partitioned[from]
	if err == nil && n.dead[address] {
		err = syscall.ECONNREFUSED
	}
	n.mu.Unlock()
	if errors.Is(err, errHangs) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	conn, other := net.Pipe()
	_ = other.Close()
	return conn, nil
}

func (n *network) partition(err error, hosts ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range hosts {
		n.partitioned[h] = err
	}
}

func (n *network) connections(host string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.connected[host]
}

// fakeDaemons are the daemons of a network as one of them sees them.
type fakeDaemons struct {
	*network
	self string
}

func (f *fakeDaemons) Others() []Daemon {
	return slices.DeleteFunc(slices.Clone(f.daemons), func(d Daemon) bool { return d.Host == f.self })
}

func (f *fakeDaemons) Call(_ context.Context, address, method string, args, reply any) error {
	if method != ServiceName+".Probe" {
		return merry.Errorf("method %s", method)
	}
	f.mu.Lock()
	f.asked++
	f.mu.Unlock()
	return f.trackers[address].RPC().(*receiver).Probe(args.(*ProbeRequest), reply.(*ProbeReply))
}

func (f *fakeDaemons) Connect(ctx context.Context, address, upstream string) (net.Conn, error) {
	f.mu.Lock()
	unwilling := f.unwilling[address]
	f.mu.Unlock()
	if unwilling || !f.trackers[address].Willing(upstream) {
		return nil, tunnel.ErrUnwilling
	}
	conn, err := f.trackers[address].DialForOther(ctx, upstream)
	if err == nil {
		f.mu.Lock()
		f.connected[address]++
		f.mu.Unlock()
	}
	return conn, err
}

// withoutPath returns how many of the hosts do not reach a domain through another daemon.
func (n *network) withoutPath(domain string, hosts []string) int {
	lost := 0
	for _, h := range hosts {
		if n.trackers[h].State(domain) != reach.Indirect {
			lost++
		}
	}
	return lost
}
