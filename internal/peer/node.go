package peer

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

// Node connects this daemon with its peers: it serves and makes calls, and keeps the
// membership of the site. Its methods are safe for concurrent use.
type Node struct {
	opts      Options
	log       *logrus.Entry
	clientTLS *tls.Config
	serverTLS *tls.Config
	pool      *pool
	server    *server
	faults    faults
	traffic   traffic

	mu      sync.Mutex // guards members and rng
	members *membership.Members
	rng     *rand.Rand

	view            atomic.Pointer[[]membership.Member]
	superseded      atomic.Bool
	sectionsChanged chan struct{} // gets a value when some host's section may be new
	exchanging      sync.Map      // addresses with an exchange under way

	background context.Context // context of work that no caller waits for
	stop       context.CancelFunc
	wgMu       sync.Mutex // no work is started after Close begins to wait
	wg         sync.WaitGroup
}

// New checks the options and opens the listener, which Run serves.
func New(opts Options) (*Node, error) {
	opts.setDefaults()
	if err := opts.validate(); err != nil {
		return nil, err
	}
	n := &Node{opts: opts, sectionsChanged: make(chan struct{}, 1)}
	n.log = opts.Logger.WithField("component", "peer")
	n.traffic.purposes = newPurposes()
	n.rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	n.background, n.stop = context.WithCancel(context.Background())
	n.pool = newPool(n)
	var err error
	if n.clientTLS, n.serverTLS, err = newTLS(opts.Key, opts.Host, opts.Domain); err != nil {
		return nil, err
	}
	if n.server, err = newServer(n, opts.Listen); err != nil {
		return nil, err
	}
	cfg := opts.Membership
	cfg.Self = membership.Identity{
		Host:        opts.Host,
		Domain:      opts.Domain,
		Region:      opts.Region,
		Address:     n.Addr(),
		Incarnation: opts.Incarnation,
	}
	n.members = membership.New(cfg, time.Now())
	n.members.AddSeeds(opts.Seeds)
	n.refreshView()
	if err := n.Register(heartbeatService, &heartbeats{n}); err != nil {
		return nil, err
	}
	return n, nil
}

// Register makes the methods of a receiver available to peers, by the rules of
// net/rpc, and counts their bytes under the name in lower case. It must be called
// before Run.
func (n *Node) Register(name string, rcvr any) error {
	if err := n.server.rpc.RegisterName(name, rcvr); err != nil {
		return merry.Prependf(err, "register %s", name)
	}
	n.traffic.purposes.add(name)
	return nil
}

// Run serves peers and sends heartbeats until the context ends, then closes all
// connections.
func (n *Node) Run(ctx context.Context) error {
	n.inBackground(func() { n.server.run(n.background) })
	n.inBackground(n.serveStreams)
	if n.opts.HostList != nil {
		n.inBackground(func() { n.pollHostList(n.background) })
	}
	n.log.WithFields(logrus.Fields{
		"address":     n.Addr(),
		"incarnation": n.opts.Incarnation,
	}).Info("peer_started")
	for ctx.Err() == nil {
		n.tick()
		wait.For(ctx, n.jitter(n.interval()))
	}
	n.Close()
	return nil
}

// The cost of exchanges for each host is proportional to the number of hosts in its
// domain, so a small domain can have them more often within the same budget.
const (
	fullIntervalHosts = 30 // number of hosts from which Interval is not shortened
	maxSpeedup        = 6  // Interval is divided by at most this
)

// interval returns the time until the next exchange within the own domain.
func (n *Node) interval() time.Duration {
	if n.opts.Busy != nil && !n.opts.Busy() {
		return n.opts.Interval
	}
	hosts := 0
	for _, m := range n.Members() {
		if m.Domain == n.opts.Domain && m.State != membership.Dead {
			hosts++
		}
	}
	scaledHosts := max(min(hosts, fullIntervalHosts), fullIntervalHosts/maxSpeedup)
	n.mu.Lock()
	factor := n.members.ExchangeIntervalFactor()
	n.mu.Unlock()
	return time.Duration(float64(n.opts.Interval) * factor * float64(scaledHosts) / fullIntervalHosts)
}

