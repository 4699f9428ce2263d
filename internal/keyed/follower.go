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

// Batch is what one successful read brought.
type Batch struct {
	Whole   bool // Records are all keys: what is missing was removed
	Records []platform.KeyedRecord
	At      time.Time // when the read was begun: what it says holds since then at least
	From    string    // the host whose copy was read; empty: the store
}

// Options configure a Follower. All durations must be positive but Wait.
type Options struct {
	Store   platform.Keyed
	Stream  string
	Pace    time.Duration // between the starts of two reads
	Wait    time.Duration // that a read of the store stays open for a first record
	Timeout time.Duration // of a read, besides Wait
	// MostAge is the age up to which what a reader knows is as good as a read of the store: two
	// paces of a reader and the way, and while its reads stay open their wait, during which it
	// hears of no change because there is none.
	MostAge time.Duration
	// RankOf tells the ranks of values; nil: their places in the stream decide.
	RankOf RankOf
	// Rewritten is how long after the store has come back from an older copy what it has lost is
	// written again, and Doubt when what the copy has is the store's word in any case.
	Rewritten, Doubt time.Duration
	// News tells whether others need to know of a key's new value; nil: of each.
	News func(before, after []byte) bool
	// Spread reads from other daemons in place of the store; nil: never.
	Spread   *Spread
	PeerWait time.Duration // for an answer of a peer, besides PeerHold
	// PeerHold is how long a peer that has nothing new may hold its answer back.
	PeerHold time.Duration
	PeerPace time.Duration // between the starts of two reads from peers
	// Patience is how long a Follower that knows nothing leaves the store to those whose task
	// it is to read it, for all may have started at once. It ends with Demand, closed when
	// somebody waits for what it is to know; nil: never.
	Patience time.Duration
	Demand   <-chan struct{}
	Apply    func(Batch)
	// Regained is called when the store, or a reader of it, has something fresh again; may
	// be nil.
	Regained func()
	Log      *logrus.Entry
}

// Follower follows one stream.
type Follower struct {
	opts          Options
	log           *logrus.Entry
	started       time.Time
	stale         bool // neither a reader nor the store had anything fresh at the last try
	fromPeer      bool // the last read was
	readAllNext   bool // the store is to be read whole
	readFromStore bool // an answer of the store was taken in
	// eraUnknown says that what is known came from a daemon of a release that tells no era of the
	// store: it may be of any, and held up by offsets of a former one.
	eraUnknown bool

	mu         sync.Mutex
	state      streamState
	replies    replyCache
	cancelRead context.CancelFunc // ends the read under way
	readDone   chan struct{}      // closed and replaced with each read that succeeds
}

// New returns a Follower that has read nothing.
func New(o Options) *Follower {
	f := &Follower{opts: o, log: o.Log.WithField("stream", o.Stream), started: time.Now(), readDone: make(chan struct{})}
	f.state = newStreamState(o.RankOf)
	if o.Spread != nil {
		o.Spread.add(o.Stream, f)
	}
	return f
}

// Pauses after a failed read: short, for the store may be back at once, and
// doubled up to the longest, for all daemons ask it.
const (
	minRetryDelay = 60 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	pause := minRetryDelay
	for ctx.Err() == nil {
		began := time.Now()
		err := f.read(ctx)
		switch {
		case err == nil:
			pause = minRetryDelay
			pace := f.opts.Pace
			if f.fromPeer {
				pace = f.opts.PeerPace
			}
			wait.For(ctx, pace-time.Since(began))
		case needsFullRead(err):
			at := f.position()
			f.log.WithError(err).WithFields(logrus.Fields{"offset": at.next, "era": at.era}).Info("stream_trimmed")
			f.restart()
		case errors.Is(err, errRestarted):
		case ctx.Err() == nil:
			if f.isStarting() {
				pause = startupRetryDelay
			}
			f.sleep(ctx, time.Duration((0.5+rand.Float64())*float64(pause)))
			pause = min(2*pause, maxRetryDelay)
		}
	}
	return nil
}

// needsFullRead reports whether a read of the store is to be made anew, of all keys.
func needsFullRead(err error) bool {
	return errors.Is(err, platform.ErrTrimmed) || errors.Is(err, errLaterEra)
}

