package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// pushLoop pushes new records to a few random peers. Each host pushes a record once, so a change
// reaches nearly all hosts in a few hops; the others get it by pullLoop.
func (f *Follower) pushLoop(ctx context.Context) {
	next := f.Offset() + 1
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.pushDue:
		}
		args, ok := f.pushArgs(next)
		if !ok { // an adopted snapshot has skipped the records
			next = f.Offset() + 1
			continue
		}
		next = args.Records[len(args.Records)-1].Offset + 1
		var calls sync.WaitGroup
		for _, peer := range f.o.Peers.Sample(f.o.Fanout) {
			calls.Go(func() { f.push(ctx, peer, args) })
		}
		calls.Wait()
	}
}

// pushArgs returns the arguments of a push of the records from an offset on; ok is false when
// there are none or the first of them is no longer kept.
func (f *Follower) pushArgs(from int64) (args *PushArgs, ok bool) {
	age := f.Lag(f.o.Now())
	f.mu.Lock()
	defer f.mu.Unlock()
	records, ok := f.recent.from(from)
	if !ok || len(records) == 0 {
		return nil, false
	}
	return &PushArgs{Era: f.state.Era(), Records: records, AgeMs: age.Milliseconds()}, true
}

// push sends records to a peer. A failure is only logged: the peer gets them by a pull.
func (f *Follower) push(ctx context.Context, peer PeerRef, args *PushArgs) {
	ctx, cancel := context.WithTimeout(ctx, f.o.CallTimeout)
	defer cancel()
	pushes.Inc()
	for _, r := range args.Records {
		spreadBytes.Add(len(r.Data))
	}
	var reply PushReply
	if err := f.o.Peers.Call(ctx, peer.Address, methodPush, args, &reply); err != nil {
		f.o.Logger.WithField("peer", peer.Name).WithError(err).Debug("settings_push_failed")
	}
}

// pullLoop pulls from a random peer at intervals, and at once after a gap.
func (f *Follower) pullLoop(ctx context.Context) {
	for {
		timer := time.NewTimer(jitter(f.o.PullInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-f.pullDue:
		case <-timer.C:
		}
		timer.Stop()
		for _, peer := range f.o.Peers.Sample(1) {
			f.pull(ctx, peer)
		}
	}
}

// jitter returns a random time between 3/4 and 5/4 of d, so that hosts that started together do
// not act at the same time.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}

// bootstrapPeers is the number of peers that a new host pulls from at once.
const bootstrapPeers = 3

// pullAny pulls from bootstrapPeers random peers at once and reports whether one of these pulls
// succeeded.
func (f *Follower) pullAny(ctx context.Context) bool {
	peers := f.o.Peers.Sample(bootstrapPeers)
	answered := make([]bool, len(peers))
	var calls sync.WaitGroup
	for i, peer := range peers {
		calls.Go(func() { answered[i] = f.pull(ctx, peer) })
	}
	calls.Wait()
	for _, ok := range answered {
		if ok {
			return true
		}
	}
	return false
}

// pull fetches and applies what this host lacks from a peer, and pushes to the peer what it
// lacks. It reports whether the peer answered, is ready and not in an earlier era, and sent a
// valid reply.
func (f *Follower) pull(ctx context.Context, peer PeerRef) bool {
	ctx, cancel := context.WithTimeout(ctx, f.o.CallTimeout)
	defer cancel()
	pulls.Inc()
	start := f.o.Now()
	at := f.view.Load()
	args := &PullArgs{AgeMs: f.Lag(start).Milliseconds(), Era: at.era, From: at.offset + 1}
	var reply PullReply
	if err := f.o.Peers.Call(ctx, peer.Address, methodPull, args, &reply); err != nil {
		f.o.Logger.WithField("peer", peer.Name).WithError(err).Debug("settings_pull_failed")
		return false
	}
	if !reply.Ready || reply.Era < at.era || !f.applyReply(peer, &reply) {
		return false
	}
	f.compareDigest(peer, reply.Era, reply.Offset, reply.Digest)
	if age, known := ageOf(reply.AgeMs); known {
		f.markCurrent(reply.Era, reply.Offset, start.Add(-age))
	}
	if f.Ready() && reply.Era == f.view.Load().era && reply.Offset < f.Offset() {
		if missing, ok := f.pushArgs(reply.Offset + 1); ok {
			f.push(ctx, peer, missing)
		}
	}
	return true
}

// applyReply applies the snapshot and the records of a reply. It returns false when the snapshot
// is invalid.
func (f *Follower) applyReply(peer PeerRef, reply *PullReply) bool {
	if len(reply.Snapshot) > 0 {
		state, err := unpack(reply.Snapshot)
		if err != nil {
			f.o.Logger.WithField("peer", peer.Name).WithError(err).Warn("settings_snapshot_invalid")
			return false
		}
		if !f.enterEra(state, peer.Name) {
			f.adopt(state, peer.Name)
		}
	}
	f.apply(reply.Era, reply.Records)
	return true
}

// ageOf converts an AgeMs of a message; known is false when it is negative.
func ageOf(ms int64) (age time.Duration, known bool) {
	return time.Duration(ms) * time.Millisecond, ms >= 0
}

// exportState returns the packed state and its offset.
func (f *Follower) exportState() (packed []byte, offset int64, err error) {
	f.mu.Lock()
	data, err := f.state.Export()
	offset = f.state.Offset()
	f.mu.Unlock()
	if err != nil {
		return nil, 0, err
	}
	packed, err = pack(data)
	return packed, offset, err
}
