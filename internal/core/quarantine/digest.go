package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Digest is a host's evidence as sent to its peers. It holds ages and remaining
// durations instead of times, because clocks differ.
type Digest struct {
	Host    string
	Records []RecordDigest
	Refused []RefusedDigest
	Holds   []Hold
	Trials  []Trial
}

// RecordDigest is the evidence of one death.
type RecordDigest struct {
	ID      RecordID
	Age     time.Duration
	Open    []uint64 // fingerprints that may have caused it
	Cleared []uint64 // fingerprints that completed afterwards
	Tried   []uint64 // those of Open and Cleared that ran under trial

	Works      []WorkDigest // those of Open and Cleared whose answers had not begun
	BegunParts []uint64     // parts of prompts of which an answer has begun, before or afterwards
}

// WorkDigest names the parts of a work's prompt that may have caused a death.
type WorkDigest struct {
	Fingerprint uint64
	Parts       []uint64
}

// RefusedDigest is one refused fingerprint.
type RefusedDigest struct {
	Fingerprint uint64
	Left        time.Duration // until the refusal ends
	// Derived says that the refusal follows from trials and records. Hosts of this release
	// derive it themselves; hosts of earlier releases store it like the others.
	Derived bool
}

// Hold records that a fingerprint that is not clear runs on an engine.
type Hold struct {
	Engine      string
	Fingerprint uint64
	Standing    Standing
}

// Version returns a counter that changes when there is new evidence to share.
func (t *Tracker) Version() uint64 { return t.version }

// Digest returns all evidence that this host holds, its own and that of its peers.
func (t *Tracker) Digest(now time.Time) Digest {
	d := Digest{Host: t.opts.Host}
	for id, r := range t.records {
		rd := RecordDigest{ID: id, Age: now.Sub(r.at)}
		for fingerprint, cleared := range r.cleared {
			if cleared {
				rd.Cleared = append(rd.Cleared, fingerprint)
			} else {
				rd.Open = append(rd.Open, fingerprint)
			}
		}
		rd.Tried = slices.Collect(maps.Keys(r.tried))
		rd.setParts(r, r.works)
		rd.sort()
		d.Records = append(d.Records, rd)
	}
	d.Trials = t.digestTrials(now)
	for fingerprint, until := range t.refused {
		if now.Before(until) {
			d.Refused = append(d.Refused, RefusedDigest{Fingerprint: fingerprint, Left: until.Sub(now)})
		}
	}
	d.Refused = append(d.Refused, t.derivedRefusals(now)...)
	for _, r := range t.runs {
		if s := t.Standing(r.Work, now); s != Clear {
			d.Holds = append(d.Holds, Hold{r.engine, r.Fingerprint, s})
		}
	}
	d.sort()
	return d
}

// derivedRefusals returns the refusals that follow from trials.
func (t *Tracker) derivedRefusals(now time.Time) []RefusedDigest {
	var all []RefusedDigest
	for fingerprint := range t.trialsOf {
		if _, stored := t.refused[fingerprint]; stored {
			continue
		}
		if left := t.fingerprintRefusedFor(fingerprint, now); left > 0 {
			all = append(all, RefusedDigest{Fingerprint: fingerprint, Left: left, Derived: true})
		}
	}
	return all
}

// OwnRecords returns the records of deaths that this host observed itself. Without ages, which are
// zero where aged is false, the result changes only with the evidence.
func (t *Tracker) OwnRecords(now time.Time, aged bool) []RecordDigest {
	d := Digest{}
	for id, r := range t.records {
		rd := RecordDigest{ID: id}
		if aged {
			rd.Age = now.Sub(r.at)
		}
		for fingerprint := range r.own {
			if r.cleared[fingerprint] {
				rd.Cleared = append(rd.Cleared, fingerprint)
			} else {
				rd.Open = append(rd.Open, fingerprint)
			}
			if r.tried[fingerprint] {
				rd.Tried = append(rd.Tried, fingerprint)
			}
		}
		if len(r.own) > 0 {
			own := maps.Clone(r.works)
			maps.DeleteFunc(own, func(fingerprint uint64, _ []uint64) bool { return !r.own[fingerprint] })
			rd.setParts(r, own)
			rd.sort()
			d.Records = append(d.Records, rd)
		}
	}
	d.sort()
	return d.Records
}

