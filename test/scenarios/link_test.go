package scenarios

import (
	"io"
	"net"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

const kindLink = "link"

// link is a TCP proxy to a stand-in that can be taken down, so that one host
// loses a service that the others still reach.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	down  bool
	conns map[net.Conn]struct{}
}

// cmdLink creates a link to a process, or takes it down or up: link NAME
// TARGET|down|up. Daemons use it with log=NAME, hosts=NAME or weights=NAME.
func cmdLink(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "link NAME TARGET|down|up")
	s := siteOf(ts)
	switch args[1] {
	case "down", "up":
		s.links[args[0]].setDown(args[1] == "down")
		return
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	l := &link{listener: listener, target: s.process(ts, args[1]).address, conns: map[net.Conn]struct{}{}}
	ts.Defer(func() {
		_ = listener.Close()
		l.setDown(true)
	})
	s.links[args[0]] = l
	s.processes[args[0]] = &process{name: args[0], kind: kindLink, address: listener.Addr().String()}
	go l.accept()
}

func (l *link) accept() {
	for {
		inbound, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.proxy(inbound)
	}
}

func (l *link) proxy(inbound net.Conn) {
	defer inbound.Close()
	outbound, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer outbound.Close()
	if !l.add(inbound, outbound) {
		return
	}
	go func() {
		_, _ = io.Copy(outbound, inbound)
		_ = outbound.Close()
	}()
	_, _ = io.Copy(inbound, outbound)
	l.remove(inbound, outbound)
}

func (l *link) add(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		l.conns[c] = struct{}{}
	}
	return !l.down
}

func (l *link) remove(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		delete(l.conns, c)
	}
}

func (l *link) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	if !down {
		return
	}
	for c := range l.conns {
		_ = c.Close()
		delete(l.conns, c)
	}
}
