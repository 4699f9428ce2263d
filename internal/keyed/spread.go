package keyed

import (
	"cmp"
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/avoid"
	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// ServiceName is the name under which daemons call each other.
const ServiceName = "Feed"

// Peers is what the spread needs of the other daemons.
type Peers interface {
	// Rank returns up to n live daemons in an order that all agree on.
	Rank(key string, n int) []membership.Member
	Members() []membership.Member
	// Near reports whether a daemon is in this one's failure domain.
	Near(host string) bool
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Bounds of the spread.
const (
	// The first of a few readers reads the store for all: a read of the store has a price,
	// one of a peer has next to none. Each of the others reads it only while those before
	// it have nothing fresh, as when the store turns them away or they cannot be reached.
	// Of three daemons drawn among many of which the store turns a third away, all are
	// turned away once in 27 times, with the two of a failure domain once in 240.
	siteReaders = 3 // first of all daemons
	nearReaders = 2 // then the first of each failure domain, for it may be cut off
	readerKey   = "feed-tailer"
	// drawnReaders is how many of the other daemons of a failure domain read the store, on
	// average, at each try in which no reader has anything fresh.
	drawnReaders = 1
	// mostAge is the age up to which a peer's knowledge is as good as a read of the
	// store: two paces of a reader and the way. Where reads stay open it is more by
	// their wait, during which a reader hears of no change because there is none.
	mostAge = 900 * time.Millisecond
	// anyAge takes what a peer knows however old it is.
	anyAge = time.Duration(math.MaxInt64)
	// numAsked is how many peers are asked when the store does not answer.
	numAsked = 3
)

// Spread lets daemons read streams from each other. It is safe for concurrent use.
type Spread struct {
	host  string
	peers Peers

	mu        sync.Mutex
	followers map[string]*Follower
	silent    *avoid.Tracker // daemons that did not answer
}

// Daemons that did not answer are not asked for a while, doubled while they stay silent:
// each question to one behind a cut takes its whole wait.
const (
	silentFirst  = time.Second
	silentMost   = 4 * time.Second
	silentForget = 10 * time.Second
)

// NewSpread returns a Spread of the daemon with the name.
func NewSpread(host string, peers Peers) *Spread {
	return &Spread{
		host:      host,
		peers:     peers,
		followers: map[string]*Follower{},
		silent:    avoid.New(avoid.Options{First: silentFirst, Most: silentMost, Forget: silentForget}),
	}
}

func (s *Spread) add(stream string, f *Follower) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.followers[stream] = f
}

func (s *Spread) follower(stream string) *Follower {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.followers[stream]
}

// readers returns the daemons to ask before the store, in order, and whether this daemon
// is the next one that is to read it.
func (s *Spread) readers() (before []membership.Member, next bool) {
	ranked := s.peers.Rank(readerKey, math.MaxInt)
	for _, m := range membership.FirstAndNear(ranked, siteReaders, nearReaders, s.peers.Near) {
		if m.Host == s.host {
			return before, true
		}
		before = append(before, m)
	}
	return before, len(before) == 0
}

// draws reports whether this daemon is to read the store though it is no reader. All draw
// while no reader has anything fresh, so that a few try wherever the store can be reached
// and what one has read spreads from it.
func (s *Spread) draws() bool {
	near := 1
	for _, m := range s.peers.Members() {
		if m.Host != s.host && m.State != membership.Dead && s.peers.Near(m.Host) {
			near++
		}
	}
	return rand.IntN(near) < drawnReaders
}

// some returns a few other daemons that may live, those of the own failure domain first: a
// daemon behind a cut reaches no others.
func (s *Spread) some() []membership.Member {
	var others []membership.Member
	for _, m := range s.peers.Members() {
		if m.Host != s.host && m.State != membership.Dead {
			others = append(others, m)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	slices.SortStableFunc(others, func(a, b membership.Member) int {
		return cmp.Compare(s.distance(a), s.distance(b))
	})
	return others[:min(numAsked, len(others))]
}

// distance orders daemons by how far they are.
func (s *Spread) distance(m membership.Member) int {
	if s.peers.Near(m.Host) {
		return 0
	}
	return 1
}

// SinceRequest asks a peer what it knows of a stream from an offset on.
type SinceRequest struct {
	Stream string
	From   int64 // -1: all keys
}

// SinceReply has the newest records of the keys that changed, removed ones too.
type SinceReply struct {
	// Whole says that the records are all keys: the peer does not know what was removed
	// since the offset that it was asked for.
	Whole  bool
	Next   int64
	Packed []byte        // the records; empty: none
	Age    time.Duration // of the peer's last read
}

// RPC has the methods that other daemons call.
type RPC struct{ s *Spread }

// RPC returns the receiver to register with the peers.
func (s *Spread) RPC() *RPC { return &RPC{s} }

var errNothing = merry.Sentinel("nothing is known of the stream")

// Since answers a peer.
func (r *RPC) Since(req *SinceRequest, reply *SinceReply) error {
	f := r.s.follower(req.Stream)
	if f == nil {
		return merry.Wrap(errNothing, merry.AppendMessage(req.Stream))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.copied.at.IsZero() || f.copied.next < 0 {
		return merry.Wrap(errNothing, merry.AppendMessage(req.Stream))
	}
	reply.Next = f.copied.next
	reply.Age = time.Since(f.copied.at)
	from := req.From
	if from < f.copied.recentFrom {
		from, reply.Whole = -1, true
	}
	var err error
	reply.Packed, err = f.packed.get(&f.copied, from)
	return err
}

// readPeer reads from one of the daemons what is at most of an age; it returns false when
// none knows enough.
func (f *Follower) readPeer(ctx context.Context, from []membership.Member, most time.Duration) bool {
	s := f.opts.Spread
	for _, m := range from {
		if m.Host == s.host || s.isSilent(m.Host) {
			continue
		}
		f.mu.Lock()
		next := f.copied.next
		f.mu.Unlock()
		began := time.Now()
		var reply SinceReply
		err := s.ask(ctx, m, SinceRequest{Stream: f.opts.Stream, From: next}, f.opts.PeerWait, &reply)
		if err != nil || reply.Next < next || reply.Age > most && !f.knowsLess(reply) {
			continue // the next one, or the store, is asked
		}
		records, err := unpack(reply.Packed)
		if err != nil {
			f.log.WithError(err).WithField("from", m.Host).Warn("peer_copy_undecodable")
			continue
		}
		f.takeFromPeer(reply.Whole, platform.KeyedPage{Records: records, Next: reply.Next}, began.Add(-reply.Age))
		if reply.Age <= most {
			return true
		}
	}
	return false
}

// knowsLess reports whether a peer's copy, though it is old, is newer than the one here: it
// is taken, and a fresh one is looked for nevertheless.
func (f *Follower) knowsLess(r SinceReply) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.copied.at.IsZero() && r.Next > f.copied.next && time.Since(f.copied.at) > r.Age
}

func (s *Spread) isSilent(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.silent.Avoided(time.Now()), host)
}

func (s *Spread) ask(ctx context.Context, m membership.Member, req SinceRequest, wait time.Duration, reply *SinceReply) error {
	asked, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	err := s.peers.Call(asked, m.Address, ServiceName+".Since", &req, reply)
	var answered rpc.ServerError
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil, errors.As(err, &answered):
		s.silent.Succeeded(m.Host, now)
	case ctx.Err() == nil:
		s.silent.Failed(m.Host, now)
	}
	return err
}

// takeFromPeer applies a peer's page. What a whole one does not list was removed.
func (f *Follower) takeFromPeer(whole bool, page platform.KeyedPage, at time.Time) {
	if !whole {
		f.take(page, at)
		return
	}
	kept := page.Records[:0]
	for _, r := range page.Records {
		if r.Value != nil {
			kept = append(kept, r)
		}
	}
	page.Records = kept
	if err := f.takeWhole(page, at); err != nil {
		f.log.WithError(err).Info("peer_copy_old")
	}
}
