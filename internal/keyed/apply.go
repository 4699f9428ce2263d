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
	storeOnly bool // see copied
}

func (f *Follower) position() position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return position{f.state.era, f.state.next, f.state.storeOnly}
}

// restart makes the next read of the store one of all keys.
func (f *Follower) restart() { f.readAllNext = true }

// readFrom reads on from an offset, or all keys, and takes in what the store answers.
func (f *Follower) readFrom(ctx context.Context, next int64, began time.Time) error {
	if next < 0 || f.readAllNext {
		return f.readAll(ctx, began)
	}
	page, err := f.opts.Store.Since(ctx, f.opts.Stream, next, f.opts.Wait)
	if err == nil {
		err = f.checkEra(&page)
	}
	if err != nil {
		return err
	}
	f.applyPage(page, began, fromStore)
	f.readFromStore = true
	return nil
}

// checkEra gives the records of an answer of the store their era, and compares it with the present
// one. An answer that tells none counts as one of the present era.
func (f *Follower) checkEra(page *platform.KeyedPage) error {
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
	err = f.checkEra(&page)
	switch {
	case errors.Is(err, errLaterEra), f.hasNoData():
		f.applyEra(page, eraStart{since: began, certain: page.Next}, began, fromStore)
		err = nil
	case err == nil:
		err = f.applyFullPage(page, began, fromStore)
	}
	if err == nil {
		f.readAllNext, f.readFromStore = false, true
	}
	return err
}

// applyPage applies what a page of a host's copy, or of the store, adds.
func (f *Follower) applyPage(page platform.KeyedPage, at time.Time, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fresh := f.state.add(page, f.opts.News)
	f.applyBatch(Batch{Records: fresh, At: at, From: from})
}

// applyBatch applies what a read has brought. The caller holds the lock.
func (f *Follower) applyBatch(b Batch) {
	f.state.at = later(f.state.at, b.At)
	f.opts.Apply(b)
	f.resolve()
	close(f.readDone) // answers the peers that wait for the next read
	f.readDone = make(chan struct{})
}

// applyFullPage applies a page with all keys. A copy that is older than what was read
// before is ignored: it would take back what is known.
func (f *Follower) applyFullPage(page platform.KeyedPage, at time.Time, from string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if page.Next < f.state.endOffset() {
		f.log.WithFields(logrus.Fields{
			"next": page.Next, "known": f.state.endOffset(), "era": page.Era, "from": from,
		}).Info("stream_copy_old")
		return platform.ErrBusy
	}
	f.state.replace(page)
	f.applyBatch(Batch{Whole: true, Records: f.state.currentRecords(), At: at, From: from})
	return nil
}

// eraStart says when an era was first seen, and from which offset on all was written in it.
type eraStart struct {
	since   time.Time
	certain int64
}

// applyEra applies a page with all keys of another era than the known one, or the first page.
func (f *Follower) applyEra(page platform.KeyedPage, start eraStart, at time.Time, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &f.state
	first, was, known := !c.hasRead(), c.era, c.next
	changed := c.enterEra(page, start.since, start.certain)
	storeEra(f.opts.Stream).Set(float64(c.era))
	if first {
		c.storeOnly = from == fromStore
		f.applyBatch(Batch{Whole: true, Records: c.currentRecords(), At: at, From: from})
		return
	}
	f.log.WithFields(logrus.Fields{
		"era": c.era, "was": was, "next": c.next, "known": known, "from": from, "age_ms": time.Since(start.since).Milliseconds(),
		"changed": len(changed), "missing": len(c.unresolved.missing), "doubtful": len(c.unresolved.doubtful),
	}).Info("store_era")
	f.applyBatch(Batch{Records: changed, At: at, From: from})
}

// applyEarlier applies what a peer knows from before the present era, or from an earlier time in
// it: no read of the present state, but it may know what the store has lost.
func (f *Follower) applyEarlier(records []platform.KeyedRecord, era int64, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.state.mergePeer(records, f.opts.Rewritten)
	if len(changed) == 0 {
		return
	}
	f.log.WithFields(logrus.Fields{"era": f.state.era, "of": era, "from": from, "changed": len(changed)}).Info("store_era_recalled")
	f.opts.Apply(Batch{Records: changed, At: f.state.at, From: from})
}

// resolve applies what is certain by now of what the store's era had left open. The caller holds
// the lock.
func (f *Follower) resolve() {
	changed := f.state.resolve(f.opts.Rewritten, f.opts.Doubt)
	if len(changed) == 0 {
		return
	}
	f.log.WithFields(logrus.Fields{"era": f.state.era, "changed": len(changed)}).Info("store_era_settled")
	f.opts.Apply(Batch{Records: changed, At: f.state.at})
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
