package peer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/core/option"
	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// Options configure a Node. Zero durations and counts take the defaults.
type Options struct {
	Host        string   // name of this host, unique in the site
	Domain      string   // failure domain
	Region      string   // region of the domain
	Incarnation uint64   // must increase with each start on this host; default the clock in ms
	Listen      string   // IP:port of the peer listener, as other daemons reach it
	Key         string   // key shared by all daemons, at least MinKeyBytes long
	Seeds       []string // IP:port of peers to start from while the platform is down

	// HostList reads the platform's list of hosts; nil when there is none.
	HostList func(ctx context.Context) ([]platform.Host, error)

	// Dial opens connections to other daemons; nil: over the network. Tests set it.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	// NewStreamServer returns the server of the peers' streams; nil: a plain http.Server.
	NewStreamServer func(http.Handler) StreamServer

	Interval         time.Duration // between two exchanges within the own domain, less in small ones; default 500 ms
	Busy             func() bool   // whether there is work, so that a small domain shortens Interval; nil: always
	HeartbeatTimeout time.Duration // of one heartbeat call; default 2 s
	ListEvery        time.Duration // longest time between two reads of HostList, less in small sites; default 30 s
	CallTimeout      time.Duration // of a call whose context has no deadline; default 5 s
	DialTimeout      time.Duration // of connect and handshake; default 2 s
	HandshakeTimeout time.Duration // of an incoming connection; default 3 s
	WriteTimeout     time.Duration // of one write; default 5 s
	IdleTimeout      time.Duration // after which an unused connection is closed; default 60 s
	BackoffMin       time.Duration // wait after a first failed dial; default 100 ms
	BackoffMax       time.Duration // longest wait after a failed dial; default 5 s

	MaxConns        int   // incoming connections; default 1024
	MaxHandshakes   int   // concurrent handshakes of incoming connections; default 64
	MaxMessageBytes int64 // of the header or the body of a net/rpc message; default 8 MiB
	MaxInFlight     int   // calls served at once for one connection; default 256

	// Membership overrides the timings of the state machine; Self is ignored.
	Membership membership.Config

	// TestFaults allows SetCut and SilenceConnections.
	TestFaults bool

	Logger *logrus.Entry // default the standard logger
}

// MinKeyBytes is the minimum length of the shared key. Anyone who connects sees the
// public key derived from it, so a short key could be guessed offline.
const MinKeyBytes = 16

const (
	defaultInterval         = 500 * time.Millisecond
	defaultHeartbeatTimeout = 2 * time.Second
	defaultListEvery        = 30 * time.Second
	defaultCallTimeout      = 5 * time.Second
	defaultDialTimeout      = 2 * time.Second
	defaultHandshakeTimeout = 3 * time.Second
	defaultWriteTimeout     = 5 * time.Second
	defaultIdleTimeout      = 60 * time.Second
	defaultBackoffMin       = 100 * time.Millisecond
	defaultBackoffMax       = 5 * time.Second
	defaultMaxConns         = 1024
	defaultMaxHandshakes    = 64
	defaultMaxMessageBytes  = 8 << 20
	defaultMaxInFlight      = 256
)

func (o *Options) setDefaults() {
	option.Default(&o.Interval, defaultInterval)
	option.Default(&o.HeartbeatTimeout, defaultHeartbeatTimeout)
	option.Default(&o.ListEvery, defaultListEvery)
	option.Default(&o.CallTimeout, defaultCallTimeout)
	option.Default(&o.DialTimeout, defaultDialTimeout)
	option.Default(&o.HandshakeTimeout, defaultHandshakeTimeout)
	option.Default(&o.WriteTimeout, defaultWriteTimeout)
	option.Default(&o.IdleTimeout, defaultIdleTimeout)
	option.Default(&o.BackoffMin, defaultBackoffMin)
	option.Default(&o.BackoffMax, defaultBackoffMax)
	option.Default(&o.MaxConns, defaultMaxConns)
	option.Default(&o.MaxHandshakes, defaultMaxHandshakes)
	option.Default(&o.MaxMessageBytes, defaultMaxMessageBytes)
	option.Default(&o.MaxInFlight, defaultMaxInFlight)
	if o.Incarnation == 0 {
		o.Incarnation = uint64(time.Now().UnixMilli())
	}
	if o.Logger == nil {
		o.Logger = logrus.NewEntry(logrus.StandardLogger())
	}
}

func (o *Options) validate() error {
	if o.Host == "" || o.Domain == "" {
		return merry.New("peer: host and domain must be set")
	}
	if len(o.Key) < MinKeyBytes {
		return merry.Errorf("peer: key must have at least %d bytes", MinKeyBytes)
	}
	listen, err := netip.ParseAddrPort(o.Listen)
	if err != nil {
		return merry.Prepend(err, "peer: listen must be IP:port")
	}
	if listen.Addr().IsUnspecified() {
		return merry.New("peer: listen must name the IP by which other hosts reach this one")
	}
	for _, s := range o.Seeds {
		if _, err := netip.ParseAddrPort(s); err != nil {
			return merry.Prepend(err, "peer: seeds must be IP:port")
		}
	}
	return nil
}
