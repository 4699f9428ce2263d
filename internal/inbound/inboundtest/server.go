// Package inboundtest has servers for tests that send bytes without end, or stop inside an answer.
package inboundtest

import (
	"io"
	"net"
	"strings"
	"testing"
)

// Answer is an answer without end.
type Answer struct {
	Begin string
	Piece string // sent again and again, until the client closes
}

const (
	requestBytes = 1 << 10 // of the largest request of a test
	blockBytes   = 4 << 10
)

// Serve answers each client's request. It returns the server's IP:port.
func Serve(t *testing.T, a Answer) (address string) {
	t.Helper()
	return serveEach(t, a.send)
}

// serveEach listens until the end of the test and has serve handle each connection, which is closed
// afterwards.
func serveEach(t *testing.T, serve func(c *net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

func (a Answer) send(c *net.TCPConn) {
	_, _ = c.Read(make([]byte, requestBytes)) // what it asks for does not matter
	_, err := io.WriteString(c, a.Begin)
	for block := strings.Repeat(a.Piece, blockBytes/len(a.Piece)); err == nil; {
		_, err = io.WriteString(c, block)
	}
}
