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
}

// Options configure a Follower. All durations must be positive, except that LongPoll and
// StartupDelay may be zero.
type Options struct {
	Store        platform.Keyed
	Stream       string
	ReadInterval time.Duration // between the starts of two reads of the store
	LongPoll     time.Duration // how long the store may keep a read open until a first record comes
	Timeout      time.Duration // of a read, in addition to LongPoll
	// MaxAge is the age up to which a reader's copy counts as fresh, that is, is as good as a
	// read of the store: two intervals between its reads, the transfer time, and the time for
	// which its reads stay open, during which the copy ages although nothing changes.
	MaxAge time.Duration
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
	staleTries    int  // tries since the data was fresh in which no peer had fresh data
	stale         bool // neither a reader nor the store had fresh data at the last try
	fromPeer      bool // the last read was from a peer
	readAllNext   bool // the next read of the store is one of all keys
	readFromStore bool // an answer of the store was applied
	// eraUnknown says that the data came from a daemon of an earlier release, which does not
	// send the store's era. The data may be of any era, and offsets of a former era may hide newer
	// records.
	eraUnknown bool

	attempts attempts

	mu         sync.Mutex
	state      streamState
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
			f.sleepUnlessDemanded(ctx, time.Duration((0.5+rand.Float64())*float64(delay)))
			delay = min(2*delay, maxRetryDelay)
		}
	}
	return nil
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
		return f.readStoreOr(ctx, nil)
	}
	maxAge := f.opts.MaxAge
	if f.isStarting() {
		return f.readOnePeer(ctx)
	}
	from := feed.sources()
	if f.eraUnknown && !f.readFromStore {
		return f.readStoreOr(ctx, func() bool { return f.readPeer(ctx, feed.fallbackPeers(), maxAge+from.extraAge()) })
	}
	if f.position().storeOnly {
		f.recoverFromPeers(ctx)
	}
	if f.readPeer(ctx, from.before, maxAge+from.extraAge()) {
		f.markFresh()
		return nil
	}
	if f.hasNoData() && f.readPeer(ctx, feed.fallbackPeers(), maxAge+from.extraAge()) {
		return nil
	}
	if f.mayReadStore(from.reader) {
		return f.readStoreOr(ctx, func() bool { return f.readFallbackPeers(ctx, maxAge) })
	}
	if !f.hasNoData() {
		f.markStale(errNothingFresh)
	}
	if f.readFallbackPeers(ctx, maxAge) {
		return nil
	}
	return errNothingFresh
}

// isStarting reports whether this daemon has just started, has no data, and no caller waits for it.
func (f *Follower) isStarting() bool {
	return f.hasNoData() && time.Since(f.started) < f.opts.StartupDelay && !f.demanded()
}

// startupRetryDelay is the first delay after a failed read of a daemon that has just started.
const startupRetryDelay = 400 * time.Millisecond

// readOnePeer reads from one peer only. All daemons may have started together: then none has any
// data yet, and each peer that is called costs another connection.
func (f *Follower) readOnePeer(ctx context.Context) error {
	one := f.opts.Feed.fallbackPeers()
	if f.readPeer(ctx, one[:min(1, len(one))], anyAge) {
		return nil
	}
	return errNothingFresh
}

// mayReadStore reports whether this daemon is to read the store now, at a try in which no peer had
// fresh data. reader says that it is the next reader in order.
func (f *Follower) mayReadStore(reader bool) bool {
	noData := f.hasNoData()
	waited := time.Since(f.started)
	if noData && waited < 2*f.opts.StartupDelay && !f.demanded() {
		return reader
	}
	if reader || noData {
		return true
	}
	try := f.staleTries
	f.staleTries++
	return f.opts.Feed.isTurnToRead(try)
}

// demanded reports whether a caller waits for the data.
func (f *Follower) demanded() bool {
	select {
	case <-f.opts.Demand:
		return true
	default:
		return false
	}
}

// readStoreOr reads the store; if that fails, it calls fallback, which may be nil, and returns
// nil if that succeeds.
func (f *Follower) readStoreOr(ctx context.Context, fallback func() bool) error {
	err := f.readStore(ctx)
	if err == nil || needsFullRead(err) || errors.Is(err, errRestarted) || ctx.Err() != nil {
		return err
	}
	storeReadErrors(f.opts.Stream).Inc()
	f.markStale(err)
	if fallback != nil && fallback() {
		return nil
	}
	return err
}

// readFallbackPeers reads a copy of at most an age from any other daemons.
func (f *Follower) readFallbackPeers(ctx context.Context, maxAge time.Duration) bool {
	if f.hasNoData() {
		// This daemon may have started while its failure domain is cut off: an old copy of a
		// peer in it is better than no service.
		maxAge = anyAge
	}
	return f.readPeer(ctx, f.opts.Feed.fallbackPeers(), maxAge)
}

// hasNoData reports whether no read has succeeded yet.
func (f *Follower) hasNoData() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.at.IsZero()
}

// errRestarted is returned by a read that was canceled in order to start it again.
var errRestarted = errors.New("the read was restarted")

// RestartRead cancels a read that is in progress, so that it is started again: the store may have
// been unreachable in the meantime and may never answer it.
func (f *Follower) RestartRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelRead != nil {
		f.cancelRead()
	}
}

// readStore reads the store once. It returns errRestarted if the read was canceled by RestartRead.
func (f *Follower) readStore(ctx context.Context) error {
	f.fromPeer = false
	began := time.Now()
	outer := ctx
	ctx, cancel := context.WithTimeout(ctx, f.opts.Timeout+f.opts.LongPoll)
	defer cancel()
	readCtx, cancelRead := context.WithCancel(ctx)
	defer cancelRead()
	next := f.beginRead(cancelRead)
	defer f.beginRead(nil)
	storeReads(f.opts.Stream).Inc()
	end := f.attempts.begin(storeSource)
	err := f.readFrom(readCtx, next, began)
	end(outcomeOf(readCtx, err))
	if err != nil && readCtx.Err() != nil && ctx.Err() == nil && outer.Err() == nil {
		return errRestarted
	}
	if err == nil {
		f.markFresh()
	}
	return err
}

// beginRead stores the function that cancels the read and returns the offset to read from.
func (f *Follower) beginRead(cancel context.CancelFunc) (next int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelRead = cancel
	return f.state.next
}

// markStale logs store_lost when the data begins to be stale.
func (f *Follower) markStale(err error) {
	if f.stale {
		return
	}
	f.stale = true
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

func storeReads(stream string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`buckthorndock_store_reads_total{stream="` + stream + `"}`)
}

func storeReadErrors(stream string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`buckthorndock_store_read_errors_total{stream="` + stream + `"}`)
}

func storeEra(stream string) *metrics.Gauge {
	return metrics.GetOrCreateGauge(`buckthorndock_store_era{stream="`+stream+`"}`, nil)
}
