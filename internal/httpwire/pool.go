package httpwire

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// Options of a Pool. All durations must be positive.
type Options struct {
	DialTimeout   time.Duration
	UserTimeout   time.Duration // unacknowledged bytes break a connection after it
	ProbeIdle     time.Duration // silence before the first keep-alive probe
	ProbeInterval time.Duration // between two probes
	ProbeCount    int           // unanswered probes that break a connection
	MaxIdle       int           // kept connections to one address
	IdleTimeout   time.Duration // the longest that one is kept; less when the upstream says so
	// IdleMargin is taken off the time that an upstream says it keeps an idle
	// connection.
	IdleMargin time.Duration
}

// Pool keeps connections. It is safe for concurrent use.
type Pool struct {
	opts Options

	mu     sync.Mutex
	idle   map[string][]*conn // by address, the last used last
	dialed uint64
}

// NewPool returns a pool without connections.
func NewPool(o Options) *Pool {
	return &Pool{opts: o, idle: map[string][]*conn{}}
}

// Dialed returns the number of connections made so far.
func (p *Pool) Dialed() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// Do sends a request and returns its answer's head. The context bounds the whole
// exchange; its end closes the connection. The answer must be closed. With fresh
// the request gets a new connection, which nothing left behind can disturb.
func (p *Pool) Do(ctx context.Context, address string, req *http.Request, fresh bool) (*Answer, error) {
	c, err := p.get(ctx, address, fresh)
	if err != nil {
		return nil, merry.Wrap(err, merry.WithCause(ErrNotSent))
	}
	a := &Answer{pool: p, conn: c}
	a.stop = context.AfterFunc(ctx, func() { c.Close() })
	if err := a.exchange(req); err != nil {
		a.Close()
		return nil, merry.Wrap(err, merry.WithCause(ErrBroken))
	}
	return a, nil
}

// TryDial makes a connection to an address and closes it; the error is that of dialing.
func (p *Pool) TryDial(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	return c.Close()
}

func (p *Pool) get(ctx context.Context, address string, fresh bool) (*conn, error) {
	if !fresh {
		if c := p.take(address, time.Now()); c != nil {
			return c, nil
		}
	}
	c, err := p.dial(ctx, address)
	if err == nil {
		p.mu.Lock()
		p.dialed++
		p.mu.Unlock()
	}
	return c, err
}

// take returns a kept connection that can be used, nil when there is none.
func (p *Pool) take(address string, now time.Time) *conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if now.Before(c.expires) && c.quiet() {
			return c
		}
		c.Close()
	}
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	c := kept[len(kept)-1]
	if len(kept) == 1 {
		delete(p.idle, address)
	} else {
		p.idle[address] = kept[:len(kept)-1]
	}
	return c
}

// keep takes back a connection whose answer is over.
func (p *Pool) keep(c *conn, timeout time.Duration) {
	c.expires = time.Now().Add(timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[c.address]
	if len(kept) >= p.opts.MaxIdle {
		c.Close()
		return
	}
	p.idle[c.address] = append(kept, c)
}

// CloseIdle closes the kept connections to an address.
func (p *Pool) CloseIdle(address string) {
	for c := p.pop(address); c != nil; c = p.pop(address) {
		c.Close()
	}
}

// Sweep closes the kept connections whose time is over, and with keep those of
// addresses that it does not name.
func (p *Pool) Sweep(now time.Time, keep func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, kept := range p.idle {
		alive := kept[:0]
		for _, c := range kept {
			if now.Before(c.expires) && keep(address) {
				alive = append(alive, c)
				continue
			}
			c.Close()
		}
		if len(alive) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = alive
	}
}

// idleTime returns how long a connection may be kept after an answer.
func (p *Pool) idleTime(h http.Header) time.Duration {
	timeout := p.opts.IdleTimeout
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			timeout = min(timeout, time.Duration(s)*time.Second-p.opts.IdleMargin)
		}
	}
	return timeout
}
