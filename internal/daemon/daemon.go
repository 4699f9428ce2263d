package daemon

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/config"
	"github.com/buckthorndock/buckthorndock/internal/entrypoint"
	"github.com/buckthorndock/buckthorndock/internal/shutdown"
	"github.com/buckthorndock/buckthorndock/internal/suspects"
)

// evidenceStream is the log stream of the evidence on requests that crash engines.
const evidenceStream = "evidence"

// Times of a graceful shutdown.
const (
	// lameDuckPeriod is how long a leaving daemon still accepts requests while the
	// load balancer notices that it is not ready.
	lameDuckPeriod    = 2 * time.Second
	drainPollInterval = 50 * time.Millisecond
	// maxTunnelWait is for requests of other daemons; polls stay open. A stream that is cut
	// after it is resumed on another connection.
	maxTunnelWait         = 5 * time.Second
	maxEndsWait           = 2 * time.Second // for engines to confirm the ends of attempts
	serverShutdownTimeout = 2 * time.Second
)

// Run runs the daemon until ctx is cancelled, then lets the requests in progress
// finish, within cfg.ShutdownTimeout if that is set. It returns nil after a graceful
// shutdown.
func Run(ctx context.Context, cfg *config.Daemon, log *logrus.Entry) error {
	workCtx, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	debug.SetMemoryLimit(entrypoint.MB(float64(cfg.MemoryMB)).Share(entrypoint.HeapLimitShare))
	p, err := newProcess(workCtx, cfg, log)
	if err != nil {
		return err
	}
	listener, err := p.server.Listen(cfg.Listen)
	if err != nil {
		p.node.Close()
		return merry.Prepend(err, "callers")
	}
	gauges := metrics.NewSet()
	gauges.NewGauge("buckthorndock_connections_open", func() float64 { return float64(p.server.Open()) })
	p.follower.RegisterMetrics(gauges)
	metrics.RegisterSet(gauges)
	defer metrics.UnregisterSet(gauges, true)
	background := p.start()
	failed := make(chan error, 1)
	go func() { failed <- p.server.Serve(listener) }()
	log.WithFields(logrus.Fields{"listen": cfg.Listen, "domain": cfg.Domain}).Info("started")
	select {
	case err = <-failed:
		err = merry.Prepend(err, "serve callers")
	case <-ctx.Done():
		p.drain()
	}
	stopWork()
	background.Wait()
	log.Info("stopped")
	return err
}

// start starts the background goroutines, which end when workCtx is cancelled. The
// WaitGroup waits for them.
func (p *process) start() *sync.WaitGroup {
	var wg sync.WaitGroup
	run := func(name string, loop func(context.Context) error) {
		wg.Go(func() {
			if err := loop(p.workCtx); err != nil {
				p.log.WithError(err).WithField("part", name).Error("component_failed")
			}
		})
	}
	run("peers", p.node.Run)
	run("follower", p.follower.Run)
	run("settings", p.applySettings)
	run("digests", p.readDigests)
	run("listed", p.shareListed)
	run("watch", p.watch)
	run("paths", p.monitorPaths)
	run("owner", p.owner.Run)
	run("hosts", p.trackHosts)
	run("holder", p.holder.Run)
	run("orders", p.orders.Run)
	run("claims", p.claims.Run)
	run("limits", p.shareLimits)
	run("work", p.shareWork)
	run("speeds", p.reportSpeeds)
	run("suspects", func(ctx context.Context) error { return p.suspects.Share(ctx, p.node) })
	run("evidence", func(ctx context.Context) error {
		return p.suspects.SyncWithStore(ctx, suspects.NewLogStore(p.logService, evidenceStream), p.peers)
	})
	run("front", p.front.Run)
	run("successor", p.stopWhenSuperseded)
	return &wg
}

// drain shuts down gracefully: it announces the end to load balancer and peers, lets
// the requests in progress finish and then closes the server.
func (p *process) drain() {
	p.log.WithField("in_flight", p.front.InFlight()).Info("leaving")
	if limit := p.cfg.ShutdownTimeout; limit > 0 {
		p.shutdown.Begin(shutdown.TimesOf(time.Now(), lameDuckPeriod+limit))
	}
	p.front.MarkLeaving()
	p.leaving.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), lameDuckPeriod)
	defer cancel()
	if err := p.node.Leave(ctx); err != nil {
		p.log.WithError(err).Warn("leave_not_announced")
	}
	<-ctx.Done()
	p.front.RefuseNew()
	p.log.WithField("in_flight", p.front.InFlight()).Info("refusing_requests")
	p.waitDrained()
	p.closeServer()
	p.waitAttemptEnds()
}

// waitDrained waits, within cfg.ShutdownTimeout if that is set, until no request is in progress
// and the tunnels of other daemons are closed, or maxTunnelWait has passed.
func (p *process) waitDrained() {
	began := time.Now()
	for p.front.InFlight() > 0 || p.tunnels.Open() > 0 && time.Since(began) < maxTunnelWait {
		if limit := p.cfg.ShutdownTimeout; limit > 0 && time.Since(began) > limit {
			p.log.WithFields(logrus.Fields{"in_flight": p.front.InFlight(), "tunnels": p.tunnels.Open()}).Warn("shutdown_timeout")
			return
		}
		time.Sleep(drainPollInterval)
	}
}

func (p *process) closeServer() {
	ctx, cancel := context.WithTimeout(context.Background(), serverShutdownTimeout)
	defer cancel()
	if err := p.server.Shutdown(ctx); err != nil {
		p.log.WithError(err).Warn("server_shutdown_failed")
	}
}

// waitAttemptEnds waits up to maxEndsWait for engines to confirm cancels and
// releases. The engines' owners end the rest.
func (p *process) waitAttemptEnds() {
	deadline := time.Now().Add(maxEndsWait)
	for time.Now().Before(deadline) {
		if _, ending := p.holder.Counts(); ending == 0 {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// supersededCheckInterval is the time between two checks for a newer daemon with
// this host's name.
const supersededCheckInterval = time.Second

// stopWhenSuperseded stops accepting requests when a newer daemon runs under this
// host's name: peers and engine owners accept messages of the newer one only.
func (p *process) stopWhenSuperseded(ctx context.Context) error {
	ticker := time.NewTicker(supersededCheckInterval)
	defer ticker.Stop()
	for !p.node.Superseded() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
	p.log.Error("superseded")
	p.front.MarkLeaving()
	p.front.RefuseNew()
	return nil
}
