package daemon

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/claims"
	"github.com/buckthorndock/buckthorndock/internal/config"
	"github.com/buckthorndock/buckthorndock/internal/core/admission"
	"github.com/buckthorndock/buckthorndock/internal/core/conntable"
	"github.com/buckthorndock/buckthorndock/internal/core/ledger"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
	"github.com/buckthorndock/buckthorndock/internal/deaths"
	"github.com/buckthorndock/buckthorndock/internal/entrypoint"
	"github.com/buckthorndock/buckthorndock/internal/follow"
	"github.com/buckthorndock/buckthorndock/internal/front"
	"github.com/buckthorndock/buckthorndock/internal/gate"
	"github.com/buckthorndock/buckthorndock/internal/inbound"
	"github.com/buckthorndock/buckthorndock/internal/join"
	"github.com/buckthorndock/buckthorndock/internal/netfault"
	"github.com/buckthorndock/buckthorndock/internal/obs"
	"github.com/buckthorndock/buckthorndock/internal/owner"
	"github.com/buckthorndock/buckthorndock/internal/paths"
	"github.com/buckthorndock/buckthorndock/internal/peer"
	"github.com/buckthorndock/buckthorndock/internal/platform"
	"github.com/buckthorndock/buckthorndock/internal/router"
	"github.com/buckthorndock/buckthorndock/internal/shutdown"
	"github.com/buckthorndock/buckthorndock/internal/suspects"
	"github.com/buckthorndock/buckthorndock/internal/tunnel"
	"github.com/buckthorndock/buckthorndock/internal/upstream"
)

// Limits of the HTTP server and of the journal.
const (
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 32 << 10
	idleTimeout    = 2 * time.Minute
	journalSize    = 2000 // routing decisions
)

// loadEvery and publishEvery are the shortest times between two load reports of an
// engine that this host owns and between two digests of these engines. The owner
// extends both in a large failure domain to keep its digests within digestBudget.
const (
	loadEvery    = 50 * time.Millisecond
	publishEvery = 100 * time.Millisecond
)

// digestBudget limits the digests of a failure domain that one front receives, in
// bytes per second. In a large domain they are sent less often to stay within it.
const digestBudget = 3000

// Bounds of what is held of answers, in bytes.
const (
	maxAnswerMemory    = 64 << 20 // of upstreams, all answers in progress together
	maxPlatformMessage = 64 << 20 // one answer of the platform, which may have a snapshot of the settings
)

// Parts of the process's memory, beside those of package entrypoint.
const (
	answerMemoryShare = 0.1 // what is held of answers, up to maxAnswerMemory
	bodyMemoryShare   = 0.25
)

// memory returns what the process may use.
func (p *process) memory() entrypoint.Memory { return entrypoint.MB(float64(p.cfg.MemoryMB)) }

// platformClient returns a client of one of the platform's services.
func (p *process) platformClient(purpose string) *http.Client {
	c := obs.CountedClient(purpose, p.log)
	c.Transport = &inbound.Transport{RoundTripper: c.Transport, Limits: inbound.BodyLimits{Bytes: maxPlatformMessage}}
	return c
}

// process holds the components of a running daemon.
type process struct {
	cfg         *config.Daemon
	log         *logrus.Entry
	incarnation uint64
	workCtx     context.Context // of the background goroutines

	logService platform.Log
	hostList   *hostList
	weights    platform.Weights

	node     *peer.Node
	peers    *peers
	follower *follow.Follower

	links   *netfault.Links // of the connections to upstreams; nil without test faults
	paths   *paths.Tracker
	tunnels *tunnel.Handler
	leaving atomic.Bool
	// shutdown tells requests in progress of the end, if it is bounded by cfg.ShutdownTimeout.
	shutdown *shutdown.Control
	client   *upstream.Client
	answers  *inbound.Memory // of upstreams
	watcher  *upstream.Watcher
	router   *router.Router
	engines  *owner.HTTPEngines
	owner    *owner.Service
	holder   *owner.Holder
	orders   *owner.Orders
	claims   *claims.Service
	join     *join.Service
	gate     *gate.Gate

	suspects *suspects.Tracker

	front  *front.Server
	bounds *entrypoint.Bounds
	server *entrypoint.Server
}

