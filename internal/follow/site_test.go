package follow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/platform"
)

var errUnreachable = errors.New("unreachable")

// memoryLog is an append-only log in memory.
type memoryLog struct {
	mu           sync.Mutex
	streams      map[string]*memoryStream
	loseAnswers  int // number of next appends that take effect and return an error
	dropAppends  int // number of next appends that return an error without effect
	failReads    int // number of reads that fail after the next append
	failingReads int // number of next reads that fail
	grown        chan struct{}
	era          int64
}

// restore replaces the log by an older copy with length settings records and no snapshot, and
// starts a new era.
func (l *memoryLog) restore(length int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(Stream)
	s.records = slices.Clone(s.records[:length])
	l.streams[SnapshotStream] = &memoryStream{first: 1}
	l.era++
	close(l.grown)
	l.grown = make(chan struct{})
}

type memoryStream struct {
	first   int64
	records []platform.Record
}

func newMemoryLog() *memoryLog {
	return &memoryLog{streams: map[string]*memoryStream{}, grown: make(chan struct{})}
}

func (l *memoryLog) stream(name string) *memoryStream {
	if l.streams[name] == nil {
		l.streams[name] = &memoryStream{first: 1}
	}
	return l.streams[name]
}

func (s *memoryStream) next() int64 { return s.first + int64(len(s.records)) }

func (l *memoryLog) Append(_ context.Context, name string, records [][]byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dropAppends > 0 {
		l.dropAppends--
		return 0, errUnreachable
	}
	s := l.stream(name)
	l.failingReads, l.failReads = l.failReads, 0
	first := s.next()
	for _, data := range records {
		s.records = append(s.records, platform.Record{Offset: s.next(), At: time.Now(), Data: data})
	}
	close(l.grown)
	l.grown = make(chan struct{})
	if l.loseAnswers > 0 {
		l.loseAnswers--
		return 0, errUnreachable
	}
	return first, nil
}

func (l *memoryLog) Read(ctx context.Context, name string, from int64, limit int, wait time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	l.mu.Lock()
	era := l.era
	l.mu.Unlock()
	for {
		l.mu.Lock()
		if l.failingReads > 0 {
			l.failingReads--
			l.mu.Unlock()
			return platform.Page{}, errUnreachable
		}
		s := l.stream(name)
		page := platform.Page{FirstKept: s.first, EndOffset: s.next(), Era: l.era}
		for _, r := range s.records {
			if r.Offset >= from && len(page.Records) < limit {
				page.Records = append(page.Records, r)
			}
		}
		grown := l.grown
		l.mu.Unlock()
		if len(page.Records) > 0 || page.Era != era || ctx.Err() != nil {
			return page, nil
		}
		select {
		case <-grown:
		case <-ctx.Done():
		}
	}
}

// trim drops the records below an offset.
func (l *memoryLog) trim(name string, below int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.records = s.records[below-s.first:]
	s.first = below
}

// site is a set of followers with a log and a network that can be made unreachable per host.
type site struct {
	t     testing.TB
	log   *memoryLog
	mu    sync.Mutex
	hosts []*host
	rng   *rand.Rand
	pull  time.Duration // Options.PullInterval of the hosts
	poll  time.Duration // Options.PollWait of the hosts
}

// host is one follower with its access to the log and to its peers.
type host struct {
	*Follower
	site           *site
	name           string
	tailer         bool
	logUnreachable atomic.Bool
	isolated       atomic.Bool // from all peers
	stop           func()
	server         *rpc.Server
}

func newSite(t testing.TB) *site {
	return &site{t: t, log: newMemoryLog(), rng: rand.New(rand.NewPCG(1, 2)), pull: 20 * time.Millisecond, poll: 50 * time.Millisecond}
}

// add adds a host without running it.
func (s *site) add(tailer bool) *host {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	h := &host{site: s, tailer: tailer, stop: func() {}}
	h.Follower = New(Options{
		Log: h, Peers: h, Logger: logrus.NewEntry(logger),
		PollWait: s.poll, PullInterval: s.pull, MaxLag: time.Hour,
		RetryMin: time.Millisecond, RetryMax: 5 * time.Millisecond, CallTimeout: time.Second,
	})
	h.server = rpc.NewServer()
	if err := h.server.RegisterName(Service, h.RPC()); err != nil {
		s.t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h.name = fmt.Sprint(len(s.hosts))
	s.hosts = append(s.hosts, h)
	return h
}

// run adds a host and runs it until the test ends.
func (s *site) run(tailer bool) *host {
	h := s.add(tailer)
	h.start()
	return h
}

func (h *host) start() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = h.Run(ctx)
	}()
	h.stop = func() { cancel(); <-done }
	h.site.t.Cleanup(h.stop)
}

func (h *host) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	if h.logUnreachable.Load() {
		return 0, errUnreachable
	}
	return h.site.log.Append(ctx, stream, records)
}

func (h *host) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (platform.Page, error) {
	if h.logUnreachable.Load() {
		return platform.Page{}, errUnreachable
	}
	page, err := h.site.log.Read(ctx, stream, from, limit, wait)
	if h.logUnreachable.Load() { // also a read that was waiting when the log became unreachable
		return platform.Page{}, errUnreachable
	}
	return page, err
}

func (h *host) Tailer() bool { return h.tailer }

func (h *host) Sample(n int) []PeerRef {
	h.site.mu.Lock()
	defer h.site.mu.Unlock()
	var peers []PeerRef
	for _, i := range h.site.rng.Perm(len(h.site.hosts)) {
		if p := h.site.hosts[i]; p != h && len(peers) < n {
			peers = append(peers, PeerRef{Name: p.name, Address: p.name})
		}
	}
	return peers
}

func (h *host) Call(_ context.Context, address, method string, args, reply any) error {
	h.site.mu.Lock()
	var target *host
	for _, p := range h.site.hosts {
		if p.name == address {
			target = p
		}
	}
	h.site.mu.Unlock()
	if h.isolated.Load() || target.isolated.Load() {
		return errUnreachable
	}
	near, far := net.Pipe()
	go target.server.ServeConn(far)
	client := rpc.NewClient(near)
	defer func() { _ = client.Close() }()
	return client.Call(method, args, reply)
}

// eventually waits up to 30 s for a condition and fails the test if it is not met.
func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("never: %s", what)
}

// awaitAgreement waits until all hosts are at an offset, and checks that their digests are equal.
func (s *site) awaitAgreement(offset int64) {
	s.t.Helper()
	for _, h := range s.hosts {
		eventually(s.t, fmt.Sprintf("host %s at offset %d", h.name, offset), func() bool { return h.Offset() == offset })
		if h.Digest() != s.hosts[0].Digest() {
			s.t.Errorf("host %s has another digest", h.name)
		}
	}
}
