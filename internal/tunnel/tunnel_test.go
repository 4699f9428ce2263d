package tunnel_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/httpwire"
	"github.com/buckthorndock/buckthorndock/internal/peer"
	"github.com/buckthorndock/buckthorndock/internal/tunnel"
)

// newNode starts a node; h serves its streams unless it is nil.
func newNode(t *testing.T, host string, h *tunnel.Handler) (n *peer.Node, stop func()) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	n, err := peer.New(peer.Options{
		Host: host, Domain: "a", Region: "r", Listen: "127.0.0.1:0", Key: strings.Repeat("k", 32), Logger: logrus.NewEntry(log),
	})
	if err != nil {
		t.Fatal(err)
	}
	if h != nil {
		n.HandleStreams(h)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	stop = func() {
		cancel()
		<-ended
		ended <- nil
	}
	t.Cleanup(stop)
	return n, stop
}

// site is a daemon that opens tunnels, one that uses them, and an upstream.
type site struct {
	t        *testing.T
	handler  *tunnel.Handler
	far      *peer.Node
	stopFar  func()
	near     *peer.Node
	willing  bool
	pathLost bool                    // by the daemon that is to open tunnels
	wrap     func(net.Conn) net.Conn // around connections to the upstream; nil: none
	upstream net.Listener
}

// newSite starts a site whose upstream serves each connection by serve.
func newSite(t *testing.T, serve func(c *net.TCPConn)) *site {
	t.Helper()
	s := &site{t: t, willing: true}
	var err error
	if s.upstream, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.upstream.Close() })
	go func() {
		for {
			c, err := s.upstream.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	log := logrus.New()
	log.SetOutput(io.Discard)
	var network net.Dialer
	s.handler = tunnel.NewHandler(tunnel.Options{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			if s.pathLost {
				return nil, merry.Wrap(syscall.ECONNREFUSED, merry.WithCause(tunnel.ErrUnwilling))
			}
			c, err := network.DialContext(ctx, "tcp", address)
			if err == nil && s.wrap != nil {
				c = s.wrap(c)
			}
			return c, err
		},
		DialTimeout: time.Second,
		Willing:     func(string) bool { return s.willing },
		MaxOpen:     4,
		Log:         logrus.NewEntry(log),
	})
	s.far, s.stopFar = newNode(t, "far", s.handler)
	s.near, _ = newNode(t, "near", nil)
	return s
}

func (s *site) dial() (net.Conn, error) {
	return tunnel.Dial(s.t.Context(), s.near.DialStream, s.far.Addr(), s.upstream.Addr().String())
}

// open opens a tunnel and sends a request on it.
func (s *site) open() net.Conn {
	s.t.Helper()
	c, err := s.dial()
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	if _, err := c.Write([]byte("request")); err != nil {
		s.t.Fatal(err)
	}
	return c
}

// readRequest reads the request that open sends.
func readRequest(c net.Conn) { _, _ = io.ReadFull(c, make([]byte, len("request"))) }

// answerBytes is longer than the buffers on the way.
var answerBytes = strings.Repeat("answer ", 1<<17)

func TestCleanEndArrivesAsOne(t *testing.T) {
	s := newSite(t, func(c *net.TCPConn) {
		defer c.Close()
		readRequest(c)
		_, _ = io.WriteString(c, answerBytes)
	})
	if got, err := io.ReadAll(s.open()); err != nil || string(got) != answerBytes {
		t.Errorf("%d of %d bytes, %v", len(got), len(answerBytes), err)
	}
}

// TestBrokenAnswerDoesNotLookWhole guards against an answer without a length that is taken for
// whole though its upstream, or the daemon on the way, has died.
func TestBrokenAnswerDoesNotLookWhole(t *testing.T) {
	const part = "part"
	for name, end := range map[string]func(s *site, c *net.TCPConn){
		"the upstream resets": func(_ *site, c *net.TCPConn) {
			_ = c.SetLinger(0)
			_ = c.Close()
		},
		"the daemon ends": func(s *site, _ *net.TCPConn) { s.stopFar() },
	} {
		t.Run(name, func(t *testing.T) {
			var s *site
			readPart := make(chan bool)
			s = newSite(t, func(c *net.TCPConn) {
				defer c.Close()
				readRequest(c)
				_, _ = io.WriteString(c, part)
				<-readPart
				end(s, c)
			})
			c := s.open()
			got := make([]byte, len(part))
			if _, err := io.ReadFull(c, got); err != nil || string(got) != part {
				t.Fatalf("%q, %v", got, err)
			}
			close(readPart)
			if n, err := c.Read(got); n != 0 || err == nil || err == io.EOF {
				t.Errorf("the end is %d bytes and error %v", n, err)
			}
		})
	}
}

// resetConn is a connection that its other end resets after a part of its answer, as the kernel shows
// it: the write that waits is told of the reset, and a read after it of an ordinary end.
type resetConn struct {
	net.Conn
	answer io.Reader
	failed chan struct{} // closed when the write has failed
}

func (c *resetConn) Write([]byte) (int, error) {
	close(c.failed)
	return 0, syscall.ECONNRESET
}

func (c *resetConn) Read(p []byte) (int, error) {
	<-c.failed
	return c.answer.Read(p)
}

func (c *resetConn) SetWriteDeadline(time.Time) error { return nil }

