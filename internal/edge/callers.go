package edge

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/hardclose"
	"github.com/buckthorndock/buckthorndock/internal/shutdown"
)

// Limits of the HTTP servers. Those for headers are fixed; defaultCallerIdle applies while the
// settings give no idle limit.
const (
	headerTimeout     = 5 * time.Second
	maxHeaderBytes    = 64 << 10
	defaultCallerIdle = 15 * time.Second
)

// callerFilesDivisor limits the connections of callers to 1/callerFilesDivisor of the process's files.
// The others are for other daemons, tunnels and upstreams.
const callerFilesDivisor = 4

func (p *process) callerServer() *http.Server {
	conns := newCallerConns(p.cfg.MaxFiles/callerFilesDivisor, p.callerIdle, p.turnsCallersOff)
	return &http.Server{
		Handler:           p.provider.CallerHandler(p.admitter, p.leaving.Load),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         conns.stateChanged,
		ConnContext:       hardclose.Context,
	}
}

// turnsCallersOff reports whether this daemon has more to do than its processor time allows for, while
// callers can try others.
func (p *process) turnsCallersOff() bool {
	return p.lag.overloaded() && slices.ContainsFunc(p.node.Members(), func(m membership.Member) bool {
		return m.Host != p.cfg.Host && m.State == membership.Live
	})
}

// callerIdle returns how long a caller's connection may stay idle: the limit of the settings, or
// defaultCallerIdle.
func (p *process) callerIdle() time.Duration {
	if t := p.admitter.Table(); t != nil && t.Limits().IdleTimeout > 0 {
		return t.Limits().IdleTimeout
	}
	return defaultCallerIdle
}

// Times of a graceful shutdown; see package shutdown for the others.
const (
	// quietTime is how long no new request must have come before a leaving daemon may stop: if too
	// few other daemons are ready, the balancer still sends it requests.
	quietTime         = 300 * time.Millisecond
	drainPollInterval = 30 * time.Millisecond
)

// awaitIdle waits until no request is in progress, none has arrived for quietTime and no other
// daemon uses a tunnel, or until the end.
func (p *process) awaitIdle(end time.Time) {
	admitted, last := p.admitter.Admitted(), time.Now()
	for now := time.Now(); now.Before(end); now = time.Now() {
		if n := p.admitter.Admitted(); n != admitted {
			admitted, last = n, now
		}
		if p.admitter.InFlight() == 0 && p.tunnels.Open() == 0 && now.Sub(last) >= quietTime {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// drain shuts down gracefully: it announces to the balancer and the peers that this daemon
// leaves, waits for the requests in progress, and closes the servers. It returns when the process
// has to exit at the latest.
func (p *process) drain(servers []*http.Server) {
	times := shutdown.TimesOf(time.Now(), p.current().Grace())
	p.leaving.Store(true)
	p.shutdown.Begin(times)
	p.log.WithField("in_flight", p.admitter.InFlight()).Info("leaving")
	ctx, cancel := context.WithDeadline(context.Background(), times.Late)
	defer cancel()
	if err := p.node.Leave(ctx); err != nil {
		p.log.WithError(err).Warn("leave_not_announced")
	}
	<-ctx.Done()
	p.admitter.SetShutdownDeadline(times.End)
	p.log.WithField("in_flight", p.admitter.InFlight()).Info("refusing_requests")
	p.awaitIdle(times.End)
	p.admitter.SetShutdownDeadline(time.Time{})
	if err := closeServers(servers, times); err != nil {
		p.log.WithFields(logrus.Fields{"in_flight": p.admitter.InFlight()}).WithError(err).Warn("connections_closed_early")
	}
	p.relay.LogUnfinished()
}

// closeServers closes the servers when their answers are out. It returns an error if a connection
// was still in use when the process had to end.
func closeServers(servers []*http.Server, times shutdown.Times) error {
	ctx, cancel := context.WithDeadline(context.Background(), times.ExitBy(time.Now()))
	defer cancel()
	var errs []error
	for _, s := range servers {
		errs = append(errs, s.Shutdown(ctx))
	}
	return errors.Join(errs...)
}
