package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/core/placement"
	"github.com/buckthorndock/buckthorndock/internal/core/reach"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
	"github.com/buckthorndock/buckthorndock/internal/deaths"
	"github.com/buckthorndock/buckthorndock/internal/httpwire"
	"github.com/buckthorndock/buckthorndock/internal/netfault"
	"github.com/buckthorndock/buckthorndock/internal/paths"
	"github.com/buckthorndock/buckthorndock/internal/tunnel"
	"github.com/buckthorndock/buckthorndock/internal/upstream"
)

// Limits of the connections that this daemon opens to upstreams for others.
const (
	maxTunnels        = 256
	tunnelDialTimeout = upstream.DefaultDialTimeout
)

// maxProbeTargets is the number of upstreams tried in one probe of a failure domain.
const maxProbeTargets = 3

// dialDirect returns the function that opens connections to upstreams over the network.
func (p *process) dialDirect() httpwire.DialFunc {
	var network net.Dialer
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return network.DialContext(ctx, "tcp", address)
	}
	if !p.cfg.TestFaults {
		return dial
	}
	p.links = netfault.New(dial)
	return p.links.Dial
}

// buildPaths creates the components that open connections to upstreams, for this daemon and for
// others.
func (p *process) buildPaths() error {
	direct := p.dialDirect()
	p.paths = paths.New(paths.Options{
		Domain:   p.cfg.Domain,
		Dial:     direct,
		DomainOf: paths.NewAddressIndex(p.follower.Current, domainsByAddress).DomainOf,
		Targets:  p.probeTargets,
		Daemons:  p.peers,
		OnChange: p.pathChanged,
		Log:      p.log,
	})
	p.tunnels = tunnel.NewHandler(tunnel.Options{
		Dial:        p.paths.DialForOther,
		DialTimeout: tunnelDialTimeout,
		Willing:     func(address string) bool { return !p.leaving.Load() && p.paths.Willing(address) },
		MaxOpen:     maxTunnels,
		Log:         p.log,
	})
	p.node.HandleStreams(p.tunnels)
	return p.node.Register(paths.ServiceName, p.paths.RPC())
}

// domainsByAddress returns the failure domains of the upstreams in the settings.
func domainsByAddress(snap *settings.Snapshot) map[string]string {
	domains := make(map[string]string, len(snap.Upstreams()))
	for _, u := range snap.Upstreams() {
		domains[u.Address] = u.Domain
	}
	return domains
}

// probeTargets returns the addresses of a few upstreams of a failure domain, drawn at random.
func (p *process) probeTargets(domain string) []string {
	var addresses []string
	for _, u := range p.follower.Current().Upstreams() {
		if u.Domain == domain {
			addresses = append(addresses, u.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(maxProbeTargets, len(addresses))]
}

// pathChanged closes the idle connections over the former path before any is used again. Streams
// in progress are looked after by the requests that wait for them.
func (p *process) pathChanged(string, reach.Change) (moved int) {
	p.client.CloseIdle()
	p.engines.CloseIdle()
	return 0
}

// monitorPaths probes the failure domains that are not reached directly.
func (p *process) monitorPaths(ctx context.Context) error {
	return p.paths.Run(ctx, func() (domains []string, busy bool) { return nil, false })
}

// neighbours returns the neighbours of an upstream in a random order.
func (p *process) neighbours(u deaths.Upstream) deaths.Neighbours {
	var n deaths.Neighbours
	listed := slices.Clone(p.follower.Current().Upstreams())
	rand.Shuffle(len(listed), func(i, j int) { listed[i], listed[j] = listed[j], listed[i] })
	for _, other := range listed {
		state, known := p.router.State(other.Name)
		n.AddNear(u, other.Address, other.Domain, !known || state != placement.Live)
	}
	for _, d := range p.peers.Others() {
		if d.Domain == u.Domain {
			n.Daemons = append(n.Daemons, d.Address)
		}
	}
	return n
}

// Others implements paths.Daemons.
func (p *peers) Others() []paths.Daemon {
	var others []paths.Daemon
	for _, m := range p.Members() {
		if m.Host != p.host && m.State == membership.Live {
			others = append(others, paths.Daemon{Host: m.Host, Address: m.Address, Domain: m.Domain})
		}
	}
	return others
}

// Connect implements paths.Daemons.
func (p *peers) Connect(ctx context.Context, address, upstream string) (net.Conn, error) {
	return tunnel.Dial(ctx, p.DialStream, address, upstream)
}
