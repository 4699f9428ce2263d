package obs

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/httpwire"
)

// Purposes under which the bytes of connections are counted.
const (
	PurposeLog     = "log"     // the platform's log
	PurposeHosts   = "hosts"   // the platform's list of hosts
	PurposeWeights = "weights" // the platform's weight store
	PurposeEngines = "engines" // polls and orders, not requests
)

// DefaultDialTimeout limits the time to open a counted connection.
const DefaultDialTimeout = 2 * time.Second

// Times of connections that are kept.
const (
	IdleTimeout = time.Minute
	idleMargin  = time.Second // before the end that the other side tells
	maxDialTime = time.Hour   // the dial function's own bound is shorter
)

// CountedClient returns an HTTP client without an overall timeout that counts the
// bytes sent and received on its connections under a purpose. log gets lines about broken answers.
func CountedClient(purpose string, log *logrus.Entry) *http.Client {
	return CountedClientOver(purpose, new(net.Dialer).DialContext, log)
}

// CountedClientOver is like CountedClient over connections that dial opens.
func CountedClientOver(purpose string, dial DialFunc, log *logrus.Entry) *http.Client {
	const maxIdle = 2
	return &http.Client{Transport: NewKeptTransport(CountBytes(purpose, WithDialTimeout(dial, DefaultDialTimeout)), maxIdle, log)}
}

// NewKeptTransport returns a transport that keeps up to maxIdle idle connections to an address, each for up to
// IdleTimeout. dial has to bound the time that it takes. log gets lines about broken answers; it may be nil.
func NewKeptTransport(dial DialFunc, maxIdle int, log *logrus.Entry) httpwire.Transport {
	return httpwire.Transport{Reuse: true, Pool: httpwire.NewPool(httpwire.Options{
		Dial:        func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) },
		DialTimeout: maxDialTime,
		MaxIdle:     maxIdle,
		IdleTimeout: IdleTimeout,
		IdleMargin:  idleMargin,
		CheckByRead: true,
		Log:         log,
	})}
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// WithDialTimeout bounds the time in which dial opens a connection.
func WithDialTimeout(dial DialFunc, timeout time.Duration) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

// CountBytes wraps a Dial so that the bytes of its connections are counted under
// a purpose.
func CountBytes(purpose string, dial DialFunc) DialFunc {
	sent := metrics.GetOrCreateCounter(fmt.Sprintf(`buckthorndock_control_sent_bytes_total{purpose=%q}`, purpose))
	received := metrics.GetOrCreateCounter(fmt.Sprintf(`buckthorndock_control_received_bytes_total{purpose=%q}`, purpose))
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, sent: sent, received: received}, nil
	}
}

// countedConn counts the bytes sent and received on a connection.
type countedConn struct {
	net.Conn
	sent, received *metrics.Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(n)
	return n, err
}

// SyscallConn implements syscall.Conn. It fails if the connection is no socket of this process.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}
