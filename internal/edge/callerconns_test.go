package edge

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

func (c *callerConns) idleCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle.Len()
}

// TestFullDaemonTurnsOffNewConnections guards against a daemon that cuts requests in progress, or
// reads new ones that it cannot serve, when all the connections that it may have are busy; and
// against one that turns callers off although idle connections could make room.
func TestFullDaemonTurnsOffNewConnections(t *testing.T) {
	const maxOpen = 4
	var overloaded atomic.Bool
	conns := newCallerConns(maxOpen, func() time.Duration { return time.Minute }, overloaded.Load)
	arrived, finish := make(chan bool, maxOpen), make(chan bool)
	server := &http.Server{ConnState: conns.stateChanged, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- true
		<-finish
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	t.Cleanup(func() {
		_ = server.Close()
		<-served
	})
	send := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		return c
	}
	status := func(c net.Conn) int {
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0
		}
		return res.StatusCode
	}
	var busy []net.Conn
	for range maxOpen {
		busy = append(busy, send())
		<-arrived
	}
	if got := status(send()); got != 0 {
		t.Errorf("a connection more gets %d", got)
	}
	close(finish)
	for i, c := range busy {
		if got := status(c); got != http.StatusOK {
			t.Errorf("request %d in progress gets %d", i, got)
		}
	}
	for conns.idleCount() == 0 {
		time.Sleep(time.Millisecond) // the test's timeout bounds it
	}
	if got := status(send()); got != http.StatusOK {
		t.Errorf("a new connection beside idle ones gets %d", got)
	}
	overloaded.Store(true)
	if got := status(send()); got != 0 {
		t.Errorf("a new connection to an overloaded daemon gets %d", got)
	}
}
