package keyed

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/platform"
)

var (
	// errLaterEra: offsets of the former era say nothing in the present one, so all is read anew.
	errLaterEra = errors.New("the store answers in a later era")
	// errEarlierEra: an answer that was under way while the store was restored, say.
	errEarlierEra = errors.New("the store answers in an earlier era")
)

// fromStore is the Batch.From of what was read from the store itself.
const fromStore = ""

// position is what a reader goes by.
type position struct {
	era, next int64
	alone     bool // see copied
}

func (f *Follower) position() position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return position{f.copied.era, f.copied.next, f.copied.alone}
}

// restart makes the next read of the store one of all keys.
func (f *Follower) restart() { f.anew = true }

// readFrom reads on from an offset, or all keys, and takes in what the store answers.
func (f *Follower) readFrom(ctx context.Context, next int64, began time.Time) error {
	if next < 0 || f.anew {
		return f.readAll(ctx, began)
	}
	page, err := f.opts.Store.Since(ctx, f.opts.Stream, next, f.opts.LongPoll)
	if err == nil {
		err = f.date(&page)
	}
	if err != nil {
		return err
	}
	f.take(page, began, fromStore)
	f.asked = true
	return nil
}

// date gives the records of an answer of the store their era, and compares it with the present
// one. An answer that tells none counts as one of the present era.
func (f *Follower) date(page *platform.KeyedPage) error {
	present := f.position().era
	if page.Era == platform.NoEra {
		page.Era = present
	}
	for i := range page.Records {
		page.Records[i].Era = page.Era
	}
	switch {
	case page.Era > present:
		return errLaterEra
	case page.Era < present:
		return errEarlierEra
	}
	return nil
}

// readAll reads all keys.
func (f *Follower) readAll(ctx context.Context, began time.Time) error {
	page, err := f.opts.Store.Newest(ctx, f.opts.Stream)
	if err != nil {
		return err
	}
	err = f.date(&page)
	switch {
	case errors.Is(err, errLaterEra), f.knowsNothing():
		f.takeEra(page, eraStart{since: began, certain: page.NextOffset}, began, fromStore)
		err = nil
	case err == nil:
		err = f.takeWhole(page, began, fromStore)
	}
	if err == nil {
		f.anew, f.asked = false, true
	}
	return err
}

// take applies what a page of a host's copy, or of the store, adds.
func (f *Follower) take(page platform.KeyedPage, at time.Time, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fresh := f.copied.add(page, f.opts.IsSignificant)
	f.taken(Batch{Records: fresh, At: at, From: from})
}

// taken applies what a read has brought. The caller holds the lock.
func (f *Follower) taken(b Batch) {
	f.copied.at = later(f.copied.at, b.At)
	f.opts.Apply(b)
	f.settle()
	close(f.done) // answers the peers that wait for the next read
	f.done = make(chan struct{})
}

// takeWhole applies a page with all keys. A copy that is older than what was read
// before is ignored: it would take back what is known.
func (f *Follower) takeWhole(page platform.KeyedPage, at time.Time, from string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if page.NextOffset < f.copied.newest() {
		f.log.WithFields(logrus.Fields{
			"next": page.NextOffset, "known": f.copied.newest(), "era": page.Era, "from": from,
		}).Info("stream_copy_old")
		return platform.ErrBusy
	}
	f.copied.replace(page)
	f.taken(Batch{Whole: true, Records: f.copied.present(), At: at, From: from})
	return nil
}

// eraStart says when an era was first seen, and from which offset on all was written in it.
type eraStart struct {
	since   time.Time
	certain int64
}

// takeEra applies a page with all keys of another era than the known one, or the first page.
func (f *Follower) takeEra(page platform.KeyedPage, start eraStart, at time.Time, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &f.copied
	first, was, known := !c.knows(), c.era, c.next
	changed := c.enter(page, start.since, start.certain)
	storeEra(f.opts.Stream).Set(float64(c.era))
	if first {
		c.alone = from == fromStore
		f.taken(Batch{Whole: true, Records: c.present(), At: at, From: from})
		return
	}
	f.log.WithFields(logrus.Fields{
		"era": c.era, "was": was, "next": c.next, "known": known, "from": from, "age_ms": time.Since(start.since).Milliseconds(),
		"changed": len(changed), "missing": len(c.doubts.missing), "doubtful": len(c.doubts.older),
	}).Info("store_era")
	f.taken(Batch{Records: changed, At: at, From: from})
}

// takeEarlier applies what a peer knows from before the present era, or from an earlier time in
// it: no read of the present state, but it may know what the store has lost.
func (f *Follower) takeEarlier(records []platform.KeyedRecord, era int64, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.copied.merge(records, f.opts.RewriteTime)
	if len(changed) == 0 {
		return
	}
	f.log.WithFields(logrus.Fields{"era": f.copied.era, "of": era, "from": from, "changed": len(changed)}).Info("store_era_recalled")
	f.opts.Apply(Batch{Records: changed, At: f.copied.at, From: from})
}

// settle applies what is certain by now of what the store's era had left open. The caller holds
// the lock.
func (f *Follower) settle() {
	changed := f.copied.settle(f.opts.RewriteTime, f.opts.DoubtTime)
	if len(changed) == 0 {
		return
	}
	f.log.WithFields(logrus.Fields{"era": f.copied.era, "changed": len(changed)}).Info("store_era_settled")
	f.opts.Apply(Batch{Records: changed, At: f.copied.at})
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
