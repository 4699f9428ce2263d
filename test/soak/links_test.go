package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Faults of a link.
const (
	linkHealthy = ""
	linkSlow    = "slow"    // each chunk is delayed
	linkResets  = "resets"  // open connections and new ones are reset
	linkSilent  = "silent"  // nothing passes in either direction
	linkOneWay  = "one way" // requests pass, answers do not
	linkDelay   = 50 * time.Millisecond
	linkChunk   = 16 << 10 // bytes
	linkDialing = time.Second
)

// link is a TCP proxy to one address, which may change, with an optional fault.
type link struct {
	mu        sync.Mutex
	to, fault string
	changed   chan struct{} // closed and replaced at each update
	conns     map[*net.TCPConn]bool
}

func runLinks(ip string) {
	links := map[string]*link{}
	readCommands(func(c command) {
		switch c.Op {
		case "link":
			l := links[c.Name]
			if l == nil {
				l = &link{changed: make(chan struct{}), conns: map[*net.TCPConn]bool{}}
				links[c.Name] = l
				listener := listen(ip)
				go l.accept(listener)
				writeReport(report{What: "listening", ID: c.Name, Address: listener.Addr().String()})
			}
			l.update(func() { l.to = c.To })
		case "fault":
			l := links[c.Name]
			l.update(func() { l.fault = c.Fault })
			if c.Fault == linkResets {
				l.reset()
			}
		}
	})
}

func (l *link) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *link) state() (to, fault string, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.to, l.fault, l.changed
}

func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (l *link) track(c *net.TCPConn, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if held {
		l.conns[c] = true
	} else {
		delete(l.conns, c)
	}
}

func (l *link) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go l.proxy(c.(*net.TCPConn))
	}
}

func (l *link) proxy(inbound *net.TCPConn) {
	defer inbound.Close()
	to, fault, _ := l.state()
	if fault == linkResets {
		_ = inbound.SetLinger(0)
		return
	}
	conn, err := net.DialTimeout("tcp", to, linkDialing)
	if err != nil {
		_ = inbound.SetLinger(0) // resets it, much like a refused connection
		return
	}
	outbound := conn.(*net.TCPConn)
	defer outbound.Close()
	for _, c := range []*net.TCPConn{inbound, outbound} {
		l.track(c, true)
		defer l.track(c, false)
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); l.copy(outbound, inbound, false) }()
	go func() { defer both.Done(); l.copy(inbound, outbound, true) }()
	both.Wait()
}

// copy forwards bytes until either side ends, and then closes both: this protocol does not use
// half-closed connections.
func (l *link) copy(to, from *net.TCPConn, answers bool) {
	buf := make([]byte, linkChunk)
	for {
		n, err := from.Read(buf)
		l.applyFault(answers)
		if n > 0 {
			if _, failed := to.Write(buf[:n]); failed != nil {
				err = failed
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				_ = to.SetLinger(0)
				_ = from.SetLinger(0)
			}
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

func (l *link) applyFault(answers bool) {
	for {
		_, fault, changed := l.state()
		switch {
		case fault == linkSlow:
			time.Sleep(linkDelay)
			return
		case fault == linkSilent, fault == linkOneWay && answers:
			<-changed
		default:
			return
		}
	}
}
