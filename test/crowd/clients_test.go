//go:build crowd

package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"
)

// playTime is how long a crowd goes on. It is shorter than the header timeout of the settings.
const playTime = 2 * time.Second

// chunkBytes is the size of one write of a sender without end.
const chunkBytes = 16 << 10

// client is what one client of a crowd sends: start, then rest again and again if it is not empty. The
// connection stays open until the crowd disperses.
type client struct {
	start []byte
	rest  []byte
}

// crowd is a number of clients on connections of their own.
type crowd struct {
	conns []net.Conn
	wg    sync.WaitGroup
}

// gather opens a connection for each of n clients. Each plays on its own; one that is let go ends.
func gather(t *testing.T, dial func() (net.Conn, error), n int, clientOf func(i int) client) *crowd {
	t.Helper()
	c := &crowd{}
	for i := range n {
		conn, err := dial()
		if err != nil {
			continue // a refused client is let go
		}
		c.conns = append(c.conns, conn)
		c.wg.Go(func() { clientOf(i).play(conn) })
	}
	if len(c.conns) == 0 {
		t.Fatal("no client could connect")
	}
	t.Cleanup(c.disperse)
	return c
}

func (c client) play(conn net.Conn) {
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	if _, err := conn.Write(c.start); err != nil {
		return
	}
	for len(c.rest) > 0 {
		if _, err := conn.Write(c.rest); err != nil {
			return
		}
	}
}

// disperse closes all connections.
func (c *crowd) disperse() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.wg.Wait()
}

// dialer returns a function that opens a connection to an address.
func dialer(address string) func() (net.Conn, error) {
	return func() (net.Conn, error) { return net.DialTimeout("tcp", address, waitTimeout) }
}

// requestLine begins every head.
const requestLine = "POST /once/x HTTP/1.1\r\nHost: h\r\n"

// shortLines returns about size bytes of header lines of different short names.
func shortLines(size int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < size; i++ {
		b.WriteString("a" + strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return b.Bytes()
}

// sameLines returns about size bytes of a short header line that repeats.
func sameLines(size int) []byte { return bytes.Repeat([]byte("a:b\r\n"), size/5) }

// misbehaviour is a kind of client that does not behave. most is the size of a head just below the
// limit of the listener.
type misbehaviour struct {
	name   string
	client func(most int) client
}

// misbehaviours are the kinds that every listener has to bear.
var misbehaviours = []misbehaviour{
	{"held/short lines", func(most int) client { return client{start: head(shortLines(most))} }},
	{"held/same lines", func(most int) client { return client{start: head(sameLines(most))} }},
	{"held/one line", func(most int) client { return client{start: head([]byte("X-Long: "), bytes.Repeat([]byte("x"), most))} }},
	{"held/behind a request", func(most int) client {
		return client{start: append([]byte("GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n"), head(shortLines(most))...)}
	}},
	{"over the limit", func(most int) client { return client{start: head(shortLines(4 * most))} }},
	{"endless/short lines", func(int) client { return client{start: head(), rest: shortLines(chunkBytes)} }},
	{"endless/one line", func(int) client {
		return client{start: head([]byte("X-Long: ")), rest: bytes.Repeat([]byte("x"), chunkBytes)}
	}},
	{"endless/folded lines", func(int) client {
		return client{start: head([]byte("X-Long: x\r\n")), rest: bytes.Repeat([]byte(" x\r\n"), chunkBytes/4)}
	}},
	{"endless/empty lines before a request", func(int) client { return client{rest: bytes.Repeat([]byte("\r\n"), chunkBytes/2)} }},
	{"endless/empty lines after a request", func(int) client {
		return client{start: []byte("POST /nothing HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"), rest: bytes.Repeat([]byte("\r\n"), chunkBytes/2)}
	}},
	{"silent", func(int) client { return client{} }},
}

func head(parts ...[]byte) []byte {
	return append([]byte(requestLine), bytes.Join(parts, nil)...)
}

// listenerUnderTest is one address of a process, with the limits of its crowds.
type listenerUnderTest struct {
	dial    func() (net.Conn, error)
	clients int // of a crowd
	most    int // bytes of a head just below the listener's limit
	// ask sends one ordinary request and reports whether it was answered.
	ask func() error
}

// playAll plays each misbehaviour on a listener of a process, one after the other.
func playAll(t *testing.T, newProcess func(t *testing.T) (*process, []string, listenerUnderTest)) {
	for _, m := range misbehaviours {
		t.Run(m.name, func(t *testing.T) {
			p, addresses, l := newProcess(t)
			u := watch(t, p, addresses...)
			c := gather(t, l.dial, l.clients, func(int) client { return m.client(l.most) })
			time.Sleep(playTime)
			askOften(t, p, "beside the crowd", l.ask)
			c.disperse()
			askOften(t, p, "afterwards", l.ask)
			u.judge(t)
			if !p.alive() {
				t.Errorf("the process has ended: %v\n%s", p.result, p.logTail())
			}
		})
	}
}

// maxTries is how often an ordinary client asks, each time on a new connection.
const maxTries = 10

// askOften checks that one of a few ordinary requests is answered.
func askOften(t *testing.T, p *process, when string, ask func() error) {
	t.Helper()
	var err error
	for range maxTries {
		if err = ask(); err == nil {
			return
		}
		time.Sleep(pollInterval)
	}
	t.Errorf("%s: an ordinary request is not answered: %v\n%s", when, err, p.logTail())
}

// exchange sends a request on a new connection and checks the status of the answer.
func exchange(dial func() (net.Conn, error), request string, want int) error {
	conn, err := dial()
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, request); err != nil {
		return err
	}
	start := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(conn, start); err != nil {
		return err
	}
	if got := string(start); got != fmt.Sprintf("HTTP/1.1 %d", want) {
		return fmt.Errorf("the answer begins %q, not with the status %d", got, want)
	}
	return nil
}
