package peer

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// pool holds the outgoing connections: at most one that takes new calls to each
// address. A connection is opened by the first call and closed after
// Options.IdleTimeout without one, so a node keeps only connections that it uses.
type pool struct {
	node   *Node
	mu     sync.Mutex
	slots  map[string]*slot
	links  map[*pooled]struct{} // all open connections, including retired ones
	closed bool
}

// slot is the state of one address in the pool.
type slot struct {
	link      *pooled
	dialing   chan struct{} // closed when the dial under way ends; nil: none is
	backoff   *backoff.ExponentialBackOff
	notBefore time.Time // after a failed dial: earliest time of the next
	lastErr   error
	lastUsed  time.Time
}

// pooled is an outgoing connection. The pool's lock guards its fields.
type pooled struct {
	*link
	client   *rpc.Client
	inFlight int
	lastUsed time.Time
	retired  bool // takes no new calls and is closed when the last one ends
}

func newPool(n *Node) *pool {
	return &pool{node: n, slots: make(map[string]*slot), links: make(map[*pooled]struct{})}
}

// acquire returns a connection to an address for one call, and dials when there is
// none. The caller must release it.
func (p *pool) acquire(ctx context.Context, address string) (*pooled, error) {
	for {
		l, dialing, err := p.tryAcquire(address)
		if l != nil || err != nil {
			return l, err
		}
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// tryAcquire returns a connection for one call, or a channel that is closed when the
// dial of one has ended, or an error.
func (p *pool) tryAcquire(address string) (*pooled, chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, ErrClosed
	}
	s := p.slot(address)
	now := time.Now()
	s.lastUsed = now
	if s.link != nil {
		s.link.inFlight++
		s.link.lastUsed = now
		return s.link, nil, nil
	}
	if s.dialing != nil {
		return nil, s.dialing, nil
	}
	if now.Before(s.notBefore) {
		return nil, nil, fmt.Errorf("%w: %w", ErrBackoff, s.lastErr)
	}
	s.dialing = make(chan struct{})
	go p.dial(address, s)
	return nil, s.dialing, nil
}

// slot returns the state of an address, and creates it if needed. The caller holds
// the lock.
func (p *pool) slot(address string) *slot {
	s := p.slots[address]
	if s == nil {
		b := backoff.NewExponentialBackOff()
		b.InitialInterval = p.node.opts.BackoffMin
		b.MaxInterval = p.node.opts.BackoffMax
		s = &slot{backoff: b}
		p.slots[address] = s
	}
	return s
}

// dial connects to an address and stores the connection or the error in its slot. It
// runs in its own goroutine, because the calls that wait for it have different
// deadlines.
func (p *pool) dial(address string, s *slot) {
	l, err := p.connect(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	close(s.dialing)
	s.dialing = nil
	if err == nil && p.closed {
		l.close()
		return
	}
	if err != nil {
		dialErrors.Inc()
		s.lastErr = err
		s.notBefore = time.Now().Add(s.backoff.NextBackOff())
		return
	}
	s.backoff.Reset()
	s.link = &pooled{link: l, lastUsed: time.Now()}
	s.link.client = rpc.NewClientWithCodec(&clientCodec{stream: newStream(l, p.node.opts.MaxMessageBytes)})
	p.links[s.link] = struct{}{}
}

func (p *pool) connect(address string) (*link, error) {
	dials.Inc()
	ctx, cancel := context.WithTimeout(context.Background(), p.node.opts.DialTimeout)
	defer cancel()
	raw, err := p.node.dial(ctx, address, net.Dialer{})
	if err != nil {
		return nil, err
	}
	return handshake(ctx, raw, p.node.clientTLS, true, p.node)
}

// dial opens a connection to a daemon, with the options of d unless Options.Dial is set.
func (n *Node) dial(ctx context.Context, address string, d net.Dialer) (net.Conn, error) {
	if n.opts.Dial != nil {
		return n.opts.Dial(ctx, address)
	}
	return d.DialContext(ctx, "tcp", address)
}

// release returns a connection after a call. If retire is set, the connection takes
// no further calls.
func (p *pool) release(l *pooled, retire bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.inFlight--
	l.lastUsed = time.Now()
	if retire {
		p.retire(l)
	}
	p.closeIfDone(l)
}

// retire makes a connection take no further calls. The caller holds the lock.
func (p *pool) retire(l *pooled) {
	l.retired = true
	for _, s := range p.slots {
		if s.link == l {
			s.link = nil
		}
	}
}

// closeIfDone closes a retired connection without calls. The caller holds the lock.
func (p *pool) closeIfDone(l *pooled) {
	if l.retired && l.inFlight == 0 {
		delete(p.links, l)
		l.close()
	}
}

// sweep closes idle connections and removes addresses that are no longer used.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.node.opts.IdleTimeout
	for l := range p.links {
		if l.inFlight == 0 && now.Sub(l.lastUsed) >= idle {
			p.retire(l)
			p.closeIfDone(l)
		}
	}
	for address, s := range p.slots {
		unused := s.link == nil && s.dialing == nil && now.Sub(s.lastUsed) >= idle
		if unused && now.After(s.notBefore) {
			delete(p.slots, address)
		}
	}
}

// closeCut closes the connections to hosts that are cut off, and resets the backoff
// of all addresses.
func (p *pool) closeCut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.slots {
		s.notBefore = time.Time{}
		s.backoff.Reset()
	}
	for l := range p.links {
		if p.node.faults.isCut(l.remote) {
			p.retire(l)
			l.close()
			p.closeIfDone(l)
		}
	}
}

// silence makes all open connections silent.
func (p *pool) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.conn.silent.Store(true)
	}
}

// close closes all connections and makes further calls fail with ErrClosed.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for l := range p.links {
		l.close()
	}
	clear(p.links)
}
