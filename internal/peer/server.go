package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/buckthorndock/buckthorndock/internal/wait"
	"golang.org/x/time/rate"
)

// acceptPause is the wait after a failed accept, for example when the process has
// no file descriptors left.
const acceptPause = 50 * time.Millisecond

// refusalLogsPerSecond bounds the log lines about refused connections; all refused
// connections are counted.
const refusalLogsPerSecond = 1

// server accepts connections from peers and serves their calls.
type server struct {
	node        *Node
	listener    net.Listener
	rpc         *rpc.Server
	handshakes  *handshakes
	refusalLogs *rate.Limiter // limits log lines, which untrusted peers could cause without end

	streams      *streamListener // nil: none are served
	streamServer StreamServer    // serves streams

	mu     sync.Mutex
	links  map[*link]struct{}
	closed bool
}

func newServer(n *Node, listen string) (*server, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, merry.Prepend(err, "peer listener")
	}
	return &server{
		node:        n,
		listener:    l,
		rpc:         rpc.NewServer(),
		handshakes:  newHandshakes(n.opts.MaxHandshakes),
		refusalLogs: rate.NewLimiter(refusalLogsPerSecond, 1),
		links:       make(map[*link]struct{}),
	}, nil
}

// run accepts connections until the listener is closed.
func (s *server) run(ctx context.Context) {
	for {
		raw, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.node.log.WithError(err).Warn("peer_accept_failed")
			wait.For(ctx, acceptPause)
			continue
		}
		if s.full() {
			refusedConns.Inc()
			_ = raw.Close()
			continue
		}
		if longest := s.handshakes.begin(raw); longest != nil {
			_ = longest.Close() // its handshake fails and is counted
		}
		go s.serve(ctx, raw)
	}
}

// full reports whether the server has Options.MaxConns connections.
func (s *server) full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.links) >= s.node.opts.MaxConns
}

// serve does the handshake on a connection and serves its calls until it ends.
func (s *server) serve(ctx context.Context, raw net.Conn) {
	l, err := s.handshake(ctx, raw)
	s.handshakes.end(raw)
	if err != nil {
		refusedConns.Inc()
		if !s.refusalLogs.Allow() {
			return
		}
		s.node.log.WithError(err).WithField("from", raw.RemoteAddr().String()).Warn("peer_refused")
		return
	}
	if !s.add(l) {
		l.close()
		return
	}
	if l.tls.ConnectionState().NegotiatedProtocol == streamProtocol {
		s.streams.serve(l, func() { s.end(l) })
		return
	}
	defer s.end(l)
	s.rpc.ServeCodec(&serverCodec{
		stream:      newStream(l, s.node.opts.MaxMessageBytes),
		idleTimeout: 2 * s.node.opts.IdleTimeout, // the dialing end closes first
		bodyTimeout: s.node.opts.CallTimeout,
		inFlight:    make(chan struct{}, s.node.opts.MaxInFlight),
	})
}

// handshake does the TLS handshake within Options.HandshakeTimeout.
func (s *server) handshake(ctx context.Context, raw net.Conn) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, s.node.opts.HandshakeTimeout)
	defer cancel()
	return handshake(ctx, raw, s.node.serverTLS, false, s.node)
}

// add registers a link. It returns false when the server is closed or has
// Options.MaxConns links.
func (s *server) add(l *link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.links) >= s.node.opts.MaxConns {
		return false
	}
	s.links[l] = struct{}{}
	return true
}

// end closes and unregisters a link.
func (s *server) end(l *link) {
	l.close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.links, l)
}

// closeCut closes the connections from hosts that are cut off.
func (s *server) closeCut() {
	s.forEachLink(func(l *link) {
		if s.node.faults.isCut(l.remote) {
			l.close()
		}
	})
}

// silence makes all open connections silent.
func (s *server) silence() {
	s.forEachLink(func(l *link) { l.conn.silent.Store(true) })
}

// forEachLink calls do for each link while it holds the lock.
func (s *server) forEachLink(do func(*link)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.links {
		do(l)
	}
}

// close closes the listener and all connections. It does not wait for methods that
// still run; their responses are lost.
func (s *server) close() {
	_ = s.listener.Close()
	if s.streams != nil {
		_ = s.streams.Close()
		_ = s.streamServer.Close() // closes no stream that its handler has taken over
	}
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.forEachLink(func(l *link) { l.close() })
}
