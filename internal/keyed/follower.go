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
	Store        platform.Keyed
	Stream       string
	ReadInterval time.Duration // between the starts of two reads
	LongPoll     time.Duration // that a read of the store stays open for a first record
	Timeout      time.Duration // of a read, besides Wait
	// MaxAge is the age up to which what a reader knows is as good as a read of the store: two
	// paces of a reader and the way, and while its reads stay open their wait, during which it
	// hears of no change because there is none.
	MaxAge time.Duration
	// RankOf tells the ranks of values; nil: their places in the stream decide.
	RankOf RankOf
	// Rewritten is how long after the store has come back from an older copy what it has lost is
	// written again, and Doubt when what the copy has is the store's word in any case.
	RewriteTime, DoubtTime time.Duration
	// IsSignificant tells whether others need to know of a key's new value; nil: of each.
	IsSignificant func(before, after []byte) bool
	// Feed reads from other daemons in place of the store; nil: never.
	Feed        *Feed
	PeerTimeout time.Duration // for an answer of a peer, besides PeerHold
	// PeerHold is how long a peer that has nothing new may hold its answer back.
	PeerHold         time.Duration
	PeerReadInterval time.Duration // between the starts of two reads from peers
	// StartupDelay is how long a Follower that knows nothing leaves the store to those whose task
	// it is to read it, for all may have started at once. It ends with Demand, closed when
	// somebody waits for what it is to know; nil: never.
	StartupDelay time.Duration
	Demand       <-chan struct{}
	Apply        func(Batch)
	// OnRegained is called when the store, or a reader of it, has something fresh again; may
	// be nil.
	OnRegained func()
	Log        *logrus.Entry
}

// Follower follows one stream.
type Follower struct {
	opts     Options
	log      *logrus.Entry
	began    time.Time
	away     bool // neither a reader nor the store had anything fresh at the last try
	fromPeer bool // the last read was
	anew     bool // the store is to be read whole
	asked    bool // an answer of the store was taken in
	// untold says that what is known came from a daemon of a release that tells no era of the
	// store: it may be of any, and held up by offsets of a former one.
	untold bool

	mu     sync.Mutex
	copied copied
	packed packed
	kick   context.CancelFunc // ends the read under way
	done   chan struct{}      // closed and replaced with each read that succeeds
}

// New returns a Follower that has read nothing.
func New(o Options) *Follower {
	f := &Follower{opts: o, log: o.Log.WithField("stream", o.Stream), began: time.Now(), done: make(chan struct{})}
	f.copied = newCopied(o.RankOf)
	if o.Feed != nil {
		o.Feed.add(o.Stream, f)
	}
	return f
}

// Pauses after a failed read: short, for the store may be back at once, and
// doubled up to the longest, for all daemons ask it.
const (
	pauseFirst = 60 * time.Millisecond
	pauseMost  = 500 * time.Millisecond
)

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	pause := pauseFirst
	for ctx.Err() == nil {
		began := time.Now()
		err := f.read(ctx)
		switch {
		case err == nil:
			pause = pauseFirst
			pace := f.opts.ReadInterval
			if f.fromPeer {
				pace = f.opts.PeerReadInterval
			}
			wait.For(ctx, pace-time.Since(began))
		case again(err):
			at := f.position()
			f.log.WithError(err).WithFields(logrus.Fields{"offset": at.next, "era": at.era}).Info("stream_trimmed")
			f.restart()
		case errors.Is(err, errKicked):
		case ctx.Err() == nil:
			if f.isNew() {
				pause = newPause
			}
			f.pause(ctx, time.Duration((0.5+rand.Float64())*float64(pause)))
			pause = min(2*pause, pauseMost)
		}
	}
	return nil
}

// again reports whether a read of the store is to be made anew, of all keys.
func again(err error) bool {
	return errors.Is(err, platform.ErrTrimmed) || errors.Is(err, errLaterEra)
}

