package keyed

import (
	"context"
	"errors"
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
	// SameDomain reports whether a daemon is in this one's failure domain.
	SameDomain(host string) bool
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Feed lets daemons read streams from each other. It is safe for concurrent use.
type Feed struct {
	host   string
	peers  Peers
	random rand.Source

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

// globalSource draws from the source that all goroutines share.
type globalSource struct{}

func (globalSource) Uint64() uint64 { return rand.Uint64() }

// NewFeed returns a Spread of the daemon with the name.
func NewFeed(host string, peers Peers) *Feed {
	return &Feed{
		host:      host,
		peers:     peers,
		random:    globalSource{},
		followers: map[string]*Follower{},
		silent:    avoid.New(avoid.Options{Initial: silentFirst, Max: silentMost, ResetAfter: silentForget}),
	}
}

func (s *Feed) add(stream string, f *Follower) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.followers[stream] = f
}

func (s *Feed) follower(stream string) *Follower {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.followers[stream]
}

// allKeys, in place of an offset, asks for all keys.
const allKeys = -1

// SinceRequest asks a peer what it knows of a stream from an offset on.
type SinceRequest struct {
	Stream string
	From   int64         // an offset, or allKeys
	Era    int64         // of the store, to which From belongs; daemons of earlier releases tell none
	Hold   time.Duration // that the answer may be held back while there is nothing new
}

// SinceReply has the newest records of the keys that changed, removed ones too.
type SinceReply struct {
	// Whole says that the records are all keys: the peer does not know what was removed
	// since the offset that it was asked for.
	Whole  bool
	Next   int64
	Packed []byte        // the records; empty: none
	Age    time.Duration // of the peer's last read
	Held   time.Duration // that the answer was held back
	// Version is that of the answer: versionOfEras, or zero of daemons of earlier releases, which
	// tell none of the rest.
	Version int
	// Era is that of Next, EraAge how long ago it was first seen, and EraCertain the offset from
	// which all was written in it.
	Era        int64
	EraAge     time.Duration
	EraCertain int64
}

// versionOfEras is the version of answers that tell the store's era.
const versionOfEras = 1

// RPC has the methods that other daemons call.
type RPC struct{ s *Feed }

// RPC returns the receiver to register with the peers.
func (s *Feed) RPC() *RPC { return &RPC{s} }

var errNothing = merry.Sentinel("nothing is known of the stream")

// Since answers a peer.
func (r *RPC) Since(req *SinceRequest, reply *SinceReply) error {
	f := r.s.follower(req.Stream)
	if f == nil {
		return merry.Wrap(errNothing, merry.AppendMessage(req.Stream))
	}
	reply.Held = f.hold(req)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.copied.at.IsZero() {
		return merry.Wrap(errNothing, merry.AppendMessage(req.Stream))
	}
	reply.Version, reply.Next = versionOfEras, f.copied.next
	reply.Age = time.Since(f.copied.at)
	reply.Era, reply.EraAge, reply.EraCertain = f.copied.era, time.Since(f.copied.doubts.since), f.copied.doubts.certain
	from := req.From
	if from < f.copied.recentFrom || f.otherEra(req) {
		from, reply.Whole = allKeys, true
	}
	var err error
	reply.Packed, err = f.packed.get(&f.copied, from)
	return err
}

// otherEra reports whether a peer asks by an offset of another era. The caller holds the lock.
func (f *Follower) otherEra(req *SinceRequest) bool {
	return req.Era != platform.NoEra && req.Era != f.copied.era
}

// mostHold bounds for how long an answer is held back.
const mostHold = 2 * time.Second

// hold waits for the next read that succeeds, while there is nothing new for a peer and what is
// known here is fresh, and returns for how long.
func (f *Follower) hold(req *SinceRequest) time.Duration {
	f.mu.Lock()
	done := f.done
	news := f.copied.at.IsZero() || f.otherEra(req) || req.From < f.copied.recentFrom || len(f.copied.since(req.From)) > 0
	fresh := f.opts.MaxAge - time.Since(f.copied.at)
	f.mu.Unlock()
	most := min(req.Hold, mostHold, fresh)
	if news || most <= 0 {
		return 0
	}
	began := time.Now()
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
	return time.Since(began)
}

// readPeer reads from one of the daemons what is at most of an age; it returns false when
// none knows enough.
func (f *Follower) readPeer(ctx context.Context, from []membership.Member, most time.Duration) bool {
	s := f.opts.Feed
	for _, m := range from {
		if m.Host == s.host || s.isSilent(m.Host) {
			continue
		}
		began := time.Now()
		reply, records, ok := f.askPeer(ctx, m, f.position().next)
		if !ok || !f.takeReply(m.Host, reply, records, began, most) {
			continue // the next one, or the store, is asked
		}
		f.fromPeer = true
		return true
	}
	return false
}

// askPeer asks a daemon for what is new. One that answers in a later era, but for the offset
// that it was asked for, is asked for all: daemons that know of no era may ask and answer so.
func (f *Follower) askPeer(ctx context.Context, m membership.Member, from int64) (reply SinceReply, records []platform.KeyedRecord, ok bool) {
	era := f.position().era
	req := SinceRequest{Stream: f.opts.Stream, From: from, Era: era, Hold: f.opts.PeerHold}
	wait := f.opts.PeerTimeout + f.opts.PeerHold
	err := f.opts.Feed.ask(ctx, m, req, wait, &reply)
	if err == nil && reply.Era > era && !reply.Whole && req.From != allKeys {
		req.From, reply = allKeys, SinceReply{}
		err = f.opts.Feed.ask(ctx, m, req, wait, &reply)
	}
	if err != nil {
		return reply, nil, false
	}
	records, err = unpack(reply.Packed)
	if err != nil {
		f.log.WithError(err).WithField("from", m.Host).Warn("peer_copy_undecodable")
	}
	return reply, records, err == nil
}

// takeReply takes in what a peer has answered to a question that was begun at a time. It reports
// whether that is as good as a read of the store that is at most of an age.
func (f *Follower) takeReply(host string, reply SinceReply, records []platform.KeyedRecord, began time.Time, most time.Duration) bool {
	at := f.position()
	f.untold = f.untold || reply.Version < versionOfEras && at.era == platform.NoEra
	page := platform.KeyedPage{Records: records, NextOffset: reply.Next, Era: reply.Era}
	read := began.Add(reply.Held - reply.Age)
	switch {
	case at.next < 0 && reply.Age > most:
		return false
	case at.next >= 0 && reply.Era > at.era && f.untold && !f.asked:
		f.takeEarlier(records, reply.Era, host)
		return false
	case at.next < 0, reply.Era > at.era:
		if !reply.Whole {
			return false
		}
		f.takeEra(page, eraStart{since: began.Add(-reply.EraAge), certain: reply.EraCertain}, read, host)
	case reply.Era < at.era:
		f.takeEarlier(records, reply.Era, host)
		if reply.Version >= versionOfEras {
			f.opts.Feed.behind(host)
		}
		return false
	case reply.Next < at.next, reply.Age > most && !f.knowsLess(reply):
		return false
	case reply.Whole:
		if err := f.takeWhole(page, read, host); err != nil {
			f.log.WithError(err).WithField("from", host).Info("peer_copy_old")
		}
	default:
		f.take(page, read, host)
	}
	return reply.Age <= most
}

// recall asks other daemons, until one answers, for what the store may have lost before this one
// began: it knows only what the store said.
func (f *Follower) recall(ctx context.Context) {
	for _, m := range f.opts.Feed.some() {
		if f.opts.Feed.isSilent(m.Host) {
			continue
		}
		reply, records, ok := f.askPeer(ctx, m, allKeys)
		if !ok {
			continue
		}
		f.takeEarlier(records, reply.Era, m.Host)
		f.mu.Lock()
		f.copied.alone = false
		f.mu.Unlock()
		return
	}
}

// knowsLess reports whether a peer's copy, though it is old, is newer than the one here: it
// is taken, and a fresh one is looked for nevertheless.
func (f *Follower) knowsLess(r SinceReply) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.copied.at.IsZero() && r.Next > f.copied.next && time.Since(f.copied.at) > r.Age
}

func (s *Feed) isSilent(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.silent.Avoided(time.Now()), host)
}

// behind leaves a daemon alone for a while that knows less of the store than this one.
func (s *Feed) behind(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent.RecordFailure(host, time.Now())
}

func (s *Feed) ask(ctx context.Context, m membership.Member, req SinceRequest, wait time.Duration, reply *SinceReply) error {
	asked, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	err := s.peers.Call(asked, m.Address, ServiceName+".Since", &req, reply)
	var answered rpc.ServerError
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil, errors.As(err, &answered):
		s.silent.RecordSuccess(m.Host, now)
	case ctx.Err() == nil:
		s.silent.RecordFailure(m.Host, now)
	}
	return err
}
