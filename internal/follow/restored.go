package follow

import (
	"context"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/settings"
	"github.com/buckthorndock/buckthorndock/internal/platform"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

var (
	errEarlierEra = merry.Sentinel("the settings log answers in an earlier era")
	errEraChanged = merry.Sentinel("the settings log was restored while it was read")
)

// lostChanges holds changes that were in force when the log was restored from an older copy
// that lacks them. The settings of the earlier era stay in force until each of these changes is
// decided again.
type lostChanges struct {
	before  *settings.State // the last state of the earlier era
	changes []settings.Change
	since   time.Time // when the new era was entered
}

// maxReappendTime bounds how long lost changes that no host can append again delay newer
// changes.
const maxReappendTime = 30 * time.Second

// pending reports whether there are lost changes, so that the settings of the earlier era stay in
// force.
func (l *lostChanges) pending() bool { return len(l.changes) > 0 }

// findLost returns the changes on which next has no verdict: those already lost before, and those
// that the present state has accepted, as far as their records are still kept.
func (f *Follower) findLost(next *settings.State) []settings.Change {
	lost := slices.Clone(f.lost.changes)
	for _, r := range f.accepted.records {
		change, err := settings.DecodeChange(r.Data)
		if err != nil {
			continue // not a change, so it had no effect
		}
		known := slices.ContainsFunc(lost, func(c settings.Change) bool { return c.ID == change.ID })
		if _, ok := f.state.FindVerdict(change.ID); ok && !known {
			lost = append(lost, *change)
		}
	}
	return undecided(lost, next)
}

// addAccepted keeps an accepted record, so that its change can be appended again.
func (f *Follower) addAccepted(r Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accepted.add(r)
}

// undecided returns the changes on which a state has no verdict. It reuses the slice.
func undecided(changes []settings.Change, state *settings.State) []settings.Change {
	return slices.DeleteFunc(changes, func(c settings.Change) bool {
		_, decided := state.FindVerdict(c.ID)
		return decided
	})
}

// enterEra replaces the state by next when that is of a later era of the log, and reports whether
// it did. Changes that next lacks become lost changes.
func (f *Follower) enterEra(next *settings.State, source string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if next.Era() <= f.state.Era() {
		return false
	}
	before := f.state
	if f.lost.pending() {
		before = f.lost.before
	}
	lost := f.findLost(next)
	entry := f.o.Logger.WithFields(logrus.Fields{
		"source": source, "era": next.Era(), "was": f.state.Era(), "offset": next.Offset(), "own_offset": f.state.Offset(), "lost": len(lost),
	})
	if before.Offset() > 0 {
		entry.Warn("settings_log_restored")
	}
	f.state = next
	f.recent.clear()
	f.cache = settings.NewCache() // the same version may be of another text in another era
	f.lost = lostChanges{before: before, changes: lost, since: f.o.Now()}
	f.publish(true)
	if f.lost.pending() {
		signal(f.reappendDue)
	}
	return true
}

// dropDecidedLost drops the lost changes that the state has decided, and all of them after
// maxReappendTime. It reports whether it has dropped the last one. The caller holds mu.
func (f *Follower) dropDecidedLost() bool {
	if !f.lost.pending() {
		return false
	}
	f.lost.changes = undecided(f.lost.changes, f.state)
	if f.lost.pending() && f.o.Now().Sub(f.lost.since) > maxReappendTime {
		f.o.Logger.WithField("changes", len(f.lost.changes)).Error("settings_reappend_abandoned")
		f.lost.changes = nil
	}
	return !f.lost.pending()
}

// reappendLoop appends lost changes again. Every host that has one does so, as an id is decided
// only once. Hosts that do not read the log wait first, so that the others can do it.
func (f *Follower) reappendLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.reappendDue:
		}
		if !f.o.Peers.Tailer() {
			wait.For(ctx, jitter(f.o.PullInterval))
		}
		retry := f.retry()
		for ctx.Err() == nil && f.hasLostChanges() {
			if err := f.reappendLost(ctx); err != nil {
				f.logFailure(err)
			}
			wait.For(ctx, retry.NextBackOff())
		}
	}
}

// hasLostChanges drops the decided lost changes and reports whether any are left. After the last
// one it publishes the state.
func (f *Follower) hasLostChanges() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dropDecidedLost() {
		f.publish(true)
	}
	return f.lost.pending()
}