// pause waits, until somebody begins to wait for what is to be known.
func (f *Follower) pause(ctx context.Context, d time.Duration) {
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
	s := f.opts.Feed
	if s == nil {
		return f.readStoreOr(ctx, nil)
	}
	fresh := f.opts.MaxAge
	if f.isNew() {
		return f.readOne(ctx)
	}
	from := s.sources()
	if f.untold && !f.asked {
		return f.readStoreOr(ctx, func() bool { return f.readPeer(ctx, s.some(), fresh+from.late()) })
	}
	if f.position().alone {
		f.recall(ctx)
	}
	if f.readPeer(ctx, from.before, fresh+from.late()) {
		f.regained()
		return nil
	}
	if f.knowsNothing() && f.readPeer(ctx, s.some(), fresh+from.late()) {
		return nil
	}
	if f.reads(from.reader) {
		return f.readStoreOr(ctx, func() bool { return f.readOthers(ctx, fresh) })
	}
	if !f.knowsNothing() {
		f.lost(errNothingFresh)
	}
	if f.readOthers(ctx, fresh) {
		return nil
	}
	return errNothingFresh
}

// isNew reports whether this daemon has just started, knows nothing, and nobody waits for it.
func (f *Follower) isNew() bool {
	return f.knowsNothing() && time.Since(f.began) < f.opts.StartupDelay && !f.demanded()
}

// newPause is between two questions of a daemon that has just started.
const newPause = 400 * time.Millisecond

// readOne asks one daemon. All may have started together: each that is asked is a
// connection more, and nobody knows anything yet.
func (f *Follower) readOne(ctx context.Context) error {
	one := f.opts.Feed.some()
	if f.readPeer(ctx, one[:min(1, len(one))], anyAge) {
		return nil
	}
	return errNothingFresh
}

// reads reports whether this daemon is to read the store now.
func (f *Follower) reads(reader bool) bool {
	nothing := f.knowsNothing()
	waited := time.Since(f.began)
	if nothing && waited < 2*f.opts.StartupDelay && !f.demanded() {
		return reader
	}
	return reader || nothing || f.opts.Feed.draws()
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
	if err == nil || again(err) || errors.Is(err, errKicked) || ctx.Err() != nil {
		return err
	}
	readErrors(f.opts.Stream).Inc()
	f.lost(err)
	if other != nil && other() {
		return nil
	}
	return err
}

// readOthers reads from any daemons what is fresh.
func (f *Follower) readOthers(ctx context.Context, fresh time.Duration) bool {
	if f.knowsNothing() {
		// It has started behind a cut, say: what a peer there goes by is better than no
		// service.
		fresh = anyAge
	}
	return f.readPeer(ctx, f.opts.Feed.some(), fresh)
}

func (f *Follower) knowsNothing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copied.at.IsZero()
}

// errKicked ends a read that is to be begun anew.
var errKicked = errors.New("the read is begun anew")

// RestartRead ends a read that stays open, for the store may have been away in the meantime
// and may never answer it.
func (f *Follower) RestartRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.kick != nil {
		f.kick()
	}
}

func (f *Follower) readStore(ctx context.Context) error {
	f.fromPeer = false
	began := time.Now()
	outer := ctx
	ctx, cancel := context.WithTimeout(ctx, f.opts.Timeout+f.opts.LongPoll)
	defer cancel()
	kicked, kick := context.WithCancel(ctx)
	defer kick()
	next := f.open(kick)
	defer f.open(nil)
	reads(f.opts.Stream).Inc()
	err := f.readFrom(kicked, next, began)
	if err != nil && kicked.Err() != nil && ctx.Err() == nil && outer.Err() == nil {
		return errKicked
	}
	if err == nil {
		f.regained()
	}
	return err
}

// open notes how to end the read that begins, and returns where it begins.
func (f *Follower) open(kick context.CancelFunc) (next int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kick = kick
	return f.copied.next
}

func (f *Follower) lost(err error) {
	if f.away {
		return
	}
	f.away = true
	f.log.WithError(err).Warn("store_lost")
}

func (f *Follower) regained() {
	if !f.away {
		return
	}
	f.away = false
	f.log.Info("store_regained")
	if f.opts.OnRegained != nil {
		f.opts.OnRegained()
	}
}

func reads(stream string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`buckthorndock_store_reads_total{stream="` + stream + `"}`)
}

func readErrors(stream string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`buckthorndock_store_read_errors_total{stream="` + stream + `"}`)
}

func storeEra(stream string) *metrics.Gauge {
	return metrics.GetOrCreateGauge(`buckthorndock_store_era{stream="`+stream+`"}`, nil)
}