// Close closes the listener and all connections and ends the background work. It
// does not wait for registered methods that still run. Run calls it; callers need
// it only for a node that never ran.
func (n *Node) Close() {
	n.wgMu.Lock()
	n.stop()
	n.wgMu.Unlock()
	n.server.close()
	n.pool.close()
	n.wg.Wait()
}

// inBackground starts work that Close waits for. After Close it does nothing.
func (n *Node) inBackground(work func()) {
	n.wgMu.Lock()
	defer n.wgMu.Unlock()
	if n.background.Err() == nil {
		n.wg.Go(work)
	}
}

// jitter changes a period by up to a tenth at random, so that hosts that were started
// together do not stay synchronised.
func (n *Node) jitter(d time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(float64(d) * (0.9 + 0.2*n.rng.Float64()))
}

// Leave announces to a few peers that this host leaves; they pass it on. It returns
// when each of them has confirmed it or failed, and cannot be undone. An error means
// that no peer confirmed; others then learn it only from the platform's list.
func (n *Node) Leave(ctx context.Context) error {
	n.mu.Lock()
	n.members.Leave(time.Now())
	pushes := n.members.TakePushes(n.rng)
	n.refreshView()
	n.mu.Unlock()
	errs := make(chan error, len(pushes))
	for _, out := range pushes {
		go func() { errs <- n.deliver(ctx, out) }()
	}
	var failed error
	confirmed := len(pushes) == 0
	for range pushes {
		if err := <-errs; err != nil {
			failed = err
		} else {
			confirmed = true
		}
	}
	if confirmed {
		return nil
	}
	return merry.Prepend(failed, "leave")
}

// Addr returns the address of the listener, IP:port.
func (n *Node) Addr() string {
	return n.server.listener.Addr().String()
}

// Self returns this host as a member.
func (n *Node) Self() membership.Member {
	for _, m := range n.Members() {
		if m.Host == n.opts.Host {
			return m
		}
	}
	return membership.Member{}
}

// Superseded reports whether a newer incarnation of this host is running. This
// process must then stop accepting work.
func (n *Node) Superseded() bool {
	return n.superseded.Load()
}

// Members returns all known hosts, including this one, ordered by name, as of the
// last update of the view. The slice is shared and must not be changed.
func (n *Node) Members() []membership.Member {
	return *n.view.Load()
}

// Owner returns the live host of the whole site that ranks first for a key.
func (n *Node) Owner(key string) (membership.Member, bool) {
	return membership.Owner(key, n.Members())
}

// Rank returns up to limit live hosts of the whole site, in their order for a key.
func (n *Node) Rank(key string, limit int) []membership.Member {
	return membership.Rank(key, n.Members(), limit)
}

// LocalOwner returns the live host of the own domain that ranks first for a key.
func (n *Node) LocalOwner(key string) (membership.Member, bool) {
	return membership.LocalOwner(key, n.opts.Domain, n.Members())
}

// LocalRank returns up to limit live hosts of the own domain, in their order for a
// key.
func (n *Node) LocalRank(key string, limit int) []membership.Member {
	return membership.LocalRank(key, n.opts.Domain, n.Members(), limit)
}

// Publish distributes a section of up to membership.MaxSectionBytes to the hosts of
// the own domain. It replaces the section's former data. Data must not be changed
// afterwards.
func (n *Node) Publish(section string, data []byte) error {
	return n.publish(section, data, false)
}

// PublishWide is like Publish, but distributes to the hosts of all domains.
func (n *Node) PublishWide(section string, data []byte) error {
	return n.publish(section, data, true)
}

func (n *Node) publish(section string, data []byte, wide bool) error {
	var err error
	n.step(func(m *membership.Members, now time.Time) {
		err = m.Publish(now, section, data, wide)
	})
	return err
}

// Sections returns the section of that name from each host that published one and is
// not dead, including this host, ordered by host.
func (n *Node) Sections(section string) []membership.SectionView {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.Sections(time.Now(), section)
}

// SectionsChanged returns a channel that gets a value when some host's section may
// have changed since the last receive.
func (n *Node) SectionsChanged() <-chan struct{} { return n.sectionsChanged }

// Traffic returns the bytes sent and received so far over all connections, including
// those of TLS.
func (n *Node) Traffic() (sent, received uint64) {
	return n.traffic.sent.Load(), n.traffic.received.Load()
}