// TestResetBesideAnUnsentRequestDoesNotLookWhole guards against an answer without a length that is taken
// for whole because the write of the request, not a read, was told of the upstream's reset.
func TestResetBesideAnUnsentRequestDoesNotLookWhole(t *testing.T) {
	const part = "part"
	s := newSite(t, func(c *net.TCPConn) { c.Close() })
	s.wrap = func(c net.Conn) net.Conn {
		return &resetConn{Conn: c, answer: strings.NewReader(part), failed: make(chan struct{})}
	}
	got, err := io.ReadAll(s.open())
	if string(got) != part || err == nil {
		t.Errorf("%q, %v", got, err)
	}
}

// TestAnswerThatIsCutDoesNotLookWholeThroughATunnel guards against a 200 with an empty or short body for an
// answer whose upstream, at the far end of a tunnel, stopped at any byte and closed or reset.
func TestAnswerThatIsCutDoesNotLookWholeThroughATunnel(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: x\r\n"
	for framing, text := range map[string]string{
		"length":   head + "Content-Length: 4\r\n\r\nbody",
		"chunks":   head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"unframed": head + "\r\n",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reset %v", framing, reset), func(t *testing.T) {
				var cut atomic.Int64
				s := newSite(t, func(c *net.TCPConn) {
					defer c.Close()
					_, _ = c.Read(make([]byte, 1<<10))
					_, _ = io.WriteString(c, text[:cut.Load()])
					if reset {
						time.Sleep(time.Millisecond) // a reset could overtake the bytes
						_ = c.SetLinger(0)
					}
				})
				pool := httpwire.NewPool(httpwire.Options{
					Dial:        func(context.Context, string) (net.Conn, error) { return s.dial() },
					DialTimeout: time.Second,
				})
				for n := range text {
					cut.Store(int64(n))
					if body, err := exchange(t.Context(), pool); err == nil {
						t.Errorf("cut after %q: %q looks whole", text[:n], body)
					}
				}
			})
		}
	}
}

// exchange sends a request through a pool and reads the body of its answer.
func exchange(ctx context.Context, pool *httpwire.Pool) ([]byte, error) {
	req := &http.Request{Method: http.MethodGet, URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{}}
	a, err := pool.Do(ctx, "upstream", req, true)
	if err != nil {
		return nil, err
	}
	defer a.Close()
	return io.ReadAll(a)
}

// TestClosedTunnelEndsTheUpstreamsWork guards against upstreams that work on for callers that
// have gone.
func TestClosedTunnelEndsTheUpstreamsWork(t *testing.T) {
	ended := make(chan error, 1)
	s := newSite(t, func(c *net.TCPConn) {
		defer c.Close()
		readRequest(c)
		_, err := c.Read(make([]byte, 1))
		ended <- err
	})
	c := s.open()
	if s.handler.Open() != 1 {
		t.Errorf("%d tunnels are open", s.handler.Open())
	}
	c.Close()
	if err := <-ended; err == nil {
		t.Error("the upstream read bytes that nobody sent")
	}
	for s.handler.Open() != 0 {
		time.Sleep(time.Millisecond) // the test's timeout bounds it
	}
}

// TestAnswerToAnUnreadRequestArrives covers an upstream that answers, and closes, before it has
// read a long body.
func TestAnswerToAnUnreadRequestArrives(t *testing.T) {
	s := newSite(t, func(c *net.TCPConn) {
		defer c.Close()
		readRequest(c)
		_, _ = io.WriteString(c, "early")
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	})
	c := s.open()
	written := make(chan error, 1)
	go func() {
		_, err := io.WriteString(c, answerBytes)
		written <- err
	}()
	if got, err := io.ReadAll(c); err != nil || string(got) != "early" {
		t.Errorf("%q, %v", got, err)
	}
	<-written
}

func TestTunnelsThatAreNotOpened(t *testing.T) {
	s := newSite(t, func(c *net.TCPConn) { c.Close() })
	s.willing = false
	if _, err := s.dial(); !errors.Is(err, tunnel.ErrUnwilling) {
		t.Errorf("unwilling: %v", err)
	}
	s.willing = true
	s.pathLost = true
	if _, err := s.dial(); !errors.Is(err, tunnel.ErrUnwilling) {
		t.Errorf("the daemon has lost its own path: %v", err)
	}
	s.pathLost = false
	s.upstream.Close()
	if _, err := s.dial(); !errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, tunnel.ErrUnwilling) {
		t.Errorf("refused: %v", err)
	}
	// A daemon of an earlier release serves no streams.
	if _, err := tunnel.Dial(t.Context(), s.far.DialStream, s.near.Addr(), "127.0.0.1:1"); !errors.Is(err, tunnel.ErrUnwilling) || !errors.Is(err, peer.ErrNoStreams) {
		t.Errorf("earlier release: %v", err)
	}
}

func TestTooManyTunnelsAreRefused(t *testing.T) {
	s := newSite(t, func(c *net.TCPConn) {
		defer c.Close()
		_, _ = io.Copy(io.Discard, c)
	})
	for range 4 {
		s.open()
	}
	if _, err := s.dial(); !errors.Is(err, tunnel.ErrUnwilling) {
		t.Errorf("got %v", err)
	}
}

// TestEndlessAnswerOpensNoTunnel guards against a daemon that exceeds its memory by an answer to CONNECT
// without end.
func TestEndlessAnswerOpensNoTunnel(t *testing.T) {
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		_, _ = far.Read(make([]byte, 1<<10))
		for err := error(nil); err == nil; {
			_, err = io.WriteString(far, strings.Repeat("0", 1<<10))
		}
	}()
	if _, err := tunnel.Connect(t.Context(), near, "127.0.0.1:1"); !errors.Is(err, tunnel.ErrUnwilling) {
		t.Errorf("got %v", err)
	}
}
