package entrypoint

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/conntable"
)

var testLimits = conntable.Limits{HeadBytes: 64 << 10, HeadTimeout: time.Minute, IdleTimeout: time.Minute}

// serve starts a server with the options and returns it with its address.
func serve(t *testing.T, o Options) (*Server, string) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	o.Name = t.Name()
	if o.Limits == nil {
		o.Limits = func() conntable.Limits { return testLimits }
	}
	s := NewBounds(MB(64), logrus.NewEntry(log)).NewServer(o)
	l, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		_ = s.Close()
		<-served
	})
	return s, l.Addr().String()
}

// send sends text on a new connection.
func send(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_, _ = io.WriteString(c, text) // what the server does with it shows in the answer
	return c
}

// statusOf returns the status of the next answer, 0 if there is none.
func statusOf(c net.Conn) int {
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return res.StatusCode
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func (s *Server) idleCount() int {
	s.bounds.mu.Lock()
	defer s.bounds.mu.Unlock()
	return s.group.Idle()
}

// TestFullDaemonTurnsOffNewConnections guards against a daemon that cuts requests in progress, or
// reads new ones that it cannot serve, when all the connections that it may have are busy; and
// against one that turns callers off although idle connections could make room.
func TestFullDaemonTurnsOffNewConnections(t *testing.T) {
	const maxOpen = 4
	var overloaded atomic.Bool
	arrived, finish := make(chan bool, maxOpen), make(chan bool)
	s, address := serve(t, Options{MaxConns: maxOpen, Overloaded: overloaded.Load, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- true
		<-finish
	})})
	var busy []net.Conn
	for range maxOpen {
		busy = append(busy, send(t, address, get))
		<-arrived
	}
	if got := statusOf(send(t, address, get)); got != 0 {
		t.Errorf("a connection more gets %d", got)
	}
	close(finish)
	for i, c := range busy {
		if got := statusOf(c); got != http.StatusOK {
			t.Errorf("request %d in progress gets %d", i, got)
		}
	}
	for s.idleCount() == 0 {
		time.Sleep(time.Millisecond) // the test's timeout bounds it
	}
	if got := statusOf(send(t, address, get)); got != http.StatusOK {
		t.Errorf("a new connection beside idle ones gets %d", got)
	}
	overloaded.Store(true)
	if got := statusOf(send(t, address, get)); got != 0 {
		t.Errorf("a new connection to an overloaded daemon gets %d", got)
	}
}

// TestRefusedHeadIsAnswered guards against a refusal that is lost in a reset because the client is still
// sending, and against a limit that is not the one in force.
func TestRefusedHeadIsAnswered(t *testing.T) {
	var limit atomic.Int64
	limits := func() conntable.Limits {
		l := testLimits
		l.HeadBytes = int(limit.Load())
		return l
	}
	_, address := serve(t, Options{MaxConns: 10, Limits: limits, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})
	request := fmt.Sprintf("GET / HTTP/1.1\r\nHost: h\r\nX-Long: %s\r\n\r\n", strings.Repeat("x", 100<<10))
	for at, want := range map[int64]int{10 << 10: http.StatusRequestHeaderFieldsTooLarge, 101 << 10: http.StatusOK} {
		limit.Store(at)
		if got := statusOf(send(t, address, request)); got != want {
			t.Errorf("a head of 100 KB at a limit of %d bytes gets %d", at, got)
		}
	}
}

// TestClientThatSendsOnGivesWayWithItsRequest guards against clients that keep all connections of a daemon
// busy after they have gone: net/http does not notice their end while there are bytes behind a request.
func TestClientThatSendsOnGivesWayWithItsRequest(t *testing.T) {
	arrived, cancelled := make(chan bool, 2), make(chan bool, 1)
	_, address := serve(t, Options{MaxConns: 1, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		arrived <- true
		if r.URL.Path == "/wait" {
			<-r.Context().Done()
			cancelled <- true
		}
	})})
	c := send(t, address, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-arrived
	if got := statusOf(send(t, address, get)); got != 0 {
		t.Errorf("a request in progress gives way to one that gets %d", got)
	}
	c.Close()
	<-cancelled // net/http has noticed its end
	c = send(t, address, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\nGET")
	<-arrived
	c.Close()
	for statusOf(send(t, address, get)) != http.StatusOK {
		time.Sleep(time.Millisecond) // the bytes behind the request are read soon
	}
	<-cancelled
}
