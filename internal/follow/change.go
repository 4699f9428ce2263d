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
	ErrNotReady = errors.New("settings are not available yet")
	// ErrLogUnreachable: the log could not be read before the change; nothing was appended.
	ErrLogUnreachable = errors.New("settings log is unreachable")
	// ErrUndecided: the change may be in force, now or soon, or not at all. It can be sent
	// again with the same id, to any host.
	ErrUndecided = errors.New("outcome of the change is unknown; send it again with the same id")
	// ErrIDReused: the id was already used by another change.
	ErrIDReused = errors.New("change id belongs to another change")
)

// Change checks a change, appends it to the log and reads it back. It sets CheckedOffset of the
// change. The verdict is that of replaying the log, and Accepted only when the change is in
// force at this host. A change whose base is outdated is refused without an append, by a
// verdict with Offset 0. A change whose id was decided before gets that verdict.
//
// The error is a finding.List when a document has faults, the error of Change.Encode, or one of
// the errors above.
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
	verdict, err := f.checkChange(&change)
	if err != nil || verdict.Outcome != "" {
		return verdict, err
	}
	data, err := change.Encode()
	if err != nil {
		return settings.Verdict{}, err
	}
	return f.appendUntilDecided(ctx, &change, data)
}

// A host has its settings about 10 ms after its start, on a busy machine about 100 ms. A change
// that comes earlier waits for them: otherwise its operator would have to find out that it was
// never appended.
const (
	readyWait         = 2 * time.Second
	readyPollInterval = 10 * time.Millisecond
)

// waitReady waits up to readyWait until the follower is ready, and reports whether it is.
func (f *Follower) waitReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for !f.Ready() {
		if !wait.For(ctx, readyPollInterval) {
			return f.Ready()
		}
	}
	return true
}

// decided returns the verdict on the id of the change, if there is one. The error is
// ErrIDReused when the verdict is on a change with other content.
func (f *Follower) decided(change *settings.Change) (verdict settings.Verdict, decided bool, err error) {
	f.mu.Lock()
	verdict, decided = f.state.FindVerdict(change.ID)
	f.mu.Unlock()
	if decided && verdict.ContentHash != change.ContentHash() {
		return settings.Verdict{}, false, merry.Wrap(ErrIDReused)
	}
	return verdict, decided, nil
}

// checkChange checks the bases and documents of a change. An empty outcome and no error mean
// that it can be appended.
func (f *Follower) checkChange(change *settings.Change) (settings.Verdict, error) {
	documents, offset := f.Documents(settings.Root)
	change.CheckedOffset = offset
	if verdict := findConflict(documents, change); verdict.Outcome != "" {
		return verdict, nil
	}
	return settings.Verdict{}, settings.CheckChange(documents, change).Err()
}

// findConflict returns a verdict with the first edit whose base is not the version in force, and
// the zero Verdict when there is none.
func findConflict(documents []settings.StoredDocument, change *settings.Change) settings.Verdict {
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

// appendUntilDecided appends the record and reads the log until the verdict on it is known. An
// append may have taken effect although it returned an error. So the log is read before each
// further append, which has the same bytes: replay decides an id only once.
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

// append appends one record to the settings stream.
func (f *Follower) append(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, f.o.CallTimeout)
	defer cancel()
	_, err := f.o.Log.Append(ctx, Stream, [][]byte{data})
	return err
}
