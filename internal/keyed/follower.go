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
}

// Options configure a Follower. All durations must be positive but Wait.
type Options struct {
	Store   platform.Keyed
	Stream  string
	Pace    time.Duration // between the starts of two reads
	Wait    time.Duration // that a read of the store stays open for a first record
	Timeout time.Duration // of a read, besides Wait
	// Spread reads from other daemons in place of the store; nil: never.
	Spread   *Spread
	PeerWait time.Duration // for an answer of a peer
	Apply    func(Batch)
	// Regained is called when the store, or a reader of it, has something fresh again; may
	// be nil.
	Regained func()
	Log      *logrus.Entry
}

// Follower follows one stream.
type Follower struct {
	opts Options
	log  *logrus.Entry
	away bool // neither a reader nor the store had anything fresh at the last try

	mu     sync.Mutex
	copied copied
	packed packed
	kick   context.CancelFunc // ends the read under way
}

// New returns a Follower that has read nothing.
func New(o Options) *Follower {
	f := &Follower{opts: o, log: o.Log.WithField("stream", o.Stream)}
	f.copied = copied{next: -1, records: map[string]platform.KeyedRecord{}}
	if o.Spread != nil {
		o.Spread.add(o.Stream, f)
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
			wait.For(ctx, f.opts.Pace-time.Since(began))
		case errors.Is(err, platform.ErrTrimmed):
			f.log.Info("stream_trimmed")
			f.restart()
		case errors.Is(err, errKicked):
		case ctx.Err() == nil:
			wait.For(ctx, time.Duration((0.5+rand.Float64())*float64(pause)))
			pause = min(2*pause, pauseMost)
		}
	}
	return nil
}

// errNothingFresh: the daemons that read the store for all have nothing fresh.
var errNothingFresh = errors.New("no daemon that was asked has read the store of late")

// read reads once: from the daemons whose task it is to read the store, then from the store
// where it is the task of this one, and else from any others.
func (f *Follower) read(ctx context.Context) error {
	s := f.opts.Spread
	fresh := mostAge + f.opts.Wait
	err := errNothingFresh
	reads := s == nil
	if !reads {
		before, next := s.readers()
		if f.readPeer(ctx, before, fresh) {
			f.regained()
			return nil
		}
		reads = next || f.knowsNothing() || s.draws()
	}
	if reads {
		err = f.readStore(ctx)
		if err == nil || errors.Is(err, platform.ErrTrimmed) || errors.Is(err, errKicked) || ctx.Err() != nil {
			return err
		}
		readErrors(f.opts.Stream).Inc()
	}
	f.lost(err)
	if s == nil {
		return err
	}
	if f.knowsNothing() {
		// It has started behind a cut, say: what a peer there goes by is better than no
		// service.
		fresh = anyAge
	}
	if f.readPeer(ctx, s.some(), fresh) {
		return nil
	}
	return err
}

func (f *Follower) knowsNothing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copied.at.IsZero()
}

// errKicked ends a read that is to be begun anew.
var errKicked = errors.New("the read is begun anew")

// Kick ends a read that stays open, for the store may have been away in the meantime
// and may never answer it.
func (f *Follower) Kick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.kick != nil {
		f.kick()
	}
}

func (f *Follower) readStore(ctx context.Context) error {
	began := time.Now()
	outer := ctx
	ctx, cancel := context.WithTimeout(ctx, f.opts.Timeout+f.opts.Wait)
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

func (f *Follower) readFrom(ctx context.Context, next int64, began time.Time) error {
	if next < 0 {
		page, err := f.opts.Store.Newest(ctx, f.opts.Stream)
		if err != nil {
			return err
		}
		return f.takeWhole(page, began)
	}
	page, err := f.opts.Store.Since(ctx, f.opts.Stream, next, f.opts.Wait)
	if err != nil {
		return err
	}
	f.take(page, began)
	return nil
}

// take applies what a page adds.
func (f *Follower) take(page platform.KeyedPage, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fresh := f.copied.add(page)
	f.copied.at = later(f.copied.at, at)
	f.opts.Apply(Batch{Records: fresh, At: at})
}

// takeWhole applies a page with all keys. A copy that is older than what was read
// before is ignored: it would take back what is known.
func (f *Follower) takeWhole(page platform.KeyedPage, at time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if page.Next < f.copied.newest() {
		f.log.WithFields(logrus.Fields{"next": page.Next, "known": f.copied.newest()}).Info("stream_copy_old")
		return platform.ErrBusy
	}
	f.copied.replace(page)
	f.copied.at = later(f.copied.at, at)
	f.opts.Apply(Batch{Whole: true, Records: page.Records, At: at})
	return nil
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// restart makes the next read one of all keys.
func (f *Follower) restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copied.next = -1
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
	if f.opts.Regained != nil {
		f.opts.Regained()
	}
}

func reads(stream string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`buckthorndock_store_reads_total{stream="` + stream + `"}`)
}

func readErrors(stream string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`buckthorndock_store_read_errors_total{stream="` + stream + `"}`)
}
