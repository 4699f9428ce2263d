package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of the evidence against one part of prompts.
const (
	// PartThreshold is the number of deaths from which a part is a suspect, if they were under
	// minPartWorks different works or more.
	PartThreshold = 3
	minPartWorks  = 2
	// BeginTime is how long an answer has to go on until it has begun: an engine that a part crashes
	// ends sooner.
	BeginTime = 300 * time.Millisecond
	// partTrustTime is how long after an answer with it has begun a part is no cause of deaths.
	partTrustTime = time.Minute
	// maxTrustedParts limits the number of parts whose last begin is known.
	maxTrustedParts = 1 << 16
	// maxRecordParts limits the parts of all works in one record, and those that are cleared there.
	// DefaultMaxRecords of a host have to fit into one record of the store.
	maxRecordParts = 40
	// maxPartTrials is the number of trials with a part that may run within partTrialWindow without
	// a begun answer or a death.
	maxPartTrials   = 3
	partTrialWindow = 30 * time.Second
	// maxTriedDeaths is the number of deaths under trial from which a part runs beside no other
	// suspect part, so that one of the two can be cleared.
	maxTriedDeaths = 2
)

// recentBegins holds when answers with parts have last begun, for the latest maxTrustedParts/2 parts
// at least. The older half is dropped as a whole.
type recentBegins struct {
	newer, older map[uint64]time.Time
}

func (b *recentBegins) record(part uint64, at time.Time) {
	if len(b.newer) >= maxTrustedParts/2 {
		b.newer, b.older = nil, b.newer
	}
	if b.newer == nil {
		b.newer = make(map[uint64]time.Time)
	}
	b.newer[part] = at
}

// trusts reports whether an answer with a part has begun later than partTrustTime before a time.
func (b *recentBegins) trusts(part uint64, at time.Time) bool {
	begun, known := b.newer[part]
	if !known {
		begun, known = b.older[part]
	}
	return known && begun.Add(partTrustTime).After(at)
}

// Answering records that a run is sending its answer. It reports whether the answer has begun; from
// then on it need not be called again.
func (t *Tracker) Answering(id Run, now time.Time) bool {
	r, ok := t.runs[id]
	if !ok || r.begun {
		return true
	}
	if r.answeringSince.IsZero() {
		r.answeringSince = now
		t.runs[id] = r
	}
	if now.Sub(r.answeringSince) < BeginTime {
		return false
	}
	t.Began(id, now)
	return true
}

// Began records that the answer of a run has begun. It clears the run's parts of all deaths: one that
// crashes engines would have crashed this one.
func (t *Tracker) Began(id Run, now time.Time) {
	r, ok := t.runs[id]
	if !ok || r.begun {
		return
	}
	r.begun = true
	t.runs[id] = r
	for _, part := range r.Parts {
		t.begins.record(part, now)
	}
	t.clearParts(r.Parts)
}

// clearParts clears parts from all records.
func (t *Tracker) clearParts(parts []uint64) {
	for _, part := range parts {
		for _, r := range slices.Clone(t.openParts[part]) {
			t.clearPart(r, part)
		}
	}
}

// addParts adds to a record the parts of a work that ran there and whose answer had not begun. It
// leaves out those beyond maxRecordParts.
func (t *Tracker) addParts(r *record, fingerprint uint64, parts []uint64) {
	for _, part := range parts {
		cleared, known := r.parts[part]
		switch {
		case cleared || slices.Contains(r.works[fingerprint], part):
			continue
		case t.begins.trusts(part, r.at):
			t.clearPart(r, part)
			continue
		case r.workParts >= maxRecordParts:
			continue
		}
		t.version++
		r.works[fingerprint] = append(r.works[fingerprint], part)
		r.workParts++
		if !known {
			r.parts[part] = false
			t.openParts[part] = append(t.openParts[part], r)
		}
	}
}

// clearPart clears a part from one record.
func (t *Tracker) clearPart(r *record, part uint64) {
	cleared, known := r.parts[part]
	if cleared || !known && r.clearedParts >= maxRecordParts {
		return
	}
	r.parts[part] = true
	r.clearedParts++
	t.version++
	unlink(t.openParts, part, r)
}

// addPartsOf adds to a record the parts of the runs that died there before their answers had begun.
// Those in most deaths come first, so that maxRecordParts does not leave out the cause.
func (t *Tracker) addPartsOf(r *record, dead []run) {
	var suspects []partOfWork
	for _, d := range dead {
		if d.begun {
			continue
		}
		for _, part := range d.Parts {
			suspects = append(suspects, partOfWork{d.Fingerprint, part, len(t.openParts[part])})
		}
	}
	slices.SortStableFunc(suspects, func(a, b partOfWork) int { return cmp.Compare(b.deaths, a.deaths) })
	for _, s := range suspects {
		t.addParts(r, s.fingerprint, []uint64{s.part})
	}
}

// partOfWork is a part of a work that died, with the number of deaths under the part so far.
type partOfWork struct {
	fingerprint, part uint64
	deaths            int
}

// isSuspectPart reports whether a part is in PartThreshold deaths, under minPartWorks works. A work
// that crashes engines by itself is the only one in its deaths.
func (t *Tracker) isSuspectPart(part uint64) bool {
	rs := t.openParts[part]
	if len(rs) < PartThreshold {
		return false
	}
	works := make(map[uint64]bool)
	for _, r := range rs {
		for fingerprint, parts := range r.works {
			if slices.Contains(parts, part) {
				works[fingerprint] = true
			}
		}
		if len(works) >= minPartWorks {
			return true
		}
	}
	return false
}

