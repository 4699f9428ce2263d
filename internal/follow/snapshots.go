package follow

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/settings"
	"github.com/buckthorndock/buckthorndock/internal/platform"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

const (
	// maxSnapshotBytes is the max size of an unpacked snapshot.
	maxSnapshotBytes = 64 << 20
	// latestSnapshots is how many of the last snapshot records are read. Any host may write
	// one, with delay, so the last record need not have the newest state.
	latestSnapshots = 4
	// snapshotsInRetention is how many times per retention time of the log a snapshot is
	// rewritten when nothing changes.
	snapshotsInRetention = 4
)

// snapshotCursor holds the position in the snapshot stream and the newest snapshot read. Only
// snapshotLoop uses it.
type snapshotCursor struct {
	era    int64     // era of the log
	next   int64     // next offset to read from the stream; 0: not read yet
	newest int64     // settings offset of the newest snapshot read
	at     time.Time // when the newest snapshot was last written
}

// pack compresses an exported state with gzip, whose checksum detects corruption.
func pack(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(data); err != nil {
		return nil, merry.Prepend(err, "pack settings snapshot")
	}
	if err := w.Close(); err != nil {
		return nil, merry.Prepend(err, "pack settings snapshot")
	}
	return b.Bytes(), nil
}

// unpack decompresses and imports a state that pack has compressed.
func unpack(packed []byte) (*settings.State, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, merry.Prepend(err, "unpack settings snapshot")
	}
	data, err := io.ReadAll(io.LimitReader(r, maxSnapshotBytes+1))
	if err != nil {
		return nil, merry.Prepend(err, "unpack settings snapshot")
	}
	if len(data) > maxSnapshotBytes {
		return nil, merry.Errorf("settings snapshot has more than %d bytes", maxSnapshotBytes)
	}
	return settings.ImportState(data)
}

// loadSnapshot adopts the newest valid snapshot among the last of the stream, if it is newer
// than the state. It is no error when there is none.
func (f *Follower) loadSnapshot(ctx context.Context) error {
	page, err := f.latestSnapshots(ctx, 0)
	if err != nil {
		return err
	}
	for _, r := range page.Records {
		if state := f.readSnapshot(r); state != nil {
			f.adopt(state, SnapshotStream)
		}
	}
	return nil
}

// latestSnapshots reads the snapshot stream from an offset on; 0 means the last latestSnapshots
// records.
func (f *Follower) latestSnapshots(ctx context.Context, from int64) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, f.o.CallTimeout)
	defer cancel()
	if from == 0 {
		page, err := f.o.Log.Read(ctx, SnapshotStream, 1, 1, 0)
		if err != nil {
			return platform.Page{}, err
		}
		from = max(1, page.FirstKept, page.EndOffset-latestSnapshots)
	}
	return f.o.Log.Read(ctx, SnapshotStream, from, readLimit, 0)
}

// readSnapshot returns the state in a snapshot record, nil when the record is invalid.
func (f *Follower) readSnapshot(r platform.Record) *settings.State {
	state, err := unpack(r.Data)
	if err != nil {
		f.o.Logger.WithField("snapshot_offset", r.Offset).
			WithError(err).Warn("settings_snapshot_invalid")
		return nil
	}
	return state
}

// snapshotLoop writes snapshots on the hosts that read the log. Two hosts may write at the same
// time; their snapshots are equal. The first check comes soon after the start, as hosts that
// are replaced often would otherwise never write one.
func (f *Follower) snapshotLoop(ctx context.Context) {
	pause := f.o.FirstSnapshotCheck
	for ; wait.For(ctx, jitter(pause)); pause = f.o.SnapshotCheckInterval {
		if !f.o.Peers.Tailer() {
			continue
		}
		if err := f.snapshotOnce(ctx); err != nil && ctx.Err() == nil {
			f.logFailure(err)
		}
	}
}

// snapshotOnce reads the new records of the snapshot stream and writes a snapshot when one is
// due. After a change of era it only resets the cursor.
func (f *Follower) snapshotOnce(ctx context.Context) error {
	page, err := f.latestSnapshots(ctx, f.snapshots.next)
	if err != nil {
		return err
	}
	if era := f.view.Load().era; page.Era != era || f.snapshots.era != era {
		f.snapshots = snapshotCursor{era: era} // stream and settings offsets of another era do not apply
		return nil
	}
	for _, r := range page.Records {
		f.snapshots.add(r, f.readSnapshot(r))
	}
	f.snapshots.next = page.EndOffset
	if !f.snapshotDue() {
		return nil
	}
	return f.writeSnapshot(ctx)
}

// add updates the cursor by a snapshot record and its state, nil when invalid.
func (c *snapshotCursor) add(r platform.Record, state *settings.State) {
	if state == nil || state.Era() != c.era || state.Offset() < c.newest {
		return
	}
	if state.Offset() > c.newest || r.At.After(c.at) {
		c.at = r.At
	}
	c.newest = state.Offset()
}

// snapshotDue reports whether RecordsPerSnapshot records were added since the newest snapshot,
// or whether a 1/snapshotsInRetention part of the retention has passed since it was written.
func (f *Follower) snapshotDue() bool {
	offset := f.Offset()
	if offset == 0 {
		return false
	}
	old := f.o.Now().Sub(f.snapshots.at) >= f.o.Retention/snapshotsInRetention
	return old || offset-f.snapshots.newest >= f.o.RecordsPerSnapshot
}

// writeSnapshot appends a snapshot of the state to the snapshot stream.
func (f *Follower) writeSnapshot(ctx context.Context) error {
	packed, offset, err := f.exportState()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, f.o.CallTimeout)
	defer cancel()
	if _, err := f.o.Log.Append(ctx, SnapshotStream, [][]byte{packed}); err != nil {
		return err
	}
	snapshotsWritten.Inc()
	f.snapshots.newest, f.snapshots.at = offset, f.o.Now()
	f.o.Logger.WithField("offset", offset).
		WithField("bytes", len(packed)).Info("settings_snapshot_written")
	return nil
}
