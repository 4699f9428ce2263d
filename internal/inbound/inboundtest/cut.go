package inboundtest

import (
	"io"
	"net"
	"testing"
	"time"
)

// Cut is an answer inside which a server stops.
type Cut struct {
	Part  string // what it sends
	Reset bool   // it resets the connection in place of closing it
	Reads int    // bytes of the request that it reads; 0: all that a test sends
}

// resetDelay is the time between the last bytes and a reset, which could overtake them.
const resetDelay = 2 * time.Millisecond

// ServeCut answers each client's request. It returns the server's IP:port.
func ServeCut(t *testing.T, c Cut) (address string) {
	t.Helper()
	return serveEach(t, c.send)
}

func (a Cut) send(c *net.TCPConn) {
	if a.Reads > 0 {
		_, _ = io.ReadFull(c, make([]byte, a.Reads))
	} else {
		_, _ = c.Read(make([]byte, 4*requestBytes)) // what it asks for does not matter
	}
	_, _ = io.WriteString(c, a.Part)
	if a.Reset {
		time.Sleep(resetDelay)
		_ = c.SetLinger(0) // the close that follows resets it
	}
}
