package follow

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/settings"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

// Errors of Change.
var (
	// ErrNotReady: this host has no settings yet; nothing was appended.
	ErrNotReady = errors.New("settings are not there yet")
	// ErrLogUnreachable: the log could not be read before the change; nothing was appended.
	ErrLogUnreachable = errors.New("settings log is out of reach")
	// ErrUndecided: the change may or may not be in force, now or soon. The same
	// change with the same id may be sent again, to any host.
	ErrUndecided = errors.New("outcome of the change is unknown; send it again with the same id")
	// ErrIDReused: another change was decided under this id.
	ErrIDReused = errors.New("change id belongs to another change")
)

// Change checks a change, appends it and reads it back. Seen of the change is set
// here. The verdict is that of the log, Accepted only when the change is in force
// at this host; a change that cannot win any more is refused without an append,
// with an Offset of 0. A change whose id was decided before gets that verdict.
//
// The error is a finding.List when documents are wrong, an error about the
// change's form, or one of those above.
func (f *Follower) Change(ctx context.Context, change settings.Change) (settings.Verdict, error) {
	if !f.waitReady(ctx) {
		return settings.Verdict{}, ErrNotReady
	}
	if err := f.catchUp(ctx); err != nil {
		return settings.Verdict{}, merry.Wrap(ErrLogUnreachable, merry.WithCause(err))
	}
	if verdict, decided, err := f.decided(&change); decided || err != nil {
		return verdict, err
	}
	verdict, err := f.check(&change)
	if err != nil || verdict.Outcome != "" {
		return verdict, err
	}
	data, err := change.Encode()
	if err != nil {
		return settings.Verdict{}, err
	}
	return f.appendUntilDecided(ctx, &change, data)
}

// A host that has just started has the settings within some 10 ms, on a busy machine within
// some 100 ms. A change that comes before waits for them: its operator would have to find out
// that it was never appended.
const (
	readyWait = 2 * time.Second
	readyLook = 10 * time.Millisecond
)

// waitReady waits until the host has settings, for a while. It returns false when it has none.
func (f *Follower) waitReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for !f.Ready() {
		if !wait.For(ctx, readyLook) {
			return f.Ready()
		}
	}
	return true
}

// decided looks for a verdict on the change's id.
func (f *Follower) decided(change *settings.Change) (verdict settings.Verdict, decided bool, err error) {
	f.mu.Lock()
	verdict, decided = f.state.FindVerdict(change.ID)
	f.mu.Unlock()
	if decided && verdict.ContentHash != change.ContentHash() {
		return settings.Verdict{}, false, merry.Wrap(ErrIDReused)
	}
	return verdict, decided, nil
}

// check looks at bases and documents. An empty outcome lets the change through.
func (f *Follower) check(change *settings.Change) (settings.Verdict, error) {
	documents, offset := f.Documents(settings.Root)
	change.CheckedOffset = offset
	if verdict := conflictOf(documents, change); verdict.Outcome != "" {
		return verdict, nil
	}
	return settings.Verdict{}, settings.CheckChange(documents, change).Err()
}

func conflictOf(documents []settings.StoredDocument, change *settings.Change) settings.Verdict {
	versions := make(map[string]int64, len(documents))
	for _, d := range documents {
		versions[d.Path] = d.Version
	}
	for _, e := range change.Edits {
		if versions[e.Path] == e.Base {
			continue
		}
		return settings.Verdict{
			ChangeID:    change.ID,
			Author:      change.Author,
			Paths:       change.Paths(),
			Outcome:     settings.Conflict,
			Path:        e.Path,
			PriorOffset: versions[e.Path],
			Base:        e.Base,
		}
	}
	return settings.Verdict{}
}

// appendUntilDecided appends the record and reads the log until its verdict is
// there. An error of Append does not say that nothing was appended, so the log is
// read first, and a further append carries the same bytes: replay decides an id
// once.
func (f *Follower) appendUntilDecided(ctx context.Context, change *settings.Change, data []byte) (settings.Verdict, error) {
	retry := f.retry()
	appended := false
	for range f.o.AppendAttempts {
		var appendErr error
		if !appended {
			appendErr = f.append(ctx, data)
			appended = appendErr == nil
		}
		readErr := f.catchUp(ctx)
		if verdict, decided, err := f.decided(change); decided || err != nil {
			return verdict, err
		}
		f.logFailure(errors.Join(appendErr, readErr))
		if !wait.For(ctx, retry.NextBackOff()) {
			break
		}
	}
	return settings.Verdict{}, merry.Wrap(ErrUndecided)
}

func (f *Follower) append(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, f.o.CallTimeout)
	defer cancel()
	_, err := f.o.Log.Append(ctx, Stream, [][]byte{data})
	return err
}
