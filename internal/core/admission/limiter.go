package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

// Defaults of a Limiter.
const (
	DefaultFloorShare = 0.2
	DefaultStaleAfter = 30 * time.Second
	DefaultHoldFor    = 10 * time.Minute
	DefaultDemandTime = 10 * time.Second
	DefaultBurst      = time.Second
	DefaultMaxNodes   = 64
)

// LimiterOptions configures a Limiter.
type LimiterOptions struct {
	Host, Domain  string
	ExpectedHosts int           // hosts of the site; limits are divided evenly by it until digests of half of them are known
	FloorShare    float64       // fraction of each limit that is divided evenly; DefaultFloorShare when zero
	StaleAfter    time.Duration // a host without a digest for longer is silent; DefaultStaleAfter when zero
	HoldFor       time.Duration // how long a silent domain keeps its part; DefaultHoldFor when zero
	DemandTime    time.Duration // time constant of recent demand; DefaultDemandTime when zero
	Burst         time.Duration // burst of the limit on tokens per second, as the time in which it refills; DefaultBurst when zero
	MaxNodes      int           // nodes in a digest, those with the most demand; DefaultMaxNodes when zero
}

// Node is a set of limits that a request must fit: those of a settings path or of
// the customer. Names are unique; paths begin with a slash.
type Node struct {
	Name   string
	Limits settings.Limits
}

// Cost is what a request takes from the limits, in tokens.
type Cost struct {
	PromptTokens int
	TotalTokens  int // prompt and answer, estimated
}

// Verdict is the result of Admit.
type Verdict struct {
	OK         bool
	Node       string        // node whose limit was reached
	Limit      LimitKind     // the limit that was reached
	RetryAfter time.Duration // estimate; zero if the request alone exceeds the limit and can never be admitted
}

// LimitKind is one of a node's limits.
type LimitKind uint8

// Kinds of limit.
const (
	RequestsInFlight LimitKind = iota
	PromptTokensInFlight
	TokensPerSecond
)

var limitNames = [...]string{"requests_in_flight", "prompt_tokens_in_flight", "tokens_per_second"}

// String returns the limit's key in the settings.
func (k LimitKind) String() string {
	if int(k) >= len(limitNames) {
		return "unknown"
	}
	return limitNames[k]
}

// Limiter tracks this host's use of the limits. It is not safe for concurrent use.
type Limiter struct {
	opts    LimiterOptions
	nodes   map[string]*node
	scratch []*node
	own     *digest
	use     []NodeUsage // of pools; see SetUse
	round   uint64      // refreshes so far
	view    view
}

// NewLimiter returns a Limiter that knows no other hosts yet.
func NewLimiter(o LimiterOptions) *Limiter {
	o.ExpectedHosts = max(o.ExpectedHosts, 1)
	o.FloorShare = cmp.Or(o.FloorShare, DefaultFloorShare)
	o.StaleAfter = cmp.Or(o.StaleAfter, DefaultStaleAfter)
	o.HoldFor = cmp.Or(o.HoldFor, DefaultHoldFor)
	o.DemandTime = cmp.Or(o.DemandTime, DefaultDemandTime)
	o.Burst = cmp.Or(o.Burst, DefaultBurst)
	o.MaxNodes = cmp.Or(o.MaxNodes, DefaultMaxNodes)
	l := &Limiter{opts: o, nodes: make(map[string]*node)}
	l.own = &digest{Usage: Usage{Host: o.Host, Domain: o.Domain, Hosts: 1}, hash: hashName(o.Host)}
	l.view = view{host: o.Host, domain: o.Domain, peers: make(map[digestKey]*digest)}
	l.view.refresh(l.own, o.StaleAfter, o.HoldFor, time.Time{})
	return l
}

// Admit takes the cost from all nodes of the chain or from none. A refused
// request counts as demand too, so that the host's share can grow.
func (l *Limiter) Admit(chain []Node, c Cost, now time.Time) Verdict {
	l.scratch = l.scratch[:0]
	for i := range chain {
		n := l.node(&chain[i])
		n.recent.decay(now, l.opts.DemandTime)
		n.recent.requests++
		n.recent.tokens += float64(c.TotalTokens)
		l.scratch = append(l.scratch, n)
	}
	for i, n := range l.scratch {
		if kind, wait, ok := l.check(n, c, now); !ok {
			return Verdict{Node: chain[i].Name, Limit: kind, RetryAfter: wait}
		}
	}
	for _, n := range l.scratch {
		n.inFlight++
		n.promptTokens += c.PromptTokens
		if n.limits.TokensPerSecond > 0 {
			n.bucket.level -= float64(c.TotalTokens)
		}
	}
	return Verdict{OK: true}
}

// Done releases what an admitted request held. The estimate taken from tokens per
// second is replaced by usedTokens, the tokens of prompt and answer that the
// request used; zero if it never ran.
func (l *Limiter) Done(chain []Node, c Cost, usedTokens int, now time.Time) {
	for i := range chain {
		n := l.nodes[chain[i].Name]
		if n == nil {
			continue
		}
		n.inFlight--
		n.promptTokens -= c.PromptTokens
		if n.limits.TokensPerSecond > 0 {
			n.bucket.level += float64(c.TotalTokens - usedTokens)
		}
		n.recent.decay(now, l.opts.DemandTime)
		n.recent.done++
		n.recent.freed += float64(c.PromptTokens)
	}
}

