package quarantine

import (
	"slices"
	"time"
)

// evaluateRecords reports whether one of a fingerprint's settled records proves
// that it caused the death, and whether all of its records are settled.
func (t *Tracker) evaluateRecords(rs []*record, now time.Time) (proved, settled bool) {
	settled = true
	for _, r := range rs {
		if now.Sub(r.at) < t.opts.SettleAfter {
			settled = false
			continue
		}
		if r.openCount == 1 { // rs holds only records in which the fingerprint is not cleared
			proved = true
		}
	}
	return proved, settled
}

// addRecord adds fingerprints to the record of a death and creates it if needed.
func (t *Tracker) addRecord(id RecordID, at time.Time, ran []uint64) *record {
	r := t.records[id]
	if r == nil {
		t.evictOldestRecord()
		r = &record{
			at: at, cleared: make(map[uint64]bool), tried: make(map[uint64]bool), own: make(map[uint64]bool),
			works: make(map[uint64][]uint64), parts: make(map[uint64]bool),
		}
		t.records[id] = r
	}
	for _, fingerprint := range ran {
		if _, ok := r.cleared[fingerprint]; ok {
			continue
		}
		r.cleared[fingerprint] = false
		r.openCount++
		t.openRecords[fingerprint] = append(t.openRecords[fingerprint], r)
		t.version++
	}
	return r
}

// markTried marks a fingerprint of a record as run under trial if trial is true.
func (t *Tracker) markTried(r *record, fingerprint uint64, trial bool) {
	if trial && !r.tried[fingerprint] {
		r.tried[fingerprint] = true
		t.version++
	}
}

// clearFromAll clears a fingerprint from all records.
func (t *Tracker) clearFromAll(fingerprint uint64) {
	for _, r := range t.openRecords[fingerprint] {
		r.cleared[fingerprint] = true
		r.openCount--
	}
	delete(t.openRecords, fingerprint)
}

// clearFromRecord clears a fingerprint from one record.
func (t *Tracker) clearFromRecord(r *record, fingerprint uint64) {
	cleared, ok := r.cleared[fingerprint]
	if cleared {
		return
	}
	r.cleared[fingerprint] = true
	t.version++
	if ok {
		r.openCount--
		unlink(t.openRecords, fingerprint, r)
	}
}

// unlink removes a record from an index by fingerprint or by part.
func unlink(index map[uint64][]*record, key uint64, r *record) {
	rs := slices.DeleteFunc(index[key], func(o *record) bool { return o == r })
	if len(rs) == 0 {
		delete(index, key)
		return
	}
	index[key] = rs
}

func (t *Tracker) dropRecord(id RecordID) {
	r := t.records[id]
	delete(t.records, id)
	for fingerprint, cleared := range r.cleared {
		if !cleared {
			unlink(t.openRecords, fingerprint, r)
		}
	}
	for part, cleared := range r.parts {
		if !cleared {
			unlink(t.openParts, part, r)
		}
	}
	t.version++
}

// evictOldestRecord drops the oldest record when MaxRecords are kept.
func (t *Tracker) evictOldestRecord() {
	if len(t.records) < t.opts.MaxRecords {
		return
	}
	var oldest RecordID
	var at time.Time
	for id, r := range t.records {
		if at.IsZero() || r.at.Before(at) {
			oldest, at = id, r.at
		}
	}
	t.dropRecord(oldest)
}

// expireEvery limits how often expire scans all evidence.
const expireEvery = time.Second

// expire drops expired evidence, refusals, trials and broken runs.
func (t *Tracker) expire(now time.Time) {
	if now.Sub(t.lastExpiry) < expireEvery {
		return
	}
	t.lastExpiry = now
	for id, r := range t.records {
		if now.Sub(r.at) >= t.opts.QuarantineTime {
			t.dropRecord(id)
		}
	}
	for fingerprint, until := range t.refused {
		if !now.Before(until) {
			t.endRefusal(fingerprint)
		}
	}
	t.expireTrials(now)
	for engine, runs := range t.brokenRuns {
		if now.Sub(runs[len(runs)-1].at) >= brokenRunTTL {
			delete(t.brokenRuns, engine)
		}
	}
}

// endRefusal ends a refusal and drops the records that led to it, which would
// only lead to the same refusal again.
func (t *Tracker) endRefusal(fingerprint uint64) {
	delete(t.refused, fingerprint)
	t.version++
	for _, r := range slices.Clone(t.openRecords[fingerprint]) {
		for id, o := range t.records {
			if o == r {
				t.dropRecord(id)
			}
		}
	}
}

func (t *Tracker) isRefused(fingerprint uint64, now time.Time) bool {
	until, ok := t.refused[fingerprint]
	if ok && !now.Before(until) {
		t.endRefusal(fingerprint)
		return false
	}
	return ok
}

func (t *Tracker) refuse(fingerprint uint64, until time.Time) {
	t.refused[fingerprint] = until
	t.version++
}
