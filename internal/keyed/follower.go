package keyed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/platform"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

// Batch is the result of one successful read.
type Batch struct {
	Whole   bool // Records has all keys: others were removed
	Records []platform.KeyedRecord
	At      time.Time // start of the read of the store: the data is at least as new
	From    string    // the host whose copy was read; empty: the store
	// OutageAt is when the store last did not answer this daemon or the one that has read it, zero for
	// never. It is not known from daemons of earlier releases.
	OutageAt    time.Time
	OutageKnown bool
}

// Options configure a Follower. All durations must be positive, except that LongPoll and
// StartupDelay may be zero.
type Options struct {
	Store        platform.Keyed
	Stream       string
	ReadInterval time.Duration // between the starts of two reads of the store
	LongPoll     time.Duration // how long the store may keep a read open until a first record comes
	Timeout      time.Duration // of a read, in addition to LongPoll
	// Within is the time within which a change must be in force. A read that gets no answer asks
	// further sources, at last the store, in time for that. The other times must be so short that the
	// data stays younger than half of it while all sources answer.
	Within time.Duration
	// OldAfter is the age from which the data counts as old in logs, which name the sources that have
	// not answered; zero: never.
	OldAfter time.Duration
	// RankOf reads the ranks of values; nil: values are ordered by their offsets.
	RankOf RankOf
	// RewriteTime is how long writers take at most to write again what the store has lost when it
	// was restored from an older copy. After DoubtTime, the restored records count in any case.
	RewriteTime, DoubtTime time.Duration
	// IsSignificant reports whether peers need a key's new value; nil: they need each.
	IsSignificant func(before, after []byte) bool
	// Feed reads from other daemons instead of the store; nil: never.
	Feed        *Feed
	PeerTimeout time.Duration // for a peer's answer, in addition to PeerHold
	// PeerHold is how long a peer that has nothing new may hold its answer back.
	PeerHold         time.Duration
	PeerReadInterval time.Duration // between the starts of two reads from peers
	// StartupDelay is how long a Follower without data leaves the store to its readers, because all
	// daemons may have started at once. It ends early when Demand is closed: a caller waits for
	// the data. A nil Demand never ends it.
	StartupDelay time.Duration
	Demand       <-chan struct{}
	Apply        func(Batch) // receives the result of each read
	// OnRegained is called when the store, or a reader of it, has fresh data again; may be nil.
	OnRegained func()
	Log        *logrus.Entry
}

// Follower follows one stream.
type Follower struct {
	opts          Options
	log           *logrus.Entry
	started       time.Time
	staleTries    int           // tries since the data was fresh in which no peer had fresh data
	stale         bool          // neither a reader nor the store had fresh data at the last try
	staleSince    time.Time     // start of that
	fromPeer      bool          // the last read was from a peer
	readAllNext   bool          // the next read of the store is one of all keys
	readFromStore bool          // an answer of the store was applied
	helper        string        // host of the daemon that gave fresh data last
	ownRead       time.Time     // start of the last read of the store
	searchedAt    time.Time     // when all daemons were asked last
	offered       lineage       // of the peer's copy that is being applied
	recovering    chan struct{} // closed when recoverFromPeers has ended; nil: it was not called
	// eraUnknown says that the data came from a daemon of an earlier release, which does not
	// send the store's era. The data may be of any era, and offsets of a former era may hide newer
	// records.
	eraUnknown bool

	attempts attempts
	outage   outage

	mu         sync.Mutex
	state      streamState
	lineage    lineage
	source     string // host whose copy was applied last, or fromStore
	replies    replyCache
	cancelRead context.CancelFunc // cancels the read in progress
	readDone   chan struct{}      // closed and replaced after each successful read
	old        bool               // stream_old was logged
	oldest     time.Duration      // age of the data before it was renewed
	oldTimer   *time.Timer        // calls logOld
}

// New returns a Follower that has no data yet.
func New(o Options) *Follower {
	f := &Follower{opts: o, log: o.Log.WithField("stream", o.Stream), started: time.Now(), readDone: make(chan struct{})}
	f.state = newStreamState(o.RankOf)
	f.registerAge()
	if o.Feed != nil {
		o.Feed.add(o.Stream, f)
	}
	return f
}

