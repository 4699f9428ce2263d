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

// ServiceName is the name of the RPC service by which daemons read from each other.
const ServiceName = "Feed"

// Peers gives access to the other daemons.
type Peers interface {
	// Rank returns up to n live daemons in an order that is the same on all daemons.
	Rank(key string, n int) []membership.Member
	// Members returns all known daemons.
	Members() []membership.Member
	// SameDomain reports whether a daemon is in this one's failure domain.
	SameDomain(host string) bool
	// Call calls an RPC method of the daemon at an address.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Feed lets daemons read streams from each other. It is safe for concurrent use.
type Feed struct {
	host   string
	peers  Peers
	random rand.Source

	mu           sync.Mutex
	followers    map[string]*Follower
	unresponsive *avoid.Tracker // daemons that did not answer, or whose copy is of an earlier era
}

// Daemons that did not answer are not called for a while, which is doubled while they stay
// silent: each call to one that is cut off takes its whole timeout.
const (
	silentInitial    = time.Second
	silentMax        = 4 * time.Second
	silentResetAfter = 10 * time.Second
)

// globalSource is the random source that all goroutines share.
type globalSource struct{}

func (globalSource) Uint64() uint64 { return rand.Uint64() }

// NewFeed returns the Feed of the daemon on a host.
func NewFeed(host string, peers Peers) *Feed {
	return &Feed{
		host:         host,
		peers:        peers,
		random:       globalSource{},
		followers:    map[string]*Follower{},
		unresponsive: avoid.New(avoid.Options{Initial: silentInitial, Max: silentMax, ResetAfter: silentResetAfter}),
	}
}

// add registers the follower of a stream, whose data other daemons may read.
func (s *Feed) add(stream string, f *Follower) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.followers[stream] = f
}

// follower returns the follower of a stream, nil if there is none.
func (s *Feed) follower(stream string) *Follower {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.followers[stream]
}

// allKeys requests all keys where it is given instead of an offset.
const allKeys = -1

// SinceRequest requests a peer's records of a stream from an offset on.
type SinceRequest struct {
	Stream string
	From   int64         // an offset, or allKeys
	Era    int64         // era of the store to which From belongs; daemons of earlier releases send none
	Hold   time.Duration // how long the answer may be held back while there is nothing new
}

// SinceReply has the newest records of the keys that changed, including removed ones.
type SinceReply struct {
	// Whole says that the records are all keys: the peer does not know what was removed since
	// the requested offset.
	Whole  bool
	Next   int64         // offset to read on from
	Packed []byte        // the records, gob encoded and compressed; empty: none
	Age    time.Duration // time since the read of the store that the peer's data comes from
	Held   time.Duration // how long the answer was held back
	// Version is versionOfEras, or zero from daemons of earlier releases, which do not send the
	// fields below.
	Version int
	// Era is that of Next. EraAge is how long ago it was first seen, and all records from offset
	// EraCertain on were written in it.
	Era        int64
	EraAge     time.Duration
	EraCertain int64
	// StoreFailing says that the store does not answer the peer.
	StoreFailing bool
	// OutageAge is the time since the store last did not answer the daemon that has read it, zero
	// for never. It is not known if KnowsOutages is false, as from daemons of earlier releases.
	OutageAge    time.Duration
	KnowsOutages bool
}

// versionOfEras is the version of answers that have the store's era.
const versionOfEras = 1

// RPC has the RPC methods that other daemons call.
type RPC struct{ feed *Feed }

// RPC returns the receiver to register as ServiceName with the RPC server.
func (s *Feed) RPC() *RPC { return &RPC{s} }

var errNoData = merry.Sentinel("no data of the stream yet")

// Since answers a peer with the records from the requested offset on. It returns an error while
// this daemon has no data of the stream.
func (r *RPC) Since(req *SinceRequest, reply *SinceReply) error {
	f := r.feed.follower(req.Stream)
	if f == nil {
		return merry.Wrap(errNoData, merry.AppendMessage(req.Stream))
	}
	reply.Held = f.holdReply(req)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.at.IsZero() {
		return merry.Wrap(errNoData, merry.AppendMessage(req.Stream))
	}
	reply.Version, reply.Next = versionOfEras, f.state.next
	reply.Age = time.Since(f.state.at)
	reply.StoreFailing = f.outage.failing(f.opts.Within)
	reply.KnowsOutages = f.lineage.known
	if !f.lineage.outageAt.IsZero() {
		reply.OutageAge = time.Since(f.lineage.outageAt)
	}
	reply.Era, reply.EraAge, reply.EraCertain = f.state.era, time.Since(f.state.unresolved.eraSeen), f.state.unresolved.certainFrom
	from := req.From
	if from < f.state.recentFrom || f.otherEra(req) {
		from, reply.Whole = allKeys, true
	}
	var err error
	reply.Packed, err = f.replies.get(&f.state, from)
	return err
}

// otherEra reports whether a request has an offset of another era. The caller holds the lock.
func (f *Follower) otherEra(req *SinceRequest) bool {
	return req.Era != platform.NoEra && req.Era != f.state.era
}

// maxHold limits how long an answer is held back.
const maxHold = 2 * time.Second

