package quarantine

import (
	"slices"
	"time"
)

// weigh reports whether one of a fingerprint's settled records proves it the
// cause, and whether all of them are settled.
func (t *Tracker) weigh(rs []*record, now time.Time) (proved, settled bool) {
	settled = true
	for _, r := range rs {
		if now.Sub(r.at) < t.opts.SettleAfter {
			settled = false
			continue
		}
		if r.open == 1 { // it is not cleared itself, so it is the one
			proved = true
		}
	}
	return proved, settled
}

// addRecord adds fingerprints to the record of a death.
func (t *Tracker) addRecord(id RecordID, at time.Time, ran []uint64) *record {
	r := t.records[id]
	if r == nil {
		t.makeRoom()
		r = &record{at: at, cleared: make(map[uint64]bool), tried: make(map[uint64]bool), own: make(map[uint64]bool)}
		t.records[id] = r
	}
	for _, fingerprint := range ran {
		if _, ok := r.cleared[fingerprint]; ok {
			continue
		}
		r.cleared[fingerprint] = false
		r.open++
		t.of[fingerprint] = append(t.of[fingerprint], r)
		t.version++
	}
	return r
}

// tryIn notes whether a fingerprint of a record ran under trial.
func (t *Tracker) tryIn(r *record, fingerprint uint64, trial bool) {
	if trial && !r.tried[fingerprint] {
		r.tried[fingerprint] = true
		t.version++
	}
}

// clear takes a fingerprint out of all records.
func (t *Tracker) clear(fingerprint uint64) {
	for _, r := range t.of[fingerprint] {
		r.cleared[fingerprint] = true
		r.open--
	}
	delete(t.of, fingerprint)
}

// clearIn takes a fingerprint out of one record.
func (t *Tracker) clearIn(r *record, fingerprint uint64) {
	if cleared, ok := r.cleared[fingerprint]; !ok || cleared {
		r.cleared[fingerprint] = true
		return
	}
	r.cleared[fingerprint] = true
	r.open--
	t.version++
	t.unlink(r, fingerprint)
}

func (t *Tracker) unlink(r *record, fingerprint uint64) {
	rs := slices.DeleteFunc(t.of[fingerprint], func(o *record) bool { return o == r })
	if len(rs) == 0 {
		delete(t.of, fingerprint)
		return
	}
	t.of[fingerprint] = rs
}

func (t *Tracker) dropRecord(id RecordID) {
	r := t.records[id]
	delete(t.records, id)
	for fingerprint, cleared := range r.cleared {
		if !cleared {
			t.unlink(r, fingerprint)
		}
	}
	t.version++
}

// makeRoom drops the oldest record when there are too many.
func (t *Tracker) makeRoom() {
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

// expireEvery keeps expire from looking at all evidence on each call.
const expireEvery = time.Second

// expire forgets evidence and refusals that are over.
func (t *Tracker) expire(now time.Time) {
	if now.Sub(t.expired) < expireEvery {
		return
	}
	t.expired = now
	for id, r := range t.records {
		if now.Sub(r.at) >= t.opts.QuarantineTime {
			t.dropRecord(id)
		}
	}
	for fingerprint, until := range t.refused {
		if !now.Before(until) {
			t.absolve(fingerprint)
		}
	}
	t.expireTrials(now)
	for engine, runs := range t.broken {
		if now.Sub(runs[len(runs)-1].at) >= brokenFor {
			delete(t.broken, engine)
		}
	}
}

// absolve ends a refusal. The evidence that led to it has been used up: it would
// only lead to the same refusal again.
func (t *Tracker) absolve(fingerprint uint64) {
	delete(t.refused, fingerprint)
	t.version++
	for _, r := range slices.Clone(t.of[fingerprint]) {
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
		t.absolve(fingerprint)
		return false
	}
	return ok
}

func (t *Tracker) refuse(fingerprint uint64, until time.Time) {
	t.refused[fingerprint] = until
	t.version++
}
