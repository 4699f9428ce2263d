package follow

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

// Record is a record of the settings stream as peers exchange it.
type Record struct {
	Offset int64
	AtMs   int64 // Unix time by the log's clock
	Data   []byte
}

// apply applies the records of an era in order and skips those already applied. It reports
// whether a gap before a record stopped it, or whether the records are of a later era than the
// state, in which case it applies none.
func (f *Follower) apply(era int64, records []Record) (gap bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if era != f.state.Era() {
		return era > f.state.Era()
	}
	before := f.state.Offset()
	changed := false
	for _, r := range records {
		if r.Offset <= f.state.Offset() {
			continue
		}
		verdict := f.state.Apply(r.Offset, time.UnixMilli(r.AtMs), r.Data)
		if verdict.Outcome == settings.OutOfOrder {
			gap = true
			break
		}
		f.recent.add(r)
		f.logVerdict(&verdict)
		if verdict.Accepted() {
			f.accepted.add(r)
			changed = true
		}
	}
	if f.state.Offset() > before {
		settled := f.dropDecidedLost()
		f.publish(changed || settled)
		signal(f.pushDue)
	}
	return gap
}

// logVerdict logs and counts the verdict on an applied record.
func (f *Follower) logVerdict(v *settings.Verdict) {
	countVerdict(v.Outcome)
	entry := f.o.Logger.WithFields(logrus.Fields{
		"offset":    v.Offset,
		"change_id": v.ChangeID,
		"author":    v.Author,
		"paths":     v.Paths,
		"outcome":   v.Outcome,
	})
	switch {
	case !f.Ready():
		entry.Debug("settings_replayed")
	case v.Accepted():
		entry.Info("settings_accepted")
	default:
		entry.WithField("reason", v.Reason()).Warn("settings_refused")
	}
}

// adopt replaces the state by an imported one of the same era if that has a higher offset, and
// reports whether it did. An older state is refused from any source: it would revert accepted
// settings.
func (f *Follower) adopt(next *settings.State, source string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry := f.o.Logger.WithFields(logrus.Fields{
		"source": source, "offset": next.Offset(), "own_offset": f.state.Offset(),
	})
	if next.Era() != f.state.Era() || next.Offset() <= f.state.Offset() {
		snapshotsRefused.Inc()
		entry.Debug("settings_snapshot_old")
		return false
	}
	snapshotsAdopted.Inc()
	entry.Info("settings_snapshot_adopted")
	f.state = next
	f.recent.clear()
	f.publish(true)
	return true
}

// markCurrent records that offset was the last one of the log in an era at a time.
func (f *Follower) markCurrent(era, offset int64, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.Era() == era && f.state.Offset() >= offset && at.After(f.currentAt) {
		f.currentAt = at
	}
}

// compareDigest logs and counts a divergence when a peer has another digest than this host at
// the same offset.
func (f *Follower) compareDigest(peer PeerRef, era, offset int64, digest uint64) {
	v := f.view.Load()
	if v.era != era || v.offset != offset || v.digest == digest {
		return
	}
	divergences.Inc()
	f.o.Logger.WithFields(logrus.Fields{
		"peer": peer.Name, "offset": offset,
	}).Error("settings_divergence")
}

// recordBuffer keeps the latest records, up to a total size of their data.
type recordBuffer struct {
	records []Record
	bytes   int
	limit   int // max bytes, exceeded only by a single record
}

func (r *recordBuffer) add(record Record) {
	r.records = append(r.records, record)
	r.bytes += len(record.Data)
	for r.bytes > r.limit && len(r.records) > 1 {
		r.bytes -= len(r.records[0].Data)
		r.records = r.records[1:]
	}
}

func (r *recordBuffer) clear() {
	r.records, r.bytes = nil, 0
}

// from returns the records from an offset on; ok is false when the first of them is not kept.
// The kept records must have no gaps. The returned slice must not be changed.
func (r *recordBuffer) from(offset int64) (records []Record, ok bool) {
	if len(r.records) == 0 || r.records[0].Offset > offset {
		return nil, false
	}
	skip := min(offset-r.records[0].Offset, int64(len(r.records)))
	return r.records[skip:len(r.records):len(r.records)], true
}
