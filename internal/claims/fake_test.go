package claims

import (
	"context"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/platform"
)

var errFault = merry.New("injected fault")

// fault is the fault injected into one append.
type fault int

const (
	noEffect      fault = iota // error, nothing appended
	lostReply                  // error after the effect
	appendedTwice              // appended twice
	noFault
	lostReplyAndReads // error after the effect, and reads fail until noReads is cleared
)

// memLog is an in-memory platform.Log with injected faults.
type memLog struct {
	mu      sync.Mutex
	streams map[string][]platform.Record
	first   map[string]int64 // first retained offset of a trimmed stream
	changed chan struct{}
	faults  []fault // of the next appends
	noReads bool    // reads fail
	noLog   bool    // reads and appends fail
	clock   func() time.Time
	appends int
	era     int64
}

// restore truncates a stream to its first length records and starts a new era.
func (l *memLog) restore(stream string, length int) {
	l.update(func() {
		l.streams[stream] = slices.Clone(l.streams[stream][:length])
		l.era++
	})
}

func newMemLog() *memLog {
	return &memLog{
		streams: map[string][]platform.Record{},
		first:   map[string]int64{},
		changed: make(chan struct{}),
		clock:   time.Now,
	}
}

func (l *memLog) update(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *memLog) Append(_ context.Context, stream string, records [][]byte) (first int64, err error) {
	l.update(func() {
		l.appends++
		times := 1
		if l.noLog {
			times, err = 0, errFault
		} else if len(l.faults) > 0 {
			times, err = l.fail(l.faults[0])
			l.faults = l.faults[1:]
		}
		first = int64(len(l.streams[stream])) + 1
		for range times {
			for _, data := range records {
				offset := int64(len(l.streams[stream])) + 1
				l.streams[stream] = append(l.streams[stream], platform.Record{Offset: offset, At: l.clock(), Data: data})
			}
		}
	})
	return first, err
}

func (l *memLog) fail(f fault) (times int, err error) {
	switch f {
	case noEffect:
		return 0, errFault
	case lostReply:
		return 1, errFault
	case noFault:
		return 1, nil
	case lostReplyAndReads:
		l.noReads = true
		return 1, errFault
	}
	return 2, nil
}

func (l *memLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		l.mu.Lock()
		page := platform.Page{FirstKept: max(l.first[stream], 1), EndOffset: int64(len(l.streams[stream])) + 1, Era: l.era}
		from = max(from, page.FirstKept)
		if from < page.EndOffset {
			page.Records = slices.Clone(l.streams[stream][from-1 : min(from-1+int64(limit), page.EndOffset-1)])
		}
		failed, changed := l.noReads || l.noLog, l.changed
		l.mu.Unlock()
		if failed {
			return platform.Page{}, errFault
		}
		if len(page.Records) > 0 || wait == 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			if context.Cause(ctx) == context.Canceled {
				return platform.Page{}, ctx.Err()
			}
			return page, nil
		}
	}
}

// site is a set of hosts on one log that call each other by net/rpc.
type site struct {
	t     testing.TB
	log   *memLog
	names []string // in rendezvous order of every partition

	mu    sync.Mutex
	hosts map[string]*Service
	down  map[string]bool
}

func newSite(t testing.TB, names ...string) *site {
	s := &site{t: t, log: newMemLog(), names: names, hosts: map[string]*Service{}, down: map[string]bool{}}
	for i, name := range names {
		s.start(name, uint64(i+1))
	}
	return s
}

// start starts a host without state in place of any earlier one of its name, and
// stops it when the test ends.
func (s *site) start(name string, incarnation uint64) *Service {
	quiet := logrus.New()
	quiet.SetLevel(logrus.PanicLevel)
	h := New(Options{
		Host: name, Incarnation: incarnation, Log: quiet,
		BatchEvery: 2 * time.Millisecond, BatchDelay: time.Millisecond,
		PollTimeout: 100 * time.Millisecond, RetryEvery: 5 * time.Millisecond,
		CallTimeout: time.Second, VerdictTimeout: 20 * time.Second, IdleTimeout: 300 * time.Millisecond,
	}, s.log, &fakePeers{s})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = h.Run(ctx) })
	s.t.Cleanup(func() { cancel(); wg.Wait() })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[name] = h
	return h
}

func (s *site) setDown(name string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[name] = down
}

// fakePeers implements Peers; an address is a host's name.
type fakePeers struct{ s *site }

func (p *fakePeers) Combiners(int) []PeerRef {
	var refs []PeerRef
	for _, name := range p.s.names {
		refs = append(refs, PeerRef{Host: name, Address: name})
	}
	return refs
}

func (p *fakePeers) Address(host string) (string, bool) {
	return host, slices.Contains(p.s.names, host)
}

func (p *fakePeers) Call(ctx context.Context, address, method string, args, reply any) error {
	p.s.mu.Lock()
	target, down := p.s.hosts[address], p.s.down[address]
	p.s.mu.Unlock()
	if down {
		return errFault
	}
	server := rpc.NewServer()
	if err := server.RegisterName(ServiceName, target.RPC()); err != nil {
		return err
	}
	clientConn, serverConn := net.Pipe()
	go server.ServeConn(serverConn)
	client := rpc.NewClient(clientConn)
	defer func() { _ = client.Close() }()
	select {
	case call := <-client.Go(method, args, reply, make(chan *rpc.Call, 1)).Done:
		return call.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}
