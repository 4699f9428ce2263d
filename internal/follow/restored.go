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

// lostChanges are changes that were in force when the log came back from an older copy of itself,
// which lacks them. What was in force before stays so until each of them is decided once more.
type lostChanges struct {
	before  *settings.State // the last one of the earlier era
	changes []settings.Change
	since   time.Time
}

// mostHeld bounds for how long lost changes that nobody can write again keep what has been written
// since out of force.
const mostHeld = 30 * time.Second

// holds reports whether the settings of the earlier era are kept in force.
func (l *lostChanges) holds() bool { return len(l.changes) > 0 }

// findLost returns the changes in force, of those that are kept, that a later state has not decided.
func (f *Follower) findLost(next *settings.State) []settings.Change {
	lost := slices.Clone(f.lost.changes)
	for _, r := range f.accepted.records {
		change, err := settings.DecodeChange(r.Data)
		if err != nil {
			continue // no change: nothing of it was in force
		}
		known := slices.ContainsFunc(lost, func(c settings.Change) bool { return c.ID == change.ID })
		if _, ok := f.state.FindVerdict(change.ID); ok && !known {
			lost = append(lost, *change)
		}
	}
	return undecided(lost, next)
}

// keep remembers an accepted record, so that its change can be written again.
func (f *Follower) keep(r Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accepted.add(r)
}

// undecided returns the changes that a state has not decided.
func undecided(changes []settings.Change, state *settings.State) []settings.Change {
	return slices.DeleteFunc(changes, func(c settings.Change) bool {
		_, decided := state.FindVerdict(c.ID)
		return decided
	})
}

// enterEra replaces the state by that of a later era of the log. It reports false when the state
// is of none.
func (f *Follower) enterEra(next *settings.State, source string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if next.Era() <= f.state.Era() {
		return false
	}
	before := f.state
	if f.lost.holds() {
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
	f.cache = settings.NewCache() // a version stands for another text in another era
	f.lost = lostChanges{before: before, changes: lost, since: f.o.Now()}
	f.publish(true)
	if f.lost.holds() {
		signal(f.lostDue)
	}
	return true
}

// settleLost drops the lost changes that the state has decided. The caller holds mu. It reports
// whether these were the last.
func (f *Follower) settleLost() bool {
	if !f.lost.holds() {
		return false
	}
	f.lost.changes = undecided(f.lost.changes, f.state)
	if f.lost.holds() && f.o.Now().Sub(f.lost.since) > mostHeld {
		f.o.Logger.WithField("changes", len(f.lost.changes)).Error("settings_lost")
		f.lost.changes = nil
	}
	return !f.lost.holds()
}

// rewriteLoop appends lost changes again. Each host that knows of one does so: an id is decided
// once. Hosts that do not read the log come later, when it was not done.
func (f *Follower) rewriteLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.lostDue:
		}
		if !f.o.Peers.Tailer() {
			wait.For(ctx, jitter(f.o.PullInterval))
		}
		retry := f.retry()
		for ctx.Err() == nil && f.holdsLost() {
			if err := f.rewrite(ctx); err != nil {
				f.logFailure(err)
			}
			wait.For(ctx, retry.NextBackOff())
		}
	}
}

func (f *Follower) holdsLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.settleLost() {
		f.publish(true)
	}
	return f.lost.holds()
}

// rewrite appends the lost changes that are still wanted, and reads them back.
func (f *Follower) rewrite(ctx context.Context) error {
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
			return merry.Errorf("change %s is not in the log yet", change.ID)
		}
		f.o.Logger.WithField("change_id", change.ID).Info("settings_written_again")
	}
}

// nextLost returns the first lost change as it is to be appended: on what stands in the present
// era. One of a document that was changed since is given up, for that is newer.
func (f *Follower) nextLost() (settings.Change, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost.changes = undecided(f.lost.changes, f.state)
	for f.lost.holds() {
		change := f.lost.changes[0]
		if !f.overtakenSince(&change) {
			change.Edits = slices.Clone(change.Edits)
			for i, e := range change.Edits {
				change.Edits[i].Base = f.state.VersionOf(e.Path)
			}
			change.CheckedOffset = f.state.Offset()
			return change, true
		}
		f.o.Logger.WithField("change_id", change.ID).Warn("settings_lost_overtaken")
		f.lost.changes = f.lost.changes[1:]
	}
	f.publish(true)
	return settings.Change{}, false
}

// overtakenSince reports whether a document of a lost change was last changed by a newer one: one
// that the earlier era did not know, or had after it.
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

// eraSnapshot returns the newest snapshot from which an era can be replayed: one of the era, or one
// that the older copy had, whose records the log has too. Without any, it is that of no record.
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

// replayEra returns the state of the log's present era, from a snapshot and the records after it.
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
			return nil, merry.Prependf(errTrimmed, "the era's state at %d, log starts at %d", state.Offset(), page.FirstKept)
		}
		for _, r := range recordsOf(page) {
			if v := state.Apply(r.Offset, time.UnixMilli(r.AtMs), r.Data); v.Accepted() {
				f.keep(r)
			}
		}
		if len(page.Records) == 0 || state.Offset() >= page.EndOffset-1 {
			return state, nil
		}
	}
}

// followEra takes in a page of another era than the state's.
func (f *Follower) followEra(ctx context.Context, page platform.Page, present int64) error {
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