// RestoreOwnRecords adds the own records of an earlier incarnation of this host.
func (t *Tracker) RestoreOwnRecords(records []RecordDigest, now time.Time) {
	t.Merge(Digest{Records: records}, now)
	for _, rd := range records {
		r := t.records[rd.ID]
		if r == nil {
			continue
		}
		for _, fingerprint := range slices.Concat(rd.Open, rd.Cleared) {
			r.own[fingerprint] = true
		}
	}
}

// setParts sets the parts of the given works of a record, and those that are cleared in it.
func (rd *RecordDigest) setParts(r *record, works map[uint64][]uint64) {
	for fingerprint, parts := range works {
		rd.Works = append(rd.Works, WorkDigest{fingerprint, slices.Clone(parts)})
	}
	for part, begun := range r.parts {
		if begun {
			rd.BegunParts = append(rd.BegunParts, part)
		}
	}
}

func (rd *RecordDigest) sort() {
	slices.SortFunc(rd.Works, func(a, b WorkDigest) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	for i := range rd.Works {
		slices.Sort(rd.Works[i].Parts)
	}
	slices.Sort(rd.BegunParts)
	slices.Sort(rd.Open)
	slices.Sort(rd.Cleared)
	slices.Sort(rd.Tried)
}

func (d *Digest) sort() {
	slices.SortFunc(d.Records, func(a, b RecordDigest) int {
		return cmp.Or(cmp.Compare(a.ID.Engine, b.ID.Engine), cmp.Compare(a.ID.Incarnation, b.ID.Incarnation))
	})
	slices.SortFunc(d.Refused, func(a, b RefusedDigest) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	slices.SortFunc(d.Holds, func(a, b Hold) int {
		return cmp.Or(cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
}

// Merge adds a peer's digest. Records are united: merging is commutative and may
// be repeated. A known refusal is not prolonged.
func (t *Tracker) Merge(d Digest, now time.Time) {
	for _, rd := range d.Records {
		t.mergeRecord(rd, now)
	}
	for _, r := range d.Refused {
		if !r.Derived && !t.isRefused(r.Fingerprint, now) && r.Left > 0 {
			t.refuse(r.Fingerprint, now.Add(min(r.Left, t.opts.QuarantineTime)))
		}
	}
	for _, received := range d.Trials {
		t.mergeTrial(received, now)
	}
	if d.Host == "" || d.Host == t.opts.Host {
		return
	}
	t.peerHolds[d.Host] = d.Holds
	if len(d.Holds) == 0 {
		delete(t.peerHolds, d.Host)
	}
}

func (t *Tracker) mergeRecord(rd RecordDigest, now time.Time) {
	if rd.Age >= t.opts.QuarantineTime || len(rd.Open)+len(rd.Cleared) == 0 {
		return
	}
	t.addRecord(rd.ID, now.Add(-max(rd.Age, 0)), rd.Open)
	r := t.records[rd.ID]
	for _, fingerprint := range rd.Cleared {
		t.clearFromRecord(r, fingerprint)
	}
	for _, fingerprint := range rd.Tried {
		t.markTried(r, fingerprint, true)
	}
	for _, part := range rd.BegunParts {
		t.clearPart(r, part)
	}
	for _, w := range rd.Works {
		t.addParts(r, w.Fingerprint, w.Parts)
	}
}

// ForgetHost drops the holds of a peer that has left or is silent.
func (t *Tracker) ForgetHost(host string) { delete(t.peerHolds, host) }