// newProcess builds a daemon. Its peer listener is open, but nothing runs yet.
func newProcess(workCtx context.Context, cfg *config.Daemon, log *logrus.Entry) (*process, error) {
	p := &process{cfg: cfg, log: log, workCtx: workCtx, incarnation: uint64(time.Now().UnixMilli()), shutdown: shutdown.New()}
	p.bounds = entrypoint.NewBounds(p.memory(), log)
	steps := []func() error{p.buildPlatform, p.buildPeers, p.buildFollower, p.buildPaths, p.buildUpstreams, p.buildOwner, p.buildOrders, p.buildClaims, p.buildJoin, p.buildFront}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// selfHolder returns the identity under which this process holds reservations.
func (p *process) selfHolder() ledger.Holder {
	return holderOf(p.cfg.Host, p.incarnation)
}

// formatIncarnation returns a host's incarnation in the form that engines and their
// owners use.
func formatIncarnation(incarnation uint64) string { return strconv.FormatUint(incarnation, 10) }

func (p *process) buildPlatform() error {
	logService, err := platform.NewHTTP(p.cfg.Platform.Log, p.platformClient(obs.PurposeLog))
	if err != nil {
		return err
	}
	hosts, err := platform.NewHTTP(p.cfg.Platform.Hosts, p.platformClient(obs.PurposeHosts))
	if err != nil {
		return err
	}
	weights, err := platform.NewHTTP(p.cfg.Platform.Weights, p.platformClient(obs.PurposeWeights))
	if err != nil {
		return err
	}
	p.logService, p.hostList, p.weights = logService, &hostList{source: hosts}, weights
	return nil
}

func (p *process) buildPeers() error {
	node, err := peer.New(peer.Options{
		Host:        p.cfg.Host,
		Domain:      p.cfg.Domain,
		Region:      p.cfg.Region,
		Incarnation: p.incarnation,
		Listen:      p.cfg.PeerListen,
		Key:         p.cfg.PeerKey,
		Seeds:       p.cfg.Seeds,
		HostList:    p.hostList.List,
		Busy:        func() bool { return p.router.Busy() },
		TestFaults:  p.cfg.TestFaults,
		Logger:      p.log,

		NewStreamServer: p.streamServer,
	})
	if err != nil {
		return err
	}
	p.node = node
	p.peers = &peers{Node: node, host: p.cfg.Host, domain: p.cfg.Domain, upstreamDomain: p.upstreamDomain}
	return nil
}

// upstreamDomain returns the failure domain of an upstream, or "" if the settings
// have none of that name.
func (p *process) upstreamDomain(name string) string {
	if u := p.follower.Current().Upstream(name); u != nil {
		return u.Domain
	}
	return ""
}

func (p *process) buildFollower() error {
	p.follower = follow.New(follow.Options{
		Log:       p.logService,
		Peers:     p.peers,
		Retention: p.cfg.Platform.LogRetention,
		Logger:    p.log,
	})
	return p.node.Register(follow.Service, p.follower.RPC())
}

func (p *process) buildUpstreams() error {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) { return p.paths.Dial(ctx, address) }
	p.answers = inbound.NewMemory("answers", min(p.memory().Share(answerMemoryShare), maxAnswerMemory))
	p.client = upstream.NewClient(upstream.Options{Dial: dial, Memory: p.answers, Log: p.log})
	p.router = router.New(router.Options{
		Domain:       p.cfg.Domain,
		SpillDomains: p.peers.reachableDomains,
		Seed:         p.incarnation,
	})
	p.watcher = upstream.NewWatcher(p.client, p.router, upstream.WatchOptions{Interval: watchInterval, Timeout: watchTimeout})
	p.engines = owner.NewHTTPEngines(upstream.NewOrderClient(dial, p.answers, p.log), time.Now)
	return nil
}

