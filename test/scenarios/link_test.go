package scenarios

import (
	"io"
	"net"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

const kindLink = "link"

// link passes connections on to a stand-in as long as it is up, so that one
// host can lose a service that the others still reach.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	down  bool
	conns map[net.Conn]struct{}
}

// cmdLink makes a link to a process, or takes it down or up: link NAME
// TARGET|down|up. Daemons use it with log=NAME, hosts=NAME or weights=NAME.
func cmdLink(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "link NAME TARGET|down|up")
	s := siteOf(ts)
	switch args[1] {
	case "down", "up":
		s.links[args[0]].set(args[1] == "down")
		return
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	l := &link{listener: listener, target: s.process(ts, args[1]).address, conns: map[net.Conn]struct{}{}}
	ts.Defer(func() {
		_ = listener.Close()
		l.set(true)
	})
	s.links[args[0]] = l
	s.processes[args[0]] = &process{name: args[0], kind: kindLink, address: listener.Addr().String()}
	go l.accept()
}

func (l *link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.pass(near)
	}
}

func (l *link) pass(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer far.Close()
	if !l.add(near, far) {
		return
	}
	go func() {
		_, _ = io.Copy(far, near)
		_ = far.Close()
	}()
	_, _ = io.Copy(near, far)
	l.remove(near, far)
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

func (l *link) set(down bool) {
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
