package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Ways in which a link can be wrong.
const (
	linkSound   = ""
	linkSlow    = "slow"    // each piece is late
	linkResets  = "resets"  // open connections and new ones are reset
	linkSilent  = "silent"  // nothing passes in either way
	linkOneWay  = "one way" // what callers send passes, answers do not
	linkDelay   = 50 * time.Millisecond
	linkPiece   = 16 << 10 // bytes
	linkDialing = time.Second
)

// link passes connections on to one address, which may change, and harms them.
type link struct {
	mu      sync.Mutex
	to, how string
	changed chan struct{} // closed and replaced with how
	conns   map[*net.TCPConn]bool
}

func playLinks(ip string) {
	links := map[string]*link{}
	commands(func(c command) {
		switch c.Op {
		case "link":
			l := links[c.Name]
			if l == nil {
				l = &link{changed: make(chan struct{}), conns: map[*net.TCPConn]bool{}}
				links[c.Name] = l
				listener := listen(ip)
				go l.accept(listener)
				tell(report{What: "listening", ID: c.Name, Address: listener.Addr().String()})
			}
			l.set(func() { l.to = c.To })
		case "fault":
			l := links[c.Name]
			l.set(func() { l.how = c.How })
			if c.How == linkResets {
				l.reset()
			}
		}
	})
}

func (l *link) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *link) state() (to, how string, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.to, l.how, l.changed
}

func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (l *link) hold(c *net.TCPConn, held bool) {
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
		go l.pass(c.(*net.TCPConn))
	}
}

func (l *link) pass(near *net.TCPConn) {
	defer near.Close()
	to, how, _ := l.state()
	if how == linkResets {
		_ = near.SetLinger(0)
		return
	}
	conn, err := net.DialTimeout("tcp", to, linkDialing)
	if err != nil {
		_ = near.SetLinger(0) // as a refused connection
		return
	}
	far := conn.(*net.TCPConn)
	defer far.Close()
	for _, c := range []*net.TCPConn{near, far} {
		l.hold(c, true)
		defer l.hold(c, false)
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); l.copy(far, near, false) }()
	go func() { defer both.Done(); l.copy(near, far, true) }()
	both.Wait()
}

// copy passes bytes on until either side ends, and then ends both: a half close means
// nothing to this protocol.
func (l *link) copy(to, from *net.TCPConn, answers bool) {
	buf := make([]byte, linkPiece)
	for {
		n, err := from.Read(buf)
		l.wait(answers)
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

func (l *link) wait(answers bool) {
	for {
		_, how, changed := l.state()
		switch {
		case how == linkSlow:
			time.Sleep(linkDelay)
			return
		case how == linkSilent, how == linkOneWay && answers:
			<-changed
		default:
			return
		}
	}
}