// Delays after a failed read: short at first, as the store may be back at once, then doubled up
// to the maximum, as all daemons retry.
const (
	minRetryDelay = 60 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// Run follows the stream until the context ends. It returns nil.
func (f *Follower) Run(ctx context.Context) error {
	delay := minRetryDelay
	for ctx.Err() == nil {
		began := time.Now()
		err := f.read(ctx)
		switch {
		case err == nil:
			delay = minRetryDelay
			interval := f.opts.ReadInterval
			if f.fromPeer {
				interval = f.opts.PeerReadInterval
			}
			wait.For(ctx, interval-time.Since(began))
		case needsFullRead(err):
			pos := f.position()
			f.log.WithError(err).WithFields(logrus.Fields{"offset": pos.next, "era": pos.era}).Info("stream_trimmed")
			f.requestFullRead()
		case errors.Is(err, errRestarted):
		case ctx.Err() == nil:
			if f.isStarting() {
				delay = startupRetryDelay
			}
			f.sleepUnlessDemanded(ctx, f.beforeOld(time.Duration((0.5+rand.Float64())*float64(delay))))
			delay = min(2*delay, maxRetryDelay)
		}
	}
	return nil
}

// beforeOld shortens a delay that would end after the data has become so old that a read asks
// several sources beside each other.
func (f *Follower) beforeOld(delay time.Duration) time.Duration {
	at, ok := f.readAt()
	left := time.Until(at.Add(f.part(takeOverFraction)))
	if !ok || left <= 0 {
		return delay
	}
	return min(delay, left)
}

// needsFullRead reports whether a read of the store must be repeated for all keys.
func needsFullRead(err error) bool {
	return errors.Is(err, platform.ErrTrimmed) || errors.Is(err, errLaterEra)
}

// sleepUnlessDemanded waits for a duration, or until Demand is closed.
func (f *Follower) sleepUnlessDemanded(ctx context.Context, d time.Duration) {
	if f.opts.Demand == nil || f.demanded() {
		wait.For(ctx, d)
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.opts.Demand:
	case <-ctx.Done():
	}
}

// errNothingFresh is returned when no peer that was called has a fresh copy.
var errNothingFresh = errors.New("no daemon that was asked has read the store of late")

// read reads once: from the daemons that precede this one in the reading order, then from the
// store if this daemon is to read it, else from any other daemons.
func (f *Follower) read(ctx context.Context) error {
	feed := f.opts.Feed
	if feed == nil {
		return f.readStore(ctx)
	}
	if f.isStarting() {
		return f.hedge(ctx, f.planStart())
	}
	from := feed.sources()
	if f.eraUnknown && !f.readFromStore {
		return f.hedge(ctx, f.planUnknownEra(from))
	}
	if f.position().storeOnly {
		f.recoverBriefly(ctx)
	}
	return f.hedge(ctx, f.plan(from))
}

// recoverBriefly calls recoverFromPeers in the background and waits for it for a short time.
func (f *Follower) recoverBriefly(ctx context.Context) {
	if f.recovering == nil || isClosed(f.recovering) {
		done := make(chan struct{})
		f.recovering = done
		go func() {
			defer close(done)
			f.recoverFromPeers(ctx)
		}()
	}
	select {
	case <-f.recovering:
	case <-time.After(f.part(recoverFraction)):
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// isStarting reports whether this daemon has just started, has no data, and no caller waits for it.
func (f *Follower) isStarting() bool {
	return f.hasNoData() && time.Since(f.started) < f.opts.StartupDelay && !f.demanded()
}

// startupRetryDelay is the first delay after a failed read of a daemon that has just started.
const startupRetryDelay = 400 * time.Millisecond

// demanded reports whether a caller waits for the data.
func (f *Follower) demanded() bool {
	select {
	case <-f.opts.Demand:
		return true
	default:
		return false
	}
}

// hasNoData reports whether no read has succeeded yet.
func (f *Follower) hasNoData() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.at.IsZero()
}

// errRestarted is returned by a read that was canceled in order to start it again.
var errRestarted = errors.New("the read was restarted")

// RestartRead cancels a read of the store that is in progress, so that it is started again: the store
// may have been unreachable in the meantime and may never answer it.
func (f *Follower) RestartRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelRead != nil && f.attempts.isOpen(storeSource) {
		f.cancelRead()
	}
}

// readStore reads the store once. It returns errRestarted if the read was canceled by RestartRead.
func (f *Follower) readStore(ctx context.Context) error {
	return f.hedge(ctx, []step{{store: true, eager: always}})
}

// beginRead stores the function that cancels the read, nil when it has ended.
func (f *Follower) beginRead(cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelRead = cancel
}

// markStale logs store_lost when the data begins to be stale.
func (f *Follower) markStale(err error) {
	if f.stale {
		return
	}
	f.stale, f.staleSince = true, time.Now()
	f.log.WithError(err).Warn("store_lost")
}

// markFresh logs store_regained and calls OnRegained when the data is fresh again.
func (f *Follower) markFresh() {
	f.staleTries = 0
	if !f.stale {
		return
	}
	f.stale = false
	f.log.Info("store_regained")
	if f.opts.OnRegained != nil {
		f.opts.OnRegained()
	}
}

// lineage tells of the reads of the store from which the data comes.
type lineage struct {
	outageAt time.Time // see Batch.OutageAt
	known    bool      // see Batch.OutageKnown
}

// storeLineage returns the lineage of data that this daemon reads from the store.
func (f *Follower) storeLineage() lineage { return lineage{outageAt: f.outage.last(), known: true} }

func storeReads(stream string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`buckthorndock_store_reads_total{stream="` + stream + `"}`)
}

func storeReadErrors(stream string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`buckthorndock_store_read_errors_total{stream="` + stream + `"}`)
}

func storeEra(stream string) *metrics.Gauge {
	return metrics.GetOrCreateGauge(`buckthorndock_store_era{stream="`+stream+`"}`, nil)
}
