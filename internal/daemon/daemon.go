package daemon

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/config"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
	"github.com/buckthorndock/buckthorndock/internal/front"
	"github.com/buckthorndock/buckthorndock/internal/platform"
	"github.com/buckthorndock/buckthorndock/internal/router"
	"github.com/buckthorndock/buckthorndock/internal/upstream"
)

// Bounds of the HTTP server.
const (
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 32 << 10
	idleTimeout    = 2 * time.Minute
	journalSize    = 2000
)

// Times of a graceful end.
const (
	// lameDuck is how long a leaving daemon still takes requests, while the
	// balancer finds out.
	lameDuck   = 2 * time.Second
	drainCheck = 50 * time.Millisecond
	cancelWait = 2 * time.Second
	closeWait  = 2 * time.Second
)

// process holds the parts of a running daemon.
type process struct {
	cfg       *config.Daemon
	log       *logrus.Entry
	router    *router.Router
	client    *upstream.Client
	canceller *upstream.Canceller
	watcher   *upstream.Watcher
	settings  *tail
	front     *front.Server
	server    *http.Server
}

// Run runs the daemon until the context ends, and then until all requests in
// progress have ended. The error is nil after a graceful end.
func Run(ctx context.Context, cfg *config.Daemon, log *logrus.Entry) error {
	p, err := newProcess(cfg, log)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return merry.Prepend(err, "listen for callers")
	}
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	p.start(work)
	failed := make(chan error, 1)
	go func() { failed <- p.server.Serve(listener) }()
	log.WithFields(logrus.Fields{"listen": cfg.Listen, "domain": cfg.Domain}).Info("started")
	select {
	case err := <-failed:
		return merry.Prepend(err, "serve callers")
	case <-ctx.Done():
	}
	p.drain()
	return nil
}

func newProcess(cfg *config.Daemon, log *logrus.Entry) (*process, error) {
	p := &process{cfg: cfg, log: log}
	pl, err := platform.NewHTTP(cfg.Platform.Log, &http.Client{})
	if err != nil {
		return nil, err
	}
	incarnation := strconv.FormatInt(time.Now().UnixMilli(), 10)
	p.client = upstream.NewClient(upstream.Options{})
	p.canceller = upstream.NewCanceller(p.client, log)
	p.router = router.New(router.Options{Domain: cfg.Domain, Seed: uint64(time.Now().UnixNano())})
	p.watcher = upstream.NewWatcher(p.client, p.router, upstream.WatchOptions{})
	p.settings = newTail(pl, log, nil)
	p.front, err = front.NewServer(front.Options{
		Host:                cfg.Host,
		Domain:              cfg.Domain,
		Incarnation:         incarnation,
		Settings:            p.settings,
		Router:              p.router,
		Journal:             router.NewJournal(journalSize),
		Client:              p.client,
		Canceller:           p.canceller,
		Operator:            p.settings,
		OperatorTokenSHA256: cfg.OperatorTokenSHA256,
		Log:                 log,
	})
	if err != nil {
		return nil, err
	}
	p.server = &http.Server{
		Handler:           p.front.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return p, nil
}

// start starts the background work, which ends with the context.
func (p *process) start(ctx context.Context) {
	p.settings.apply = func(snap *settings.Snapshot) {
		p.router.ApplySettings(snap)
		p.watcher.Watch(ctx, p.watched(snap))
	}
	go p.settings.run(ctx)
}

// watched returns the upstreams of this failure domain.
func (p *process) watched(snap *settings.Snapshot) []upstream.Target {
	var targets []upstream.Target
	for _, u := range snap.Upstreams() {
		if u.Domain != p.cfg.Domain {
			continue
		}
		targets = append(targets, upstream.Target{
			Name: u.Name, Address: u.Address, Engine: u.Pool.Kind == settings.PoolEngine,
		})
	}
	return targets
}

// drain ends gracefully: the balancer is told first, requests in progress are
// finished, then all is closed.
func (p *process) drain() {
	p.log.WithField("in_flight", p.front.InFlight()).Info("leaving")
	p.front.Leave()
	time.Sleep(lameDuck)
	p.front.Refuse()
	p.waitDrained()
	ctx, cancel := context.WithTimeout(context.Background(), closeWait)
	defer cancel()
	if err := p.server.Shutdown(ctx); err != nil {
		p.log.WithError(err).Warn("connections_closed")
	}
	p.canceller.Close(cancelWait)
	p.log.WithField("in_flight", p.front.InFlight()).Info("stopped")
}

func (p *process) waitDrained() {
	began := time.Now()
	for p.front.InFlight() > 0 {
		if limit := p.cfg.ShutdownTimeout; limit > 0 && time.Since(began) > limit {
			p.log.WithField("in_flight", p.front.InFlight()).Warn("shutdown_timeout")
			return
		}
		time.Sleep(drainCheck)
	}
}
