package claims

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/claim"
	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// pending is a record that is to be appended and then read back from the log.
type pending struct {
	record       claim.Record
	data         []byte           // the encoded record
	done         chan claim.Event // buffered; receives the event that decides the record
	settled      bool             // the event was delivered, or the caller no longer waits
	failedAtRead int64            // number of the last read that began before the append failed
}

// combiner serves one partition. Two goroutines run while it is in use: follow
// reads the stream, appendBatches writes it. Verdicts come from follow only.
type combiner struct {
	o      Options
	log    platform.Log
	base   context.Context
	wg     *sync.WaitGroup
	stream string

	mu             sync.Mutex
	running        bool
	lastUsed       time.Time
	replay         *claim.Replay // nil until the window has been replayed
	appliedAt      time.Time     // local time at which the last record was applied
	changed        chan struct{} // closed and replaced when replay or logUnavailable change
	logUnavailable bool          // the last read failed
	blockedUntil   time.Time     // no append before it, since the last one failed
	claims         map[claim.ID]*pending
	releases       map[int64]*pending
	queue          []*pending
	unconfirmed    []*pending // append failed; the log is read for them before they are queued again
	reads          int64      // started so far
	wake           chan struct{}
	cancelRead     context.CancelFunc // cancels the read that waits for records, nil if none does
}

func newCombiner(o Options, log platform.Log, base context.Context, wg *sync.WaitGroup, partition int) *combiner {
	return &combiner{
		o: o, log: log, base: base, wg: wg,
		stream:   StreamName(partition),
		changed:  make(chan struct{}),
		claims:   map[claim.ID]*pending{},
		releases: map[int64]*pending{},
	}
}

// StreamName returns the log stream of a partition.
func StreamName(partition int) string {
	return fmt.Sprintf("claims-%d", partition)
}

// acquire returns the verdict on a claim, appending it if the log does not decide
// it yet.
func (c *combiner) acquire(ctx context.Context, cl claim.Claim) AcquireReply {
	if !c.ensureReady(ctx) {
		return AcquireReply{State: StateLogUnavailable}
	}
	p, reply := c.submit(cl)
	if p == nil {
		return reply
	}
	defer c.removePending(p)
	select {
	case ev := <-p.done:
		return AcquireReply{State: verdictStates[ev.Verdict], Offset: ev.Offset, Holder: ev.Holder}
	case <-ctx.Done():
		return AcquireReply{State: StateUndecided}
	}
}

// submit queues a claim and returns it as pending. If the log decides it already,
// or it cannot be queued, the reply says so and the pending record is nil.
func (c *combiner) submit(cl claim.Claim) (*pending, AcquireReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.replay == nil {
		return nil, AcquireReply{State: StateLogUnavailable}
	}
	if d, ok := c.replay.Decided(cl.Customer, cl.Key, cl.ID); ok {
		return nil, AcquireReply{State: verdictStates[d.Verdict], Offset: d.Offset, Holder: d.Holder}
	}
	st := c.replay.Lookup(cl.Customer, cl.Key, c.logNow())
	switch st.State {
	case claim.KeyHeld:
		if st.Holder.Fingerprint != cl.Fingerprint {
			return nil, AcquireReply{State: StateConflict, Holder: st.Holder}
		}
		return nil, AcquireReply{State: StateHeld, Holder: st.Holder}
	case claim.KeyExpired:
		return nil, AcquireReply{State: StateExpired}
	case claim.KeyUncertain:
		return nil, AcquireReply{State: StateUncertain, RetryAfter: st.Wait}
	case claim.KeyReleased:
		cl.Supersedes = st.Holder.Offset
	}
	if c.logUnavailable || c.o.Now().Before(c.blockedUntil) {
		return nil, AcquireReply{State: StateLogUnavailable}
	}
	if c.replay.Len()+len(c.claims) >= c.o.MaxKeys {
		return nil, AcquireReply{State: StateBusy}
	}
	p, err := newPending(claim.Record{Claim: &cl})
	if err != nil {
		c.o.Log.WithError(err).Warn("claim_encode_failed")
		return nil, AcquireReply{State: StateInvalid}
	}
	c.claims[cl.ID] = p
	c.enqueue(p)
	return p, AcquireReply{}
}

