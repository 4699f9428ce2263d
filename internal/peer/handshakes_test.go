package peer

import (
	"net"
	"testing"
)

// TestLongestHandshakeGivesWay guards against strangers that begin handshakes and do not go on, and keep
// the daemons of the site out.
func TestLongestHandshakeGivesWay(t *testing.T) {
	h := newHandshakes(2)
	var conns []net.Conn
	for range 4 {
		c, other := net.Pipe()
		t.Cleanup(func() { c.Close(); other.Close() })
		conns = append(conns, c)
	}
	for i, want := range []net.Conn{nil, nil, conns[0]} {
		if got := h.begin(conns[i]); got != want {
			t.Errorf("for connection %d another one gives way", i)
		}
	}
	h.end(conns[0]) // has given way
	h.end(conns[2])
	if got := h.begin(conns[3]); got != nil {
		t.Error("one gives way although another has ended")
	}
}
