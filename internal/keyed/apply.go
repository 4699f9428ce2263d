package keyed

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/platform"
)

var (
	// errLaterEra requires a read of all keys: offsets of the former era are invalid in the new one.
	errLaterEra = errors.New("the store answers in a later era")
	// errEarlierEra is returned for an answer that was in progress while the store was restored.
	errEarlierEra = errors.New("the store answers in an earlier era")
)

// fromStore is the Batch.From of reads of the store itself.
const fromStore = ""

// position has the fields of the streamState that decide what to read next.
type position struct {
	era, next int64
	storeOnly bool
}

func (f *Follower) position() position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return position{f.state.era, f.state.next, f.state.storeOnly}
}

// requestFullRead makes the next read of the store request all keys.
func (f *Follower) requestFullRead() { f.readAllNext = true }

// applyStore applies an answer of the store.
func (f *Follower) applyStore(a storeAnswer) error {
	if a.err != nil {
		return a.err
	}
	if a.all {
		return f.applyAll(a.page, a.began)
	}
	if err := f.checkEra(&a.page); err != nil {
		return err
	}
	f.applyPage(a.page, a.began, fromStore)
	f.readFromStore = true
	return nil
}

// checkEra sets the era of the records of an answer of the store and compares it with the current
// one: it returns errLaterEra or errEarlierEra if it differs. An answer without an era counts as
// one of the current era.
func (f *Follower) checkEra(page *platform.KeyedPage) error {
	current := f.position().era
	if page.Era == platform.NoEra {
		page.Era = current
	}
	for i := range page.Records {
		page.Records[i].Era = page.Era
	}
	switch {
	case page.Era > current:
		return errLaterEra
	case page.Era < current:
		return errEarlierEra
	}
	return nil
}

// applyAll applies an answer of the store with all keys.
func (f *Follower) applyAll(page platform.KeyedPage, began time.Time) error {
	err := f.checkEra(&page)
	switch {
	case errors.Is(err, errLaterEra), f.hasNoData():
		f.applyEra(page, eraStart{since: began, certain: page.NextOffset}, began, fromStore)
		err = nil
	case err == nil:
		err = f.applyFullPage(page, began, fromStore)
	}
	if err == nil {
		f.readAllNext, f.readFromStore = false, true
	}
	return err
}

// applyPage applies a page of a host's copy, or of the store, to the current era.
func (f *Follower) applyPage(page platform.KeyedPage, at time.Time, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fresh := f.state.add(page, f.opts.IsSignificant)
	f.applyBatch(Batch{Records: fresh, At: at, From: from})
}

// applyBatch passes the result of a read to Options.Apply. The caller holds the lock.
func (f *Follower) applyBatch(b Batch) {
	f.oldest = time.Since(f.state.at)
	f.state.at = later(f.state.at, b.At)
	f.source = b.From
	f.lineage = f.offered
	if b.From == fromStore {
		f.lineage = f.storeLineage()
	}
	// This daemon may have been cut off from the store and from those whom it answers.
	b.OutageAt, b.OutageKnown = later(f.lineage.outageAt, f.outage.last()), f.lineage.known
	f.opts.Apply(b)
	f.resolve()
	f.watchAge()
	close(f.readDone) // answers the held requests of peers
	f.readDone = make(chan struct{})
}

// applyFullPage applies a page with all keys. It returns platform.ErrBusy for one that is older
// than the known records, because it would replace newer records with older ones.
func (f *Follower) applyFullPage(page platform.KeyedPage, at time.Time, from string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if page.NextOffset < f.state.endOffset() {
		f.log.WithFields(logrus.Fields{
			"next": page.NextOffset, "known": f.state.endOffset(), "era": page.Era, "from": from,
		}).Info("stream_copy_outdated")
		return platform.ErrBusy
	}
	f.state.replace(page)
	f.applyBatch(Batch{Whole: true, Records: f.state.currentRecords(), At: at, From: from})
	return nil
}

// eraStart describes the start of an era.
type eraStart struct {
	since   time.Time // when the era was first seen
	certain int64     // records from this offset on were certainly written in it
}

// applyEra applies a page with all keys of a later era, or the first page of all.
func (f *Follower) applyEra(page platform.KeyedPage, start eraStart, at time.Time, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &f.state
	first, formerEra, formerNext := !s.hasRead(), s.era, s.next
	changed := s.enterEra(page, start.since, start.certain)
	storeEra(f.opts.Stream).Set(float64(s.era))
	if first {
		s.storeOnly = from == fromStore
		f.applyBatch(Batch{Whole: true, Records: s.currentRecords(), At: at, From: from})
		return
	}
	f.log.WithFields(logrus.Fields{
		"era": s.era, "was": formerEra, "next": s.next, "known": formerNext, "from": from, "age_ms": time.Since(start.since).Milliseconds(),
		"changed": len(changed), "missing": len(s.unresolved.missing), "doubtful": len(s.unresolved.doubtful),
	}).Info("store_era_changed")
	f.applyBatch(Batch{Records: changed, At: at, From: from})
}

// applyEarlier merges a peer's records of an earlier era, or of an earlier time in the current
// one. They do not count as a read of the current state, but may include what the store has lost.
func (f *Follower) applyEarlier(records []platform.KeyedRecord, era int64, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.state.mergePeerRecords(records, f.opts.RewriteTime)
	if len(changed) == 0 {
		return
	}
	f.log.WithFields(logrus.Fields{"era": f.state.era, "of": era, "from": from, "changed": len(changed)}).Info("store_era_merged")
	f.opts.Apply(Batch{Records: changed, At: f.state.at, From: from})
}

// resolve passes the records that have become certain by now to Options.Apply. The caller holds
// the lock.
func (f *Follower) resolve() {
	changed := f.state.resolve(f.opts.RewriteTime, f.opts.DoubtTime)
	if len(changed) == 0 {
		return
	}
	f.log.WithFields(logrus.Fields{"era": f.state.era, "changed": len(changed)}).Info("store_era_resolved")
	f.opts.Apply(Batch{Records: changed, At: f.state.at})
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