// release appends the release of a claim that holds its key and waits until it is
// read back.
func (c *combiner) release(ctx context.Context, a ReleaseArgs) ReleaseReply {
	if !c.ensureReady(ctx) {
		return ReleaseReply{State: StateLogUnavailable}
	}
	p, state := c.submitRelease(a)
	if p == nil {
		return ReleaseReply{State: state}
	}
	defer c.removePending(p)
	select {
	case <-p.done:
		return ReleaseReply{State: StateReleased}
	case <-ctx.Done():
		return ReleaseReply{State: StateUndecided}
	}
}

// submitRelease queues a release. If none is to be written, the pending record is
// nil and the state tells why.
func (c *combiner) submitRelease(a ReleaseArgs) (*pending, State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.replay == nil || c.logUnavailable {
		return nil, StateLogUnavailable
	}
	d, ok := c.replay.Decided(a.Customer, a.Key, a.ID)
	if !ok {
		return nil, StateNotFound
	}
	st := c.replay.Lookup(a.Customer, a.Key, c.replay.Clock())
	if d.Verdict != claim.Holds || st.State != claim.KeyHeld || st.Holder.Offset != d.Offset {
		return nil, StateReleased
	}
	p, err := newPending(claim.Record{Release: &claim.Release{Offset: d.Offset, ID: a.ID, Host: a.Host, Incarnation: a.Incarnation}})
	if err != nil {
		return nil, StateInvalid
	}
	c.releases[d.Offset] = p
	c.enqueue(p)
	return p, StateUndecided
}

func newPending(r claim.Record) (*pending, error) {
	data, err := claim.Encode(r)
	if err != nil {
		return nil, err
	}
	return &pending{record: r, data: data, done: make(chan claim.Event, 1)}, nil
}

// logNow returns a lower bound of the log's clock: the last record's time plus the
// local time that has passed since it was applied.
func (c *combiner) logNow() time.Time {
	if c.replay.Clock().IsZero() {
		return time.Time{}
	}
	return c.replay.Clock().Add(c.o.Now().Sub(c.appliedAt))
}

func (c *combiner) enqueue(p *pending) {
	c.queue = append(c.queue, p)
	c.wakeUp()
}

func (c *combiner) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// removePending ends the wait for a record. If it was not appended yet, it never
// will be.
func (c *combiner) removePending(p *pending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.settled = true
	if cl := p.record.Claim; cl != nil && c.claims[cl.ID] == p {
		delete(c.claims, cl.ID)
	}
	if rel := p.record.Release; rel != nil && c.releases[rel.Offset] == p {
		delete(c.releases, rel.Offset)
	}
}

// ensureReady starts the combiner if it does not run and waits until the window is
// replayed. It reports false at once when the log does not answer.
func (c *combiner) ensureReady(ctx context.Context) bool {
	for {
		c.mu.Lock()
		c.startIfStopped()
		ready, unavailable, changed := c.replay != nil, c.logUnavailable, c.changed
		c.mu.Unlock()
		if ready || unavailable {
			return ready
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// startIfStopped records a use of the partition and starts the goroutines unless
// they run.
func (c *combiner) startIfStopped() {
	c.lastUsed = c.o.Now()
	if c.running || c.base.Err() != nil {
		return
	}
	c.running = true
	// A new channel, so that goroutines of an earlier start that are still ending
	// cannot take these wake-ups.
	wake := make(chan struct{}, 1)
	c.wake = wake
	ctx, cancel := context.WithCancel(c.base)
	c.wg.Add(2)
	go func() {
		defer c.wg.Done()
		defer cancel()
		c.follow(ctx)
	}()
	go func() {
		defer c.wg.Done()
		c.appendBatches(ctx, wake)
	}()
}

// stopIfIdle marks a partition that has not been used for IdleTimeout as stopped and
// drops its replay; the next use replays the window again.
func (c *combiner) stopIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.claims)+len(c.releases) > 0 || c.o.Now().Sub(c.lastUsed) < c.o.IdleTimeout {
		return false
	}
	c.running = false
	c.replay = nil
	c.logUnavailable = false
	c.queue, c.unconfirmed = nil, nil
	return true
}

// signal wakes the callers of ensureReady.
func (c *combiner) signal() {
	close(c.changed)
	c.changed = make(chan struct{})
}
