// Package keyed follows a keyed stream of the platform's store: the newest record of
// each key first, then all that comes, with what was trimmed, lost or read from an
// old copy set right.
package keyed

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/platform"
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
	Wait    time.Duration // that a read stays open for a first record
	Timeout time.Duration // of a read, besides Wait
	// Skip reports that no read is needed now, for others have told what there is.
	Skip  func() bool
	Apply func(Batch)
	Log   *logrus.Entry
}

// Follower follows one stream.
type Follower struct {
	opts Options
	log  *logrus.Entry
	next int64
	seen map[string]int64 // newest offset of each key
	away bool
}

// New returns a Follower that has read nothing.
func New(o Options) *Follower {
	return &Follower{opts: o, log: o.Log.WithField("stream", o.Stream), next: -1, seen: map[string]int64{}}
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
		if f.next >= 0 && f.opts.Skip != nil && f.opts.Skip() {
			rest(ctx, f.opts.Pace)
			continue
		}
		err := f.read(ctx)
		switch {
		case err == nil:
			f.regained()
			pause = pauseFirst
			rest(ctx, f.opts.Pace-time.Since(began))
		case errors.Is(err, platform.ErrTrimmed):
			f.log.WithField("from", f.next).Info("stream_trimmed")
			f.next = -1
		case ctx.Err() == nil:
			f.lost(err)
			rest(ctx, time.Duration((0.5+rand.Float64())*float64(pause)))
			pause = min(2*pause, pauseMost)
		}
	}
	return nil
}

func (f *Follower) read(ctx context.Context) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, f.opts.Timeout+f.opts.Wait)
	defer cancel()
	count(f.opts.Stream)
	if f.next < 0 {
		return f.readNewest(ctx, began)
	}
	page, err := f.opts.Store.Since(ctx, f.opts.Stream, f.next, f.opts.Wait)
	if err != nil {
		return err
	}
	f.next = max(f.next, page.Next)
	f.opts.Apply(Batch{Records: f.fresh(page.Records), At: began})
	return nil
}

// readNewest reads all keys. A copy that is older than what was read before is
// ignored: it would take back what is known.
func (f *Follower) readNewest(ctx context.Context, began time.Time) error {
	page, err := f.opts.Store.Newest(ctx, f.opts.Stream)
	if err != nil {
		return err
	}
	if page.Next < f.newest() {
		f.log.WithFields(logrus.Fields{"next": page.Next, "known": f.newest()}).Info("stream_copy_old")
		return platform.ErrBusy
	}
	f.next = page.Next
	f.fresh(page.Records)
	f.opts.Apply(Batch{Whole: true, Records: page.Records, At: began})
	return nil
}

func (f *Follower) newest() int64 {
	most := int64(0)
	for _, offset := range f.seen {
		most = max(most, offset+1)
	}
	return most
}

// fresh returns the records that are newer than what is known of their keys.
func (f *Follower) fresh(records []platform.KeyedRecord) []platform.KeyedRecord {
	kept := make([]platform.KeyedRecord, 0, len(records))
	for _, r := range records {
		if last, known := f.seen[r.Key]; known && r.Offset <= last {
			continue
		}
		f.seen[r.Key] = r.Offset
		kept = append(kept, r)
	}
	return kept
}

func (f *Follower) lost(err error) {
	metrics.GetOrCreateCounter(`buckthorndock_store_read_errors_total{stream="` + f.opts.Stream + `"}`).Inc()
	if f.away {
		return
	}
	f.away = true
	f.log.WithError(err).WithField("next", f.next).Warn("store_lost")
}

func (f *Follower) regained() {
	if !f.away {
		return
	}
	f.away = false
	f.log.WithField("next", f.next).Info("store_regained")
}

func count(stream string) {
	metrics.GetOrCreateCounter(`buckthorndock_store_reads_total{stream="` + stream + `"}`).Inc()
}

func rest(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