// SuspectParts returns the suspect ones among a work's parts.
func (t *Tracker) SuspectParts(w Work) []uint64 {
	if len(t.openParts) == 0 {
		return nil
	}
	return t.suspectsAmong(w.Parts)
}

func (t *Tracker) suspectsAmong(parts []uint64) []uint64 {
	var suspects []uint64
	for _, part := range parts {
		if t.isSuspectPart(part) {
			suspects = append(suspects, part)
		}
	}
	return suspects
}

// partVerdict is what follows for a work from the evidence against its parts.
type partVerdict uint8

const (
	partsClear   partVerdict = iota // none is a suspect
	partsOnTrial                    // it may run under a trial
	partsHeld                       // it has to wait until one of its suspect parts is cleared
	partsRefused                    // its suspect parts include all that can have caused a death under trial
)

// evaluateParts returns the verdict on a work's parts, and the end of a refusal.
//
// Invariant: of works that share a part which crashes engines, at most as many crash one under trial
// as they have suspect parts, and at most maxTriedDeaths and one more.
func (t *Tracker) evaluateParts(w Work, now time.Time) (v partVerdict, until time.Time) {
	suspects := t.SuspectParts(w)
	if len(suspects) == 0 {
		return partsClear, time.Time{}
	}
	held := false
	for _, part := range suspects {
		tried := 0
		for _, r := range t.openParts[part] {
			for fingerprint := range r.tried {
				if !slices.Contains(r.works[fingerprint], part) {
					continue
				}
				tried++
				if t.provesAmong(r, fingerprint, suspects) {
					until = later(until, r.at.Add(t.opts.QuarantineTime))
				}
			}
		}
		held = held || tried >= maxTriedDeaths && len(suspects) > 1
	}
	switch {
	case until.After(now):
		return partsRefused, until
	case held, t.partTrialsSpent(suspects, now):
		return partsHeld, time.Time{}
	}
	return partsOnTrial, time.Time{}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// provesAmong reports whether the death of a record, in which a work ran under trial, proves that one
// of the given parts crashes engines: all suspect parts of that work are among them, and nothing else
// that ran there has others. A work in more than CrashThreshold deaths may crash engines by itself.
func (t *Tracker) provesAmong(r *record, tried uint64, parts []uint64) bool {
	if len(t.openRecords[tried]) > t.opts.CrashThreshold {
		return false
	}
	causes := t.openSuspects(r, tried)
	if len(causes) == 0 || !containsAll(parts, causes) {
		return false
	}
	for fingerprint := range r.works {
		others := t.openSuspects(r, fingerprint)
		shared := slices.ContainsFunc(others, func(p uint64) bool { return slices.Contains(causes, p) })
		if len(others) > 0 && !shared {
			return false
		}
	}
	return true
}

// ProvedParts returns the sets of parts that are refused: each is of one death under trial, in order.
func (t *Tracker) ProvedParts() [][]uint64 {
	if len(t.openParts) == 0 {
		return nil
	}
	var sets [][]uint64
	for _, r := range t.records {
		for fingerprint := range r.tried {
			causes := t.openSuspects(r, fingerprint)
			if t.provesAmong(r, fingerprint, causes) {
				slices.Sort(causes)
				sets = append(sets, causes)
			}
		}
	}
	slices.SortFunc(sets, slices.Compare)
	return slices.CompactFunc(sets, slices.Equal)
}

// openSuspects returns the suspect parts of a work in a record that are not cleared there.
func (t *Tracker) openSuspects(r *record, fingerprint uint64) []uint64 {
	open := slices.Clone(r.works[fingerprint])
	open = slices.DeleteFunc(open, func(p uint64) bool { return r.parts[p] })
	return t.suspectsAmong(open)
}

func containsAll(all, some []uint64) bool {
	return !slices.ContainsFunc(some, func(p uint64) bool { return !slices.Contains(all, p) })
}

// partTrialsSpent reports whether maxPartTrials trials with one of the parts have ended of late
// without a begun answer.
func (t *Tracker) partTrialsSpent(parts []uint64, now time.Time) bool {
	ran := 0
	for _, r := range t.trials {
		if now.Sub(r.at) < partTrialWindow && r.Outcome == TrialRan && shareAny(r.Parts, parts) {
			ran++
		}
	}
	return ran >= maxPartTrials
}

func shareAny(a, b []uint64) bool {
	return slices.ContainsFunc(a, func(p uint64) bool { return slices.Contains(b, p) })
}

// evaluatePartTrial is EvaluateTrial for the suspect parts of a work: one trial of each at a time.
func (t *Tracker) evaluatePartTrial(id string, w Work, now time.Time) TrialVerdict {
	suspects := t.SuspectParts(w)
	if len(suspects) == 0 {
		return TrialGranted
	}
	own := t.trials[id]
	for _, r := range t.trials {
		after := own != nil && r.position > own.position
		if r != own && !after && r.isOpen(now) && shareAny(r.Parts, suspects) {
			return TrialBusy
		}
	}
	return TrialGranted
}

// isSuspectPartRunning reports whether a trial of this host runs with a suspect part of a work.
func (t *Tracker) isSuspectPartRunning(w Work) bool {
	suspects := t.SuspectParts(w)
	if len(suspects) == 0 {
		return false
	}
	for _, r := range t.runs {
		if r.trial && shareAny(r.Parts, suspects) {
			return true
		}
	}
	return false
}
