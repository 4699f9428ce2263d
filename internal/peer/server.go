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

// acceptPause is the wait after a failed accept, as when files run out.
const acceptPause = 50 * time.Millisecond

// refusalLogs is the number of refused connections logged a second; all of them
// are counted.
const refusalLogs = 1

// server takes connections of peers.
type server struct {
	n          *Node
	listener   net.Listener
	rpc        *rpc.Server
	handshakes chan struct{}
	refusals   *rate.Limiter // of log lines, which strangers could cause without end

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
		n:          n,
		listener:   l,
		rpc:        rpc.NewServer(),
		handshakes: make(chan struct{}, n.opts.MaxHandshakes),
		refusals:   rate.NewLimiter(refusalLogs, 1),
		links:      make(map[*link]struct{}),
	}, nil
}

// run accepts until the listener is closed.
func (s *server) run(ctx context.Context) {
	for {
		raw, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.n.log.WithError(err).Warn("peer_accept_failed")
			wait.For(ctx, acceptPause)
			continue
		}
		if !s.admit() {
			refused.Inc()
			_ = raw.Close()
			continue
		}
		go s.serve(ctx, raw)
	}
}

// admit takes a handshake's place, which serve gives back.
func (s *server) admit() bool {
	s.mu.Lock()
	full := len(s.links) >= s.n.opts.MaxConns
	s.mu.Unlock()
	if full {
		return false
	}
	select {
	case s.handshakes <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s *server) serve(ctx context.Context, raw net.Conn) {
	l, err := s.trust(ctx, raw)
	<-s.handshakes
	if err != nil {
		refused.Inc()
		if !s.refusals.Allow() {
			return
		}
		s.n.log.WithError(err).WithField("from", raw.RemoteAddr().String()).Warn("peer_refused")
		return
	}
	defer l.close()
	if !s.add(l) {
		return
	}
	defer s.remove(l)
	s.rpc.ServeCodec(&serverCodec{
		stream:   newStream(l, s.n.opts.MaxMessageBytes),
		idle:     2 * s.n.opts.IdleTimeout, // the dialing end closes first
		body:     s.n.opts.CallTimeout,
		inFlight: make(chan struct{}, s.n.opts.MaxInFlight),
	})
}

func (s *server) trust(ctx context.Context, raw net.Conn) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, s.n.opts.HandshakeTimeout)
	defer cancel()
	return handshake(ctx, raw, s.n.serverTLS, false, s.n)
}

func (s *server) add(l *link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.links) >= s.n.opts.MaxConns {
		return false
	}
	s.links[l] = struct{}{}
	return true
}

func (s *server) remove(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.links, l)
}

func (s *server) closeCut() {
	s.each(func(l *link) {
		if s.n.faults.isCut(l.remote) {
			l.close()
		}
	})
}

func (s *server) silence() {
	s.each(func(l *link) { l.conn.silent.Store(true) })
}

func (s *server) each(do func(*link)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.links {
		do(l)
	}
}

// close ends the listener and all connections. It does not wait for methods
// that still run; their answers are lost.
func (s *server) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.each(func(l *link) { l.close() })
}
