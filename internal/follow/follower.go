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
// Invariant: the state only moves to later eras of the log, and to higher offsets within one,
// whether by a record or by a snapshot of a peer or of the log.
type Follower struct {
	o     Options
	view  atomic.Pointer[view]
	ready atomic.Bool

	mu          sync.Mutex
	state       *settings.State // replaced as a whole or stepped, under mu
	cache       *settings.Cache
	recent      recordBuffer
	accepted    recordBuffer // of whatever era, in the order in which they were read
	lost        lostChanges
	currentAt   time.Time // the state was the newest there was at this time; zero: never known
	subscribers map[chan struct{}]struct{}

	pushDue     chan struct{} // new records wait to be pushed
	pullDue     chan struct{} // a gap was seen
	reappendDue chan struct{} // changes are to be written again
	snapshots   snapshotCursor
}

// view is one consistent answer to readers.
type view struct {
	snapshot *settings.Snapshot
	findings finding.List
	era      int64
	offset   int64
	digest   uint64
}

// New returns a Follower that knows nothing yet.
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

// Run follows the settings until the context ends. It returns nil then.
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

// Current returns the settings in force at this host; never nil, and empty until
// Ready. A caller should use one Snapshot for the whole of one decision.
func (f *Follower) Current() *settings.Snapshot { return f.view.Load().snapshot }

// Findings returns what is wrong with the documents in force.
func (f *Follower) Findings() finding.List { return f.view.Load().findings }

// Offset returns the offset that the settings in force follow from.
func (f *Follower) Offset() int64 { return f.view.Load().offset }

// Digest returns the hash of all records up to Offset.
func (f *Follower) Digest() uint64 { return f.view.Load().digest }

// Ready reports whether the host has settings to work with.
func (f *Follower) Ready() bool { return f.ready.Load() }

// Lag returns how long ago the settings in force were known to be the newest. It
// is negative when they never were: the log was out of reach since the start of
// this host and of all peers it has heard.
func (f *Follower) Lag(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.currentAt.IsZero() {
		return unknownAge
	}
	return max(now.Sub(f.currentAt), 0)
}

// unknownAge says that a state was never known to be the newest.
const unknownAge = -1 * time.Millisecond

// Documents returns the texts in force at a path and below, and their offset.
func (f *Follower) Documents(prefix string) ([]settings.StoredDocument, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Documents(prefix), f.state.Offset()
}

// History returns up to limit verdicts, newest first, on changes that touch the
// path or its subtree.
func (f *Follower) History(path string, limit int) []settings.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.History(path, limit)
}

// Subscribe returns a channel that gets a value after each change of Current;
// several changes may give one value. Cancel ends it.
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

// publish shows the state to readers. The caller holds mu, or is New.
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

func (f *Follower) logFindings(known finding.List, next *view) {
	for _, found := range next.findings {
		if !slices.Contains(known, found) {
			f.o.Logger.WithField("offset", next.offset).WithField("place", found.Place.String()).
				WithField("detail", found.Message).Warn("settings_finding")
		}
	}
}

// signal wakes the reader of a channel of capacity one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
