package httpwire

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/inbound"
)

// Options configure a Pool. All durations must be positive.
type Options struct {
	Dial        DialFunc // opens connections
	DialTimeout time.Duration
	MaxIdle     int           // idle connections kept to one address
	IdleTimeout time.Duration // longest that one is kept; shorter if the upstream says so
	// IdleMargin is subtracted from the time for which an upstream says it keeps an
	// idle connection.
	IdleMargin time.Duration
	// CheckByRead keeps idle connections through other daemons, too, whose state only a short read tells. A request
	// that finds one waits for that.
	CheckByRead bool
	Memory      *inbound.Memory // for what is held of answers; not bounded in all if nil
	Log         *logrus.Entry   // for lines about broken answers, a few a second at most; none if nil
}

// Pool opens connections and keeps idle ones for reuse. It is safe for concurrent
// use.
type Pool struct {
	opts     Options
	rejected *rejectedLog

	mu     sync.Mutex
	idle   map[string][]*conn // by address, the most recently used last
	dialed uint64
	swept  time.Time // when all idle connections were last checked
}

// NewPool returns a pool without connections.
func NewPool(o Options) *Pool {
	return &Pool{opts: o, rejected: newRejectedLog(o.Log), idle: map[string][]*conn{}}
}

// Memory returns the memory for what is held of answers; nil if it is not bounded in all.
func (p *Pool) Memory() *inbound.Memory { return p.opts.Memory }

// Dialed returns the number of connections opened for requests so far.
func (p *Pool) Dialed() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// Do sends a request and returns the answer once its head is read. The context bounds
// the whole exchange; its end closes the connection. The answer must be closed. With
// fresh the request gets a new connection, so that nothing of earlier exchanges can
// affect it. An error wraps ErrNotSent or ErrBroken.
func (p *Pool) Do(ctx context.Context, address string, req *http.Request, fresh bool) (*Answer, error) {
	c, reused, err := p.get(ctx, address, fresh)
	if err != nil {
		return nil, merry.Wrap(err, merry.WithCause(ErrNotSent))
	}
	a := &Answer{pool: p, conn: c, newConnection: !reused}
	a.stopWatch = context.AfterFunc(ctx, func() { c.Close() })
	if err := a.exchange(req); err != nil {
		a.Close()
		p.rejected.add(address, err)
		return nil, merry.Wrap(err, merry.WithCause(ErrBroken))
	}
	return a, nil
}

// get returns an idle connection to an address, or a new one if there is none or
// fresh is set. It reports whether the connection was idle.
func (p *Pool) get(ctx context.Context, address string, fresh bool) (c *conn, reused bool, err error) {
	if !fresh {
		if c := p.takeIdle(address, time.Now()); c != nil {
			return c, true, nil
		}
	}
	c, err = p.dial(ctx, address)
	if err == nil {
		p.mu.Lock()
		p.dialed++
		p.mu.Unlock()
	}
	return c, false, err
}

// takeIdle returns an idle connection that can be used, or nil. It closes those that
// cannot.
func (p *Pool) takeIdle(address string, now time.Time) *conn {
	for {
		c := p.popIdle(address)
		if c == nil {
			return nil
		}
		if now.Before(c.expires) && c.isUsable() {
			return c
		}
		c.Close()
	}
}

// popIdle removes and returns the most recently used idle connection to an address,
// nil if there is none.
func (p *Pool) popIdle(address string) *conn {
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

// putIdle keeps a connection after its answer for the timeout, or closes it if MaxIdle
// are kept already.
func (p *Pool) putIdle(c *conn, timeout time.Duration) {
	now := time.Now()
	c.expires = now.Add(timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.swept) >= p.opts.IdleTimeout {
		p.sweep(now, func(string) bool { return true })
	}
	kept := p.idle[c.address]
	if len(kept) >= p.opts.MaxIdle {
		c.Close()
		return
	}
	p.idle[c.address] = append(kept, c)
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	for c := p.popIdle(address); c != nil; c = p.popIdle(address) {
		c.Close()
	}
}

// CloseAllIdle closes the idle connections to all addresses.
func (p *Pool) CloseAllIdle() {
	p.Sweep(time.Now(), func(string) bool { return false })
}

// Sweep closes the idle connections that have expired at now, that the upstream has closed or sent
// bytes on, and those to addresses for which keep reports false.
func (p *Pool) Sweep(now time.Time, keep func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now, keep)
}

// sweep is Sweep for a caller that holds p.mu.
func (p *Pool) sweep(now time.Time, keep func(address string) bool) {
	p.swept = now
	for address, kept := range p.idle {
		alive := kept[:0]
		for _, c := range kept {
			if now.Before(c.expires) && keep(address) && c.isUsable() {
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

// idleTime returns how long a connection may be kept after an answer with the header
// h; zero or less means that it must be closed.
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
