package paths

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/reach"
	"github.com/buckthorndock/buckthorndock/internal/httpwire"
)

// Daemon is another daemon of the site.
type Daemon struct {
	Host    string
	Address string // for peers
	Domain  string // failure domain
}

// Daemons gives access to the other daemons.
type Daemons interface {
	// Others returns the other daemons that are live.
	Others() []Daemon
	// Call calls an RPC method of the daemon at an address.
	Call(ctx context.Context, address, method string, args, reply any) error
	// Connect opens a connection to an upstream through the daemon at an address. The error
	// wraps syscall.ECONNREFUSED if the upstream refuses connections, and
	// tunnel.ErrUnwilling if the daemon opens none.
	Connect(ctx context.Context, address, upstream string) (net.Conn, error)
}

// Options configure a Tracker.
type Options struct {
	Domain string // failure domain of this daemon
	// Dial opens a connection over the network.
	Dial httpwire.DialFunc
	// DomainOf returns the failure domain of the upstream at an address, "" if none is listed
	// there.
	DomainOf func(address string) string
	// Targets returns the addresses of a few upstreams of a domain for a probe, drawn at
	// random.
	Targets func(domain string) []string
	// Daemons gives access to the other daemons; nil: there are none.
	Daemons Daemons
	// OnChange is called after the state of the path to a domain has changed, and returns
	// the number of attempts that it moved. It may be nil.
	OnChange func(domain string, c reach.Change) (moved int)
	Log      *logrus.Entry
}

// Times of the probes of failure domains. A round trip between domains takes 1 to 3 ms.
const (
	// quietAfter is the silence after which a domain is probed: three of the usual gaps
	// between events, of 50 ms.
	quietAfter = 150 * time.Millisecond
	// probeInterval is the time between two probes of a domain. It is about the duration of
	// one that fails, so that the end of a cut of a few seconds is noticed within a tenth of
	// its length.
	probeInterval = 200 * time.Millisecond
	// suspectInterval is that time if connections to two upstreams have failed since a probe
	// that reached one. Such a probe takes a round trip.
	suspectInterval = 20 * time.Millisecond
	// monitorInterval is the interval at which domains are checked for silence.
	monitorInterval = 50 * time.Millisecond
	// probeTimeout bounds the connection attempts of a probe.
	probeTimeout = 100 * time.Millisecond
	// askTimeout bounds the questions to other daemons in a probe.
	askTimeout = 150 * time.Millisecond
	// maxProbeTime and maxAskTime are the longest valid durations of the two parts of a
	// probe. A longer one means that this process stalled, so its result says nothing about
	// the domain.
	maxProbeTime = 2 * probeTimeout
	maxAskTime   = 2 * askTimeout
	// dialPatience is how long a connection may take to open before the domain is probed.
	dialPatience = 50 * time.Millisecond
)
