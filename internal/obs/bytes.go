package obs

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
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

// MaxHeadBytes bounds the head of an answer on connections that are kept, in bytes.
const MaxHeadBytes = 16 << 10

// CountedClient returns an HTTP client without an overall timeout that counts the
// bytes sent and received on its connections under a purpose.
func CountedClient(purpose string) *http.Client {
	return CountedClientOver(purpose, new(net.Dialer).DialContext)
}

// CountedClientOver is like CountedClient over connections that dial opens.
func CountedClientOver(purpose string, dial DialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:            CountBytes(purpose, WithDialTimeout(dial, DefaultDialTimeout)),
		MaxIdleConnsPerHost:    2,
		IdleConnTimeout:        time.Minute,
		DisableCompression:     true, // a few bytes must not become many
		MaxResponseHeaderBytes: MaxHeadBytes,
	}}
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
