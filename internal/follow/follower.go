package follow

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/buckthorndock/buckthorndock/internal/core/finding"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

// Follower holds the settings in force. Its methods are safe for concurrent use.
//
// Invariant: the state moves only to later eras of the log, and within an era only to higher
// offsets, by a record as by a snapshot of a peer or of the log.
type Follower struct {
	o     Options
	view  atomic.Pointer[view]
	ready atomic.Bool

	mu          sync.Mutex
	state       *settings.State // replaced as a whole, or changed by Apply, under mu
	cache       *settings.Cache
	recent      recordBuffer // the latest records of the state's era, without gaps
	accepted    recordBuffer // accepted records of all eras, in the order in which they were read
	lost        lostChanges  // not yet appended again
	currentAt   time.Time    // latest time at which the state was known to be the newest; zero: never
	subscribers map[chan struct{}]struct{}

	pushDue     chan struct{} // new records are to be pushed to peers
	pullDue     chan struct{} // a gap was found: pull from a peer
	reappendDue chan struct{} // lost changes are to be appended again
	snapshots   snapshotCursor
}

// view is a consistent copy of the state for readers.
type view struct {
	snapshot *settings.Snapshot
	findings finding.List
	era      int64
	offset   int64
	digest   uint64
}

// New returns a Follower with empty settings. Run fills them.
func New(o Options) *Follower {
	o.setDefaults()
	f := &Follower{
		o:           o,
		state:       settings.NewState(),
		cache:       settings.NewCache(),
		recent:      recordBuffer{limit: o.RecentBytes},
		accepted:    recordBuffer{limit: o.RecentBytes},
		subscribers: map[chan struct{}]struct{}{},
		pushDue:     make(chan struct{}, 1),
		pullDue:     make(chan struct{}, 1),
		reappendDue: make(chan struct{}, 1),
	}
	f.publish(true)
	return f
}

// Run keeps the settings up to date until ctx ends, and then returns nil.
func (f *Follower) Run(ctx context.Context) error {
	f.bootstrap(ctx)
	group, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context){f.tailLoop, f.pullLoop, f.pushLoop, f.snapshotLoop, f.reappendLoop} {
		group.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	return group.Wait()
}

// Current returns the settings in force at this host. It is never nil, and empty until Ready. A
// caller should use the same Snapshot throughout one decision.
func (f *Follower) Current() *settings.Snapshot { return f.view.Load().snapshot }

// Findings returns the findings on the documents in force.
func (f *Follower) Findings() finding.List { return f.view.Load().findings }

// Offset returns the offset of the last record applied.
func (f *Follower) Offset() int64 { return f.view.Load().offset }

// Digest returns the hash of all records up to Offset.
func (f *Follower) Digest() uint64 { return f.view.Load().digest }

// Ready reports whether the first settings were read from a peer or the log.
func (f *Follower) Ready() bool { return f.ready.Load() }

// Lag returns the time since the settings in force were last known to be the newest. It is
// negative when they never were: the log was unreachable since the start of this host and of
// all peers that it has exchanged settings with.
func (f *Follower) Lag(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.currentAt.IsZero() {
		return unknownAge
	}
	return max(now.Sub(f.currentAt), 0)
}

// unknownAge is the Lag of a state that was never known to be the newest.
const unknownAge = -1 * time.Millisecond

// Documents returns the documents in force at a path and below, and the offset of the state.
func (f *Follower) Documents(prefix string) ([]settings.StoredDocument, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Documents(prefix), f.state.Offset()
}

// History returns up to limit verdicts, newest first, on changes that edit the path or its
// subtree.
func (f *Follower) History(path string, limit int) []settings.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.History(path, limit)
}

// Subscribe returns a channel that receives a value after Current has changed. Several changes
// may give one value. The function cancel ends the subscription.
func (f *Follower) Subscribe() (changed <-chan struct{}, cancel func()) {
	c := make(chan struct{}, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers[c] = struct{}{}
	return c, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.subscribers, c)
	}
}

// publish makes the state visible to readers. changed says whether documents may have changed.
// While lost changes are pending, the settings in force stay those of the earlier era. The
// caller holds mu, or is New.
func (f *Follower) publish(changed bool) {
	next := &view{era: f.state.Era(), offset: f.state.Offset(), digest: f.state.Digest()}
	if last := f.view.Load(); last != nil && (!changed || f.lost.pending()) {
		next.snapshot, next.findings = last.snapshot, last.findings
		f.view.Store(next)
		return
	}
	next.snapshot, next.findings = f.cache.Compile(f.state.Documents(settings.Root))
	last := f.view.Swap(next)
	if last == nil {
		return
	}
	f.logFindings(last.findings, next)
	for c := range f.subscribers {
		signal(c)
	}
}

// logFindings logs the findings of the next view that are not among the known ones.
func (f *Follower) logFindings(known finding.List, next *view) {
	for _, found := range next.findings {
		if !slices.Contains(known, found) {
			f.o.Logger.WithField("offset", next.offset).WithField("place", found.Place.String()).
				WithField("detail", found.Message).Warn("settings_finding")
		}
	}
}

// signal sends to a channel of capacity one unless a value is already waiting in it.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