// holdReply waits for the next successful read if there is nothing new for a peer, but not while the
// data here is old. It returns how long it has waited.
func (f *Follower) holdReply(req *SinceRequest) time.Duration {
	f.mu.Lock()
	done := f.readDone
	hasNews := f.state.at.IsZero() || f.otherEra(req) || req.From < f.state.recentFrom || len(f.state.recordsSince(req.From)) > 0
	// By that age this daemon has read itself, if it can.
	left := f.storeAge(0) - time.Since(f.state.at)
	f.mu.Unlock()
	hold := min(req.Hold, maxHold, left)
	if hasNews || hold <= 0 {
		return 0
	}
	began := time.Now()
	timer := time.NewTimer(hold)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
	return time.Since(began)
}

// askPeer requests the records from an offset on from a daemon, which may hold its answer back. If
// the answer is of a later era but does not have all keys, it requests these: daemons of earlier
// releases, which know no era, may request and answer so. The outcome is other than answered if the
// daemon has no data or the records cannot be decoded.
func (f *Follower) askPeer(ctx context.Context, m membership.Member, from int64, hold time.Duration) (reply SinceReply, records []platform.KeyedRecord, how outcome) {
	era := f.position().era
	req := SinceRequest{Stream: f.opts.Stream, From: from, Era: era, Hold: hold}
	timeout := f.opts.PeerTimeout + hold
	err := f.opts.Feed.call(ctx, m, req, timeout, &reply)
	if err == nil && reply.Era > era && !reply.Whole && req.From != allKeys {
		req.From, reply = allKeys, SinceReply{}
		err = f.opts.Feed.call(ctx, m, req, timeout, &reply)
	}
	if err != nil {
		return reply, nil, outcomeOf(ctx, err)
	}
	records, err = unpack(reply.Packed)
	if err != nil {
		f.log.WithError(err).WithField("from", m.Host).Warn("peer_copy_undecodable")
		return reply, nil, failed
	}
	return reply, records, answered
}

// applyReply applies a peer's answer to a call that began at a time. It reports whether the
// answer is as good as a read of the store that is not older than maxAge.
func (f *Follower) applyReply(host string, reply SinceReply, records []platform.KeyedRecord, began time.Time, maxAge time.Duration) bool {
	pos := f.position()
	f.eraUnknown = f.eraUnknown || reply.Version < versionOfEras && pos.era == platform.NoEra
	page := platform.KeyedPage{Records: records, NextOffset: reply.Next, Era: reply.Era}
	read := began.Add(reply.Held - reply.Age)
	f.offered = lineageOf(reply)
	switch {
	case pos.next < 0 && reply.Age > maxAge:
		return false
	case pos.next >= 0 && reply.Era > pos.era && f.eraUnknown && !f.readFromStore:
		f.applyEarlier(records, reply.Era, host)
		return false
	case pos.next < 0, reply.Era > pos.era:
		if !reply.Whole {
			return false
		}
		f.applyEra(page, eraStart{since: began.Add(-reply.EraAge), certain: reply.EraCertain}, read, host)
	case reply.Era < pos.era:
		f.applyEarlier(records, reply.Era, host)
		if reply.Version >= versionOfEras {
			f.opts.Feed.markBehind(host)
		}
		return false
	case reply.Next < pos.next, reply.Age > maxAge && !f.peerIsNewer(reply):
		return false
	case reply.Whole:
		if err := f.applyFullPage(page, read, host); err != nil {
			f.log.WithError(err).WithField("from", host).Info("peer_copy_outdated")
		}
	default:
		f.applyPage(page, read, host)
	}
	return reply.Age <= maxAge
}

// lineageOf returns the lineage of a peer's copy.
func lineageOf(r SinceReply) lineage {
	l := lineage{known: r.KnowsOutages}
	if r.OutageAge > 0 {
		l.outageAt = time.Now().Add(-r.OutageAge)
	}
	return l
}

// recoverFromPeers calls other daemons, until one answers, for records that the store may have
// lost before this daemon started: so far it only has data of the store itself.
func (f *Follower) recoverFromPeers(ctx context.Context) {
	for _, m := range f.opts.Feed.fallbackPeers() {
		if f.opts.Feed.isUnresponsive(m.Host) {
			continue
		}
		reply, records, how := f.askPeer(ctx, m, allKeys, 0)
		if how != answered {
			continue
		}
		f.applyEarlier(records, reply.Era, m.Host)
		f.mu.Lock()
		f.state.storeOnly = false
		f.mu.Unlock()
		return
	}
}

// peerIsNewer reports whether a peer's copy is newer than the one here. It is then applied even
// if it is old, and other sources are tried for a fresh one.
func (f *Follower) peerIsNewer(r SinceReply) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.state.at.IsZero() && r.Next > f.state.next && time.Since(f.state.at) > r.Age
}

// isUnresponsive reports whether a daemon is avoided for now.
func (s *Feed) isUnresponsive(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.unresponsive.Avoided(time.Now()), host)
}

// markBehind avoids, for a while, a daemon whose copy is of an earlier era than the one here.
func (s *Feed) markBehind(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive.RecordFailure(host, time.Now())
}

// call requests records from a daemon and records whether it has answered.
func (s *Feed) call(ctx context.Context, m membership.Member, req SinceRequest, timeout time.Duration, reply *SinceReply) error {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := s.peers.Call(callCtx, m.Address, ServiceName+".Since", &req, reply)
	var answered rpc.ServerError
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil, errors.As(err, &answered):
		s.unresponsive.RecordSuccess(m.Host, now)
	case ctx.Err() == nil:
		s.unresponsive.RecordFailure(m.Host, now)
	}
	return err
}
