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

// pool holds at most one connection in use to each address. Connections are
// opened by the first call and closed when they were idle for a while, so a
// node keeps as many as it has peers that it really talks to.
type pool struct {
	n      *Node
	mu     sync.Mutex
	slots  map[string]*slot
	links  map[*pooled]struct{} // all that are open, retired ones too
	closed bool
}

// slot is what the pool knows of one address.
type slot struct {
	link      *pooled
	dialing   chan struct{} // closed when the dial under way ends, nil without one
	backoff   *backoff.ExponentialBackOff
	notBefore time.Time // no dial before it
	lastErr   error
	lastUsed  time.Time
}

// pooled is an outgoing connection. Its fields are guarded by the pool.
type pooled struct {
	*link
	client   *rpc.Client
	inFlight int
	lastUsed time.Time
	retired  bool // takes no new call, closed when the last one ends
}

func newPool(n *Node) *pool {
	return &pool{n: n, slots: make(map[string]*slot), links: make(map[*pooled]struct{})}
}

// acquire returns the connection to an address, dialing when there is none.
// Each acquire needs a release.
func (p *pool) acquire(ctx context.Context, address string) (*pooled, error) {
	for {
		l, dialing, err := p.take(address)
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

func (p *pool) take(address string) (*pooled, chan struct{}, error) {
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

func (p *pool) slot(address string) *slot {
	s := p.slots[address]
	if s == nil {
		b := backoff.NewExponentialBackOff()
		b.InitialInterval = p.n.opts.BackoffMin
		b.MaxInterval = p.n.opts.BackoffMax
		s = &slot{backoff: b}
		p.slots[address] = s
	}
	return s
}

// dial runs apart from the calls that wait for it, whose deadlines differ.
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
	s.link.client = rpc.NewClientWithCodec(&clientCodec{stream: newStream(l, p.n.opts.MaxMessageBytes)})
	p.links[s.link] = struct{}{}
}

func (p *pool) connect(address string) (*link, error) {
	dials.Inc()
	ctx, cancel := context.WithTimeout(context.Background(), p.n.opts.DialTimeout)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return handshake(ctx, raw, p.n.clientTLS, true, p.n)
}

// release ends a call. A retired connection takes no further one.
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

func (p *pool) retire(l *pooled) {
	l.retired = true
	for _, s := range p.slots {
		if s.link == l {
			s.link = nil
		}
	}
}

func (p *pool) closeIfDone(l *pooled) {
	if l.retired && l.inFlight == 0 {
		delete(p.links, l)
		l.close()
	}
}

// sweep closes idle connections and forgets addresses that are no longer used.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.n.opts.IdleTimeout
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

// closeCut closes what a cut forbids and lets all others be dialed at once.
func (p *pool) closeCut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.slots {
		s.notBefore = time.Time{}
		s.backoff.Reset()
	}
	for l := range p.links {
		if p.n.faults.isCut(l.remote) {
			p.retire(l)
			l.close()
			p.closeIfDone(l)
		}
	}
}

func (p *pool) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.conn.silent.Store(true)
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for l := range p.links {
		l.close()
	}
	clear(p.links)
}
