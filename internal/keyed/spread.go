package keyed

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

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
	// The first of numTailers daemons reads the store, and the others ask it, then the
	// next: a read of the store has a price, one of a peer has next to none. The second
	// reads the store when it misses the first, so that the others do not have to.
	numTailers = 2
	tailerKey  = "feed-tailer"
	// mostAge is the age up to which a peer's knowledge is as good as a read of the
	// store: two paces of a tailer and the way. Where reads stay open it is more by
	// their wait, during which a tailer hears of no change because there is none.
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
}

// NewSpread returns a Spread of the daemon with the name.
func NewSpread(host string, peers Peers) *Spread {
	return &Spread{host: host, peers: peers, followers: map[string]*Follower{}}
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

// readsStore reports whether this daemon reads the store for all.
func (s *Spread) readsStore() bool {
	first := s.peers.Rank(tailerKey, 1)
	return len(first) == 0 || first[0].Host == s.host
}

// tailers returns the daemons to ask, in order.
func (s *Spread) tailers() []membership.Member { return s.peers.Rank(tailerKey, numTailers) }

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
	f.mu.Lock()
	next := f.copied.next
	f.mu.Unlock()
	for _, m := range from {
		if m.Host == s.host {
			continue
		}
		began := time.Now()
		var reply SinceReply
		err := s.ask(ctx, m, SinceRequest{Stream: f.opts.Stream, From: next}, f.opts.PeerWait, &reply)
		if err != nil || reply.Age > most || reply.Next < next {
			continue // the next one, or the store, is asked
		}
		records, err := unpack(reply.Packed)
		if err != nil {
			f.log.WithError(err).WithField("from", m.Host).Warn("peer_copy_undecodable")
			continue
		}
		f.takeFromPeer(reply.Whole, platform.KeyedPage{Records: records, Next: reply.Next}, began.Add(-reply.Age))
		return true
	}
	return false
}

func (s *Spread) ask(ctx context.Context, m membership.Member, req SinceRequest, wait time.Duration, reply *SinceReply) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return s.peers.Call(ctx, m.Address, ServiceName+".Since", &req, reply)
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