// sleep waits, until somebody begins to wait for what is to be known.
func (f *Follower) sleep(ctx context.Context, d time.Duration) {
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

// errNothingFresh: the daemons that read the store for all have nothing fresh.
var errNothingFresh = errors.New("no daemon that was asked has read the store of late")

// read reads once: from the daemons that are to be asked first, then from the store where it
// is the task of this one, and else from any others.
func (f *Follower) read(ctx context.Context) error {
	s := f.opts.Spread
	if s == nil {
		return f.readStoreOr(ctx, nil)
	}
	fresh := f.opts.MostAge
	if f.isStarting() {
		return f.readOnePeer(ctx)
	}
	from := s.sources()
	if f.eraUnknown && !f.readFromStore {
		return f.readStoreOr(ctx, func() bool { return f.readPeer(ctx, s.fallbackPeers(), fresh+from.extraAge()) })
	}
	if f.position().storeOnly {
		f.recoverFromPeers(ctx)
	}
	if f.readPeer(ctx, from.before, fresh+from.extraAge()) {
		f.markFresh()
		return nil
	}
	if f.hasNoData() && f.readPeer(ctx, s.fallbackPeers(), fresh+from.extraAge()) {
		return nil
	}
	if f.mayReadStore(from.reader) {
		return f.readStoreOr(ctx, func() bool { return f.readFallbackPeers(ctx, fresh) })
	}
	if !f.hasNoData() {
		f.markStale(errNothingFresh)
	}
	if f.readFallbackPeers(ctx, fresh) {
		return nil
	}
	return errNothingFresh
}

// isStarting reports whether this daemon has just started, knows nothing, and nobody waits for it.
func (f *Follower) isStarting() bool {
	return f.hasNoData() && time.Since(f.started) < f.opts.Patience && !f.demanded()
}

// startupRetryDelay is between two questions of a daemon that has just started.
const startupRetryDelay = 400 * time.Millisecond

// readOnePeer asks one daemon. All may have started together: each that is asked is a
// connection more, and nobody knows anything yet.
func (f *Follower) readOnePeer(ctx context.Context) error {
	one := f.opts.Spread.fallbackPeers()
	if f.readPeer(ctx, one[:min(1, len(one))], anyAge) {
		return nil
	}
	return errNothingFresh
}

// mayReadStore reports whether this daemon is to read the store now.
func (f *Follower) mayReadStore(reader bool) bool {
	nothing := f.hasNoData()
	waited := time.Since(f.started)
	if nothing && waited < 2*f.opts.Patience && !f.demanded() {
		return reader
	}
	return reader || nothing || f.opts.Spread.drawnToRead()
}

// demanded reports whether somebody waits for what the Follower is to know.
func (f *Follower) demanded() bool {
	select {
	case <-f.opts.Demand:
		return true
	default:
		return false
	}
}

// readStoreOr reads the store, and does something else when it does not answer.
func (f *Follower) readStoreOr(ctx context.Context, other func() bool) error {
	err := f.readStore(ctx)
	if err == nil || needsFullRead(err) || errors.Is(err, errRestarted) || ctx.Err() != nil {
		return err
	}
	storeReadErrors(f.opts.Stream).Inc()
	f.markStale(err)
	if other != nil && other() {
		return nil
	}
	return err
}

// readFallbackPeers reads from any daemons what is fresh.
func (f *Follower) readFallbackPeers(ctx context.Context, fresh time.Duration) bool {
	if f.hasNoData() {
		// It has started behind a cut, say: what a peer there goes by is better than no
		// service.
		fresh = anyAge
	}
	return f.readPeer(ctx, f.opts.Spread.fallbackPeers(), fresh)
}

func (f *Follower) hasNoData() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.at.IsZero()
}

// errRestarted ends a read that is to be begun anew.
var errRestarted = errors.New("the read is begun anew")

// Kick ends a read that stays open, for the store may have been away in the meantime
// and may never answer it.
func (f *Follower) Kick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelRead != nil {
		f.cancelRead()
	}
}

func (f *Follower) readStore(ctx context.Context) error {
	f.fromPeer = false
	began := time.Now()
	outer := ctx
	ctx, cancel := context.WithTimeout(ctx, f.opts.Timeout+f.opts.Wait)
	defer cancel()
	kicked, kick := context.WithCancel(ctx)
	defer kick()
	next := f.beginRead(kick)
	defer f.beginRead(nil)
	storeReads(f.opts.Stream).Inc()
	err := f.readFrom(kicked, next, began)
	if err != nil && kicked.Err() != nil && ctx.Err() == nil && outer.Err() == nil {
		return errRestarted
	}
	if err == nil {
		f.markFresh()
	}
	return err
}

// beginRead notes how to end the read that begins, and returns where it begins.
func (f *Follower) beginRead(kick context.CancelFunc) (next int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelRead = kick
	return f.state.next
}

func (f *Follower) markStale(err error) {
	if f.stale {
		return
	}
	f.stale = true
	f.log.WithError(err).Warn("store_lost")
}

func (f *Follower) markFresh() {
	if !f.stale {
		return
	}
	f.stale = false
	f.log.Info("store_regained")
	if f.opts.Regained != nil {
		f.opts.Regained()
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
