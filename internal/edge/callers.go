package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Bounds of the HTTP servers. What the settings say of callers is applied where it can
// change while the daemon runs; these hold before there are any.
const (
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 64 << 10
	idleCallers    = 15 * time.Second
)

func (p *process) callerServer() *http.Server {
	idle := &idleConns{limit: p.callerIdle, timers: map[net.Conn]*time.Timer{}}
	return &http.Server{
		Handler:           p.provider.CallerHandler(p.door, p.leaving.Load),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         idle.state,
	}
}

// callerIdle returns how long a caller's connection may stay idle.
func (p *process) callerIdle() time.Duration {
	if t := p.door.Table(); t != nil && t.Limits().IdleTimeout > 0 {
		return t.Limits().IdleTimeout
	}
	return idleCallers
}

// idleConns closes callers' connections that stay idle for longer than the settings
// say. http.Server has such a limit, but it cannot change while the server runs.
type idleConns struct {
	limit func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func (i *idleConns) state(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t := i.timers[c]; t != nil {
		t.Stop()
		delete(i.timers, c)
	}
	if s == http.StateIdle {
		i.timers[c] = time.AfterFunc(i.limit(), func() { i.expire(c) })
	}
}

func (i *idleConns) expire(c net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.timers[c] == nil {
		return // a request has come in the meantime
	}
	delete(i.timers, c)
	_ = c.Close() // nothing is in progress on it
}

// Times of a graceful end.
const (
	// lameDuck is how long a leaving daemon takes all requests, while the balancer, which
	// asks once a second and believes the second answer, finds out. What comes in these 3 s,
	// the way there included, may be in progress to the end of the grace.
	lameDuck = 2900 * time.Millisecond
	// quietFor is the time without a new request after which a leaving daemon is not
	// needed: where too few others are ready, the balancer sends it more.
	quietFor   = 300 * time.Millisecond
	drainCheck = 30 * time.Millisecond
	// closeMargin is kept free before the end of the grace.
	closeMargin = 500 * time.Millisecond
)

// finish waits until no request is in progress and none has come for a while, or until the
// end.
func (p *process) finish(end time.Time) {
	admitted, last := p.door.Admitted(), time.Now()
	for now := time.Now(); now.Before(end); now = time.Now() {
		if n := p.door.Admitted(); n != admitted {
			admitted, last = n, now
		}
		if p.door.InFlight() == 0 && now.Sub(last) >= quietFor {
			return
		}
		time.Sleep(drainCheck)
	}
}

// drain ends gracefully: the balancer and the peers are told first, requests in
// progress are finished, then all is closed.
func (p *process) drain(servers []*http.Server) {
	end := time.Now().Add(p.current().Grace() - closeMargin)
	p.leaving.Store(true)
	p.log.WithField("in_flight", p.door.InFlight()).Info("leaving")
	ctx, cancel := context.WithTimeout(context.Background(), lameDuck)
	defer cancel()
	if err := p.node.Leave(ctx); err != nil {
		p.log.WithError(err).Warn("leaving_untold")
	}
	<-ctx.Done()
	p.door.SetShutdownDeadline(end)
	p.log.WithField("in_flight", p.door.InFlight()).Info("refusing")
	p.finish(end)
	p.door.SetShutdownDeadline(time.Time{})
	closing, cancelClosing := context.WithDeadline(context.Background(), end)
	defer cancelClosing()
	for _, s := range servers {
		if err := s.Shutdown(closing); err != nil {
			p.log.WithFields(logrus.Fields{"in_flight": p.door.InFlight()}).WithError(err).Warn("connections_cut")
		}
	}
}
