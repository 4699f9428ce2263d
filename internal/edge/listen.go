package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/buckthorndock/buckthorndock/internal/core/conntable"
	"github.com/buckthorndock/buckthorndock/internal/edge/status"
	"github.com/buckthorndock/buckthorndock/internal/entrypoint"
	"github.com/buckthorndock/buckthorndock/internal/peer"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

// Times of the start. Until daemons that start together know each other, each plans alone: it
// gives every long prompt nearly all engines, and prompts pile up on each engine.
const (
	joinTimeout      = 220 * time.Millisecond
	joinPollInterval = 10 * time.Millisecond
)

// openWhenJoined admits the held calls once this daemon can serve and knows another daemon, or
// joinTimeout has passed since the start.
func (p *process) openWhenJoined(ctx context.Context) error {
	for wait.For(ctx, joinPollInterval) {
		joined := len(p.node.Members()) > 1
		if p.serving.Load() && (joined || time.Since(p.started) >= joinTimeout) {
			p.admitter.MarkReady()
			return nil
		}
	}
	return nil
}

// Limits of the ports for the platform and for operators.
const (
	adminHeaderBytes = 16 << 10
	adminIdleTimeout = 2 * time.Minute
)

// Connections open at once on each of these ports: 1/adminFilesDivisor of the process's files, within bounds.
const (
	adminFilesDivisor = 32
	minAdminConns     = 8
	maxAdminConns     = 64
)

func (p *process) maxAdminConns() int {
	if p.cfg.MaxFiles == 0 { // not limited
		return maxAdminConns
	}
	return min(max(p.cfg.MaxFiles/adminFilesDivisor, minAdminConns), maxAdminConns)
}

// streamServer returns the server of other daemons' streams, whose connections are no longer its own
// once a tunnel is open.
func (p *process) streamServer(h http.Handler) *entrypoint.Server {
	return p.bounds.NewServer(entrypoint.Options{
		Name:     "streams",
		Handler:  h,
		MaxConns: max(p.cfg.MaxFiles/tunnelFilesDivisor, maxAdminConns),
		Limits: func() conntable.Limits {
			return conntable.Limits{HeadBytes: peer.MaxStreamHeadBytes, HeadTimeout: headerTimeout, IdleTimeout: defaultCallerIdle}
		},
	})
}

// adminServer returns a server of a port that is not for callers.
func (p *process) adminServer(name string, h http.Handler) *entrypoint.Server {
	return p.bounds.NewServer(entrypoint.Options{
		Name:     name,
		Handler:  h,
		MaxConns: p.maxAdminConns(),
		Limits: func() conntable.Limits {
			return conntable.Limits{HeadBytes: adminHeaderBytes, HeadTimeout: headerTimeout, IdleTimeout: adminIdleTimeout}
		},
	})
}

// listen opens all listeners and serves them. The channel receives the errors of servers that fail
// later.
func (p *process) listen() ([]*entrypoint.Server, <-chan error, error) {
	metrics.GetOrCreateGauge("buckthorndock_requests_in_flight", func() float64 { return float64(p.admitter.InFlight()) })
	page := http.NewServeMux()
	page.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	page.HandleFunc("GET "+status.Path, p.serveStatus)
	all := []struct {
		address string
		server  *entrypoint.Server
	}{
		{p.cfg.Listen.Callers, p.callerServer()},
		{p.cfg.Listen.Ready, p.adminServer("ready", p.provider.ReadyHandler(p.ready))},
		{p.cfg.Listen.Metrics, p.adminServer("metrics", page)},
	}
	failed := make(chan error, len(all))
	servers := make([]*entrypoint.Server, 0, len(all))
	for _, l := range all {
		socket, err := l.server.Listen(l.address)
		if err != nil {
			for _, s := range servers {
				_ = s.Close()
			}
			return nil, nil, err
		}
		servers = append(servers, l.server)
		go func() {
			if err := l.server.Serve(socket); err != nil && err != http.ErrServerClosed {
				failed <- err
			}
		}()
	}
	return servers, failed, nil
}
