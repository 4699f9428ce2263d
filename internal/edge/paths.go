package edge

import (
	"context"
	"net"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/core/reach"
	"github.com/buckthorndock/buckthorndock/internal/httpwire"
	"github.com/buckthorndock/buckthorndock/internal/paths"
	"github.com/buckthorndock/buckthorndock/internal/tunnel"
)

// dial returns the function that opens connections to upstreams.
func (c *Config) dial() httpwire.DialFunc {
	if c.DialUpstream != nil {
		return c.DialUpstream
	}
	return NewUpstreamDialer()
}

// NewUpstreamDialer returns the function that opens connections to upstreams over the network.
func NewUpstreamDialer() httpwire.DialFunc {
	return httpwire.NewDialer(httpwire.DialOptions{
		UserTimeout:   userTimeout,
		ProbeIdle:     probeIdle,
		ProbeInterval: probeInterval,
		ProbeCount:    probeCount,
	})
}

// tunnelFilesDivisor limits the tunnels of other daemons to 1/tunnelFilesDivisor of the process's
// files. A tunnel has two connections.
const tunnelFilesDivisor = 8

// buildPaths creates the components that open connections to upstreams, for this daemon and for
// others.
func (p *process) buildPaths() error {
	direct := p.cfg.dial()
	p.paths = paths.New(paths.Options{
		Domain:   p.cfg.Domain,
		Dial:     direct,
		DomainOf: paths.NewAddressIndex(p.list.Load, domainsByAddress).DomainOf,
		Targets:  func(domain string) []string { return p.relay.ProbeTargets(domain) }, // p.relay is not set yet
		Daemons:  p.peers,
		OnChange: p.pathChanged,
		Log:      p.log,
	})
	p.pool = httpwire.NewPool(httpwire.Options{
		Dial:        p.paths.Dial,
		DialTimeout: dialTimeout,
		MaxIdle:     idlePerServer,
		IdleTimeout: idleTimeout,
		IdleMargin:  idleMargin,
		Memory:      p.answers,
		Log:         p.log,
	})
	p.tunnels = tunnel.NewHandler(tunnel.Options{
		Dial:        p.paths.DialForOther,
		DialTimeout: dialTimeout,
		Willing:     func(address string) bool { return !p.leaving.Load() && p.paths.Willing(address) },
		MaxOpen:     p.cfg.MaxFiles / tunnelFilesDivisor,
		Log:         p.log,
	})
	p.node.HandleStreams(p.tunnels)
	return p.node.Register(paths.ServiceName, p.paths.RPC())
}

// pathChanged closes the idle connections over the former path to a failure domain before any is
// used again.
func (p *process) pathChanged(domain string, c reach.Change) (moved int) {
	for _, u := range p.list.Load().Upstreams {
		if u.Domain == domain {
			p.pool.CloseIdle(u.Address)
		}
	}
	return p.relay.PathChanged(domain, c)
}

// Others implements paths.Daemons.
func (p *peers) Others() []paths.Daemon {
	self := p.node.Self().Host
	var others []paths.Daemon
	for _, m := range p.node.Members() {
		if m.Host != self && m.State == membership.Live {
			others = append(others, paths.Daemon{Host: m.Host, Address: m.Address, Domain: p.Domain(m.Host)})
		}
	}
	return others
}

// Connect implements paths.Daemons.
func (p *peers) Connect(ctx context.Context, address, upstream string) (net.Conn, error) {
	return tunnel.Dial(ctx, p.node.DialStream, address, upstream)
}

// domainsByAddress returns the failure domains of the upstreams of a list.
func domainsByAddress(list *fleet.Snapshot) map[string]string {
	domains := make(map[string]string, len(list.Upstreams))
	for _, u := range list.Upstreams {
		domains[u.Address] = u.Domain
	}
	return domains
}