// reappendLost appends the lost changes that are not overtaken, and reads them back.
func (f *Follower) reappendLost(ctx context.Context) error {
	for {
		change, ok := f.nextLost()
		if !ok {
			return nil
		}
		data, err := change.Encode()
		if err != nil {
			return err
		}
		if err := f.append(ctx, data); err != nil {
			return err
		}
		if err := f.catchUp(ctx); err != nil {
			return err
		}
		f.mu.Lock()
		_, decided := f.state.FindVerdict(change.ID)
		f.mu.Unlock()
		if !decided {
			return merry.Errorf("change %s was appended but is not in the log yet", change.ID)
		}
		f.o.Logger.WithField("change_id", change.ID).Info("settings_reappended")
	}
}

// nextLost returns the first lost change, with its bases and CheckedOffset set by the state of
// the present era, and false when none is left. It drops a change of a document that a newer
// change has edited since.
func (f *Follower) nextLost() (settings.Change, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost.changes = undecided(f.lost.changes, f.state)
	for f.lost.pending() {
		change := f.lost.changes[0]
		if !f.overtakenSince(&change) {
			change.Edits = slices.Clone(change.Edits)
			for i, e := range change.Edits {
				change.Edits[i].Base = f.state.VersionOf(e.Path)
			}
			change.CheckedOffset = f.state.Offset()
			return change, true
		}
		f.o.Logger.WithField("change_id", change.ID).Warn("settings_reappend_overtaken")
		f.lost.changes = f.lost.changes[1:]
	}
	f.publish(true)
	return settings.Change{}, false
}

// overtakenSince reports whether a document of a lost change was last edited by a newer change:
// one that is not in the earlier era, or that has a higher offset there.
func (f *Follower) overtakenSince(change *settings.Change) bool {
	own, _ := f.lost.before.FindVerdict(change.ID)
	return slices.ContainsFunc(change.Edits, func(e settings.Edit) bool {
		v, ok := f.state.LastAccepted(e.Path)
		if !ok {
			return false
		}
		other, known := f.lost.before.FindVerdict(v.ChangeID)
		return !known || other.Offset > own.Offset
	})
}

// eraSnapshot returns the newest snapshot from which an era can be replayed: one of the era
// itself, or one of an earlier era whose offset is still in the log. Without a snapshot it
// returns the state before the first record.
func (f *Follower) eraSnapshot(ctx context.Context, era int64) (*settings.State, error) {
	head, err := f.o.Log.Read(ctx, Stream, 1, 1, 0)
	if err != nil {
		return nil, err
	}
	page, err := f.latestSnapshots(ctx, 0)
	if err != nil {
		return nil, err
	}
	if head.Era != era || page.Era != era {
		return nil, merry.Wrap(errEraChanged)
	}
	newest := settings.NewStateIn(era)
	for _, r := range page.Records {
		s := f.readSnapshot(r)
		if s != nil && s.Era() <= era && s.Offset() < head.EndOffset && s.Offset() > newest.Offset() {
			newest = s
		}
	}
	newest.SetEra(era)
	return newest, nil
}

// replayEra returns the state of an era, replayed from a snapshot and the log records after it.
// The era must be the present one of the log.
func (f *Follower) replayEra(ctx context.Context, era int64) (*settings.State, error) {
	state, err := f.eraSnapshot(ctx, era)
	if err != nil {
		return nil, err
	}
	for {
		page, err := f.o.Log.Read(ctx, Stream, state.Offset()+1, readLimit, 0)
		switch {
		case err != nil:
			return nil, err
		case page.Era != era:
			return nil, merry.Wrap(errEraChanged)
		case page.FirstKept > state.Offset()+1:
			return nil, merry.Prependf(errTrimmed, "state of the new era is at %d, log starts at %d", state.Offset(), page.FirstKept)
		}
		for _, r := range recordsOf(page) {
			if v := state.Apply(r.Offset, time.UnixMilli(r.AtMs), r.Data); v.Accepted() {
				f.addAccepted(r)
			}
		}
		if len(page.Records) == 0 || state.Offset() >= page.EndOffset-1 {
			return state, nil
		}
	}
}

// switchEra replays and enters the era of a page that is not of the present era. It returns an
// error when the era of the page is an earlier one.
func (f *Follower) switchEra(ctx context.Context, page platform.Page, present int64) error {
	if page.Era < present {
		return merry.Wrap(errEarlierEra)
	}
	state, err := f.replayEra(ctx, page.Era)
	if err != nil {
		return err
	}
	f.enterEra(state, Stream)
	return nil
}