func (p *process) buildOwner() error {
	p.owner = owner.New(owner.Options{
		Engines:      p.engines,
		Ownership:    p.peers,
		Publisher:    &publisher{node: p.node, log: p.log},
		Catalog:      p.catalog,
		Log:          p.log,
		LoadEvery:    loadEvery,
		PublishEvery: publishEvery,
		DigestBudget: digestBudget,
	})
	rpc := p.owner.RPC(p.workCtx)
	p.holder = owner.NewHolder(owner.HolderOptions{
		Self:      p.selfHolder(),
		Engines:   p.engines,
		Peers:     p.peers,
		Ownership: p.peers,
		Local:     rpc,
		Log:       p.log,
	})
	return p.node.Register(owner.ServiceName, rpc)
}

// catalog returns the engines of this failure domain.
func (p *process) catalog() []owner.Engine {
	var engines []owner.Engine
	for _, u := range p.follower.Current().Upstreams() {
		if u.Domain == p.cfg.Domain && u.Pool.Kind == settings.PoolEngine {
			engines = append(engines, owner.Engine{Name: u.Name, Address: u.Address, Pool: u.Pool.Name})
		}
	}
	return engines
}

func (p *process) buildClaims() error {
	p.suspects = suspects.New(p.cfg.Host, p.log)
	p.claims = claims.New(claims.Options{
		Host:        p.cfg.Host,
		Incarnation: p.incarnation,
		Log:         p.log,
	}, p.logService, p.peers)
	p.gate = gate.New(gate.Options{Limits: admission.LimiterOptions{
		Host:          p.cfg.Host,
		Domain:        p.cfg.Domain,
		ExpectedHosts: 1,
	}})
	return p.node.Register(claims.ServiceName, p.claims.RPC())
}

func (p *process) buildJoin() error {
	p.join = join.New(join.Options{Host: p.cfg.Host, Incarnation: p.incarnation, Peers: p.peers})
	return p.node.Register(join.ServiceName, p.join.RPC(p.workCtx))
}

func (p *process) buildFront() error {
	hold := newDispatchHold(p.log)
	var onDispatchPoint func(front.DispatchPoint)
	if p.cfg.TestFaults {
		onDispatchPoint = hold.wait
	}
	var err error
	p.front, err = front.NewServer(front.Options{
		OnDispatchPoint:     onDispatchPoint,
		Shutdown:            p.shutdown,
		Host:                p.cfg.Host,
		Domain:              p.cfg.Domain,
		Incarnation:         p.selfHolder().Incarnation,
		Settings:            p.follower,
		Router:              p.router,
		Journal:             router.NewJournal(journalSize),
		Client:              p.client,
		AnswerMemory:        p.answers,
		BodyMemory:          inbound.NewMemory("requests", p.memory().Share(bodyMemoryShare)),
		Holder:              p.holder,
		Gate:                p.gate,
		Claims:              p.claims,
		Join:                p.join,
		Suspects:            p.suspects,
		Deaths:              deaths.New(deaths.Options{Paths: p.paths, Neighbours: p.neighbours}),
		Operator:            &operator{follower: p.follower, peers: p.peers},
		OperatorTokenSHA256: p.cfg.OperatorTokenSHA256,
		Log:                 p.log,
	})
	if err != nil {
		return err
	}
	handler := p.front.Handler()
	if p.cfg.TestFaults {
		handler = withFaults(handler, p.node, hold, p.links)
	}
	p.server = p.bounds.NewServer(entrypoint.Options{
		Name:         "callers",
		Handler:      handler,
		MaxConns:     min(p.cfg.MaxConnections, p.memory().MaxConnections()),
		Limits:       callerLimits,
		OnTurnedAway: connectionsRefused.Inc,
	})
	return nil
}

// callerLimits returns the limits on what callers and operators send. The settings have none.
func callerLimits() conntable.Limits {
	return conntable.Limits{HeadBytes: maxHeaderBytes, HeadTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// streamServer returns the server of other daemons' streams, whose connections are no longer its own
// once a tunnel is open.
func (p *process) streamServer(h http.Handler) peer.StreamServer {
	return p.bounds.NewServer(entrypoint.Options{
		Name:     "streams",
		Handler:  h,
		MaxConns: maxTunnels,
		Limits: func() conntable.Limits {
			return conntable.Limits{HeadBytes: peer.MaxStreamHeadBytes, HeadTimeout: headerTimeout, IdleTimeout: idleTimeout}
		},
	})
}
