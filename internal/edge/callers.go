package edge

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/conntable"
	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/entrypoint"
	"github.com/buckthorndock/buckthorndock/internal/hardclose"
	"github.com/buckthorndock/buckthorndock/internal/shutdown"
)

// Limits on what clients send while the settings give none, and on the ports that are not for callers.
const (
	headerTimeout     = 5 * time.Second
	maxHeaderBytes    = 64 << 10
	defaultCallerIdle = 15 * time.Second
)

// callerFilesDivisor limits the connections of callers to 1/callerFilesDivisor of the process's files.
// The others are for other daemons, tunnels and upstreams.
const callerFilesDivisor = 4

func (p *process) callerServer() *entrypoint.Server {
	return p.bounds.NewServer(entrypoint.Options{
		Name:        "callers",
		Handler:     p.provider.CallerHandler(p.admitter, p.leaving.Load),
		MaxConns:    p.maxCallerConns(),
		Limits:      p.callerLimits,
		Overloaded:  p.turnsCallersOff,
		ConnContext: hardclose.Context,
	})
}

// maxCallerConns returns how many connections of callers may be open. A file without a limit of files
// leaves the memory to limit them.
func (p *process) maxCallerConns() int {
	most := p.memory().MaxConnections()
	if p.cfg.MaxFiles > 0 {
		most = min(most, p.cfg.MaxFiles/callerFilesDivisor)
	}
	return most
}

// turnsCallersOff reports whether this daemon has more to do than its processor time allows for, while
// callers can try others.
func (p *process) turnsCallersOff() bool {
	return p.lag.overloaded() && slices.ContainsFunc(p.node.Members(), func(m membership.Member) bool {
		return m.Host != p.cfg.Host && m.State == membership.Live
	})
}

// callerLimits returns the limits on what callers send: those of the settings in force, and the defaults
// for what these do not tell.
func (p *process) callerLimits() conntable.Limits {
	l := conntable.Limits{HeadBytes: maxHeaderBytes, HeadTimeout: headerTimeout, IdleTimeout: defaultCallerIdle}
	t := p.admitter.Table()
	if t == nil {
		return l
	}
	inForce := t.Limits()
	if inForce.HeaderBytes > 0 {
		l.HeadBytes = inForce.HeaderBytes
	}
	if inForce.HeaderTimeout > 0 {
		l.HeadTimeout = inForce.HeaderTimeout
	}
	if inForce.IdleTimeout > 0 {
		l.IdleTimeout = inForce.IdleTimeout
	}
	return l
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
func (p *process) drain(servers []*entrypoint.Server) {
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
func closeServers[S interface{ Shutdown(context.Context) error }](servers []S, times shutdown.Times) error {
	ctx, cancel := context.WithDeadline(context.Background(), times.ExitBy(time.Now()))
	defer cancel()
	var errs []error
	for _, s := range servers {
		errs = append(errs, s.Shutdown(ctx))
	}
	return errors.Join(errs...)
}
