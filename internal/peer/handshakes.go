package peer

import (
	"net"
	"slices"
	"sync"
)

// handshakes are the incoming connections whose handshake is under way. Strangers may begin any number
// and end none, so the one under way for longest gives way to a new one: that of a peer takes a few
// milliseconds. It is safe for concurrent use.
type handshakes struct {
	max int

	mu    sync.Mutex
	conns []net.Conn // the longest under way first
}

func newHandshakes(maxUnderWay int) *handshakes { return &handshakes{max: maxUnderWay} }

// begin adds a connection. It returns the one to be closed for it, nil if there is room.
func (h *handshakes) begin(c net.Conn) (longest net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.conns) >= h.max {
		longest = h.conns[0]
		h.conns = slices.Delete(h.conns, 0, 1)
	}
	h.conns = append(h.conns, c)
	return longest
}

// end removes a connection, whether or not it has given way.
func (h *handshakes) end(c net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i := slices.Index(h.conns, c); i >= 0 {
		h.conns = slices.Delete(h.conns, i, i+1)
	}
}