// Usage returns this host's digest. The shares are computed from the digest last
// returned, not from newer demand, so that all hosts divide by the same figures.
func (l *Limiter) Usage(now time.Time) Usage {
	u := Usage{Host: l.opts.Host, Domain: l.opts.Domain, Hosts: 1}
	for name, n := range l.nodes {
		n.recent.decay(now, l.opts.DemandTime)
		l.fill(n, now)
		if n.idle() {
			delete(l.nodes, name)
			continue
		}
		requests := saturate(uint64(n.recent.requests * requestUnit))
		if requests == 0 || n.limits == (settings.Limits{}) {
			continue
		}
		u.Nodes = append(u.Nodes, NodeUsage{Node: n.id, Requests: requests, Tokens: saturate(uint64(n.recent.tokens))})
	}
	if len(u.Nodes) > l.opts.MaxNodes {
		slices.SortFunc(u.Nodes, func(a, b NodeUsage) int { return cmp.Compare(b.Requests, a.Requests) })
		u.Nodes = u.Nodes[:l.opts.MaxNodes]
	}
	u.Nodes = append(u.Nodes, l.use...)
	slices.SortFunc(u.Nodes, compareNodes)
	l.own = &digest{Usage: u, hash: hashName(u.Host), at: now}
	return u
}

// SetUse sets this host's use of pools, which the next digests contain beside the demand for limits:
// for each pool and customer the UseID and, as Tokens, the served cost. Those with the least use are
// left out if there are more than fit.
func (l *Limiter) SetUse(use []NodeUsage) {
	if len(use) > l.opts.MaxNodes {
		slices.SortFunc(use, func(a, b NodeUsage) int { return cmp.Compare(b.Tokens, a.Tokens) })
		use = use[:l.opts.MaxNodes]
	}
	l.use = use
}

// PeerUse returns the use with a UseID on all other hosts together, as of the last Refresh. Digests of
// silent hosts do not count.
func (l *Limiter) PeerUse(id uint32, now time.Time) uint64 {
	sum := uint64(0)
	for _, domain := range l.view.domains {
		for _, d := range domain.parts {
			if d.Host == l.opts.Host && domain.name == l.opts.Domain || now.Sub(d.at) > l.opts.StaleAfter {
				continue
			}
			sum += uint64(d.find(id).Tokens)
		}
	}
	return sum
}

// ApplyPeers stores digests of other hosts, or of whole domains, received at now.
// They take effect at the next Refresh.
func (l *Limiter) ApplyPeers(us []Usage, now time.Time) { l.view.apply(us, now) }

// DomainUsage returns the summed usage of the own domain, for gateways to send to
// other domains.
func (l *Limiter) DomainUsage() Usage { return l.view.sum() }

// SetExpectedHosts sets the number of hosts of the site according to the
// membership. It takes effect at the next Refresh.
func (l *Limiter) SetExpectedHosts(n int) { l.opts.ExpectedHosts = max(n, 1) }

// RemoveHost removes a host that has left permanently. It takes effect at the
// next Refresh.
func (l *Limiter) RemoveHost(domain, host string) { delete(l.view.peers, digestKey{domain, host}) }

// Share returns this host's share of a node's limits. Zero in a field whose limit
// is set means that this host may admit nothing.
func (l *Limiter) Share(n Node) settings.Limits { return l.node(&n).share }

// Refresh divides the limits again by the digests received so far. Call it once
// per interval, after Usage and ApplyPeers. Each node's limits are divided only when
// the node is next used, so that no single call takes long.
func (l *Limiter) Refresh(now time.Time) {
	l.view.refresh(l.own, l.opts.StaleAfter, l.opts.HoldFor, now)
	l.round++
}

func (l *Limiter) divide(n *node) {
	n.round = l.round
	n.share = l.view.divide(n.limits, n.id, l.opts.FloorShare, l.opts.ExpectedHosts)
}

// node returns the state of a node, with its current limits and share.
func (l *Limiter) node(of *Node) *node {
	n := l.nodes[of.Name]
	if n != nil && n.round == l.round && n.limits == of.Limits {
		return n
	}
	if n == nil {
		n = &node{id: NodeID(of.Name)}
		l.nodes[of.Name] = n
	}
	n.limits = of.Limits
	if n.limits.TokensPerSecond == 0 {
		n.bucket = bucket{}
	}
	l.divide(n)
	return n
}

// check reports whether the cost fits the host's share of the node's limits.
func (l *Limiter) check(n *node, c Cost, now time.Time) (LimitKind, time.Duration, bool) {
	if n.limits.RequestsInFlight > 0 && n.inFlight >= n.share.RequestsInFlight {
		return RequestsInFlight, n.waitFor(1, n.recent.done, l.opts.DemandTime), false
	}
	if limit := n.limits.PromptTokensInFlight; limit > 0 {
		if c.PromptTokens > limit {
			return PromptTokensInFlight, 0, false
		}
		// A prompt longer than the host's share is admitted when no other is in
		// flight: otherwise no host could admit the longest that the limit allows.
		over := n.promptTokens + c.PromptTokens - n.share.PromptTokensInFlight
		if over > 0 && n.promptTokens > 0 {
			return PromptTokensInFlight, n.waitFor(float64(over), n.recent.freed, l.opts.DemandTime), false
		}
	}
	if n.limits.TokensPerSecond > 0 {
		l.fill(n, now)
		if n.bucket.level <= 0 {
			return TokensPerSecond, clampWait(n.bucket.wait(float64(n.share.TokensPerSecond))), false
		}
	}
	return 0, 0, true
}

func (l *Limiter) fill(n *node, now time.Time) {
	perSecond := float64(n.share.TokensPerSecond)
	n.bucket.fill(perSecond, perSecond*l.opts.Burst.Seconds(), now)
}
