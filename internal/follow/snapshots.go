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
	// maxSnapshotBytes bounds an unpacked snapshot.
	maxSnapshotBytes = 64 << 20
	// latestSnapshots is how many of the newest snapshots are looked at. Any host
	// may write one, also late, so the last one need not be the newest.
	latestSnapshots = 4
	// snapshotsInRetention is how often a snapshot is written again within the
	// log's retention when nothing changes.
	snapshotsInRetention = 4
)

// snapshotCursor is what the host knows of the snapshot stream. It is used by
// snapshotLoop alone.
type snapshotCursor struct {
	era    int64     // of the log
	next   int64     // offset of the stream to read on from, 0: not read yet
	newest int64     // settings offset of the newest snapshot seen
	at     time.Time // when it was written
}

// pack compresses an exported state; gzip's checksum shows damage on the way.
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

// unpack reads what pack wrote.
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

// loadSnapshot adopts the newest readable snapshot of the stream, if it is newer
// than the state. A stream without one is no error.
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

// latestSnapshots reads the stream from an offset on, 0 meaning the last few.
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

// readSnapshot returns nil for a record that is no snapshot.
func (f *Follower) readSnapshot(r platform.Record) *settings.State {
	state, err := unpack(r.Data)
	if err != nil {
		f.o.Logger.WithField("snapshot_offset", r.Offset).
			WithError(err).Warn("settings_snapshot_broken")
		return nil
	}
	return state
}

// snapshotLoop lets the hosts that read the log also write snapshots. Two hosts
// may do so at once; their snapshots are equal. The first look comes soon, or
// hosts that are replaced often would never get to write one.
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

// snapshotOnce looks at the stream and writes a snapshot when one is due.
func (f *Follower) snapshotOnce(ctx context.Context) error {
	page, err := f.latestSnapshots(ctx, f.snapshots.next)
	if err != nil {
		return err
	}
	if era := f.view.Load().era; page.Era != era || f.snapshots.era != era {
		f.snapshots = snapshotCursor{era: era} // its offsets, and those of the snapshots, are of another era
		return nil
	}
	for _, r := range page.Records {
		f.snapshots.see(r, f.readSnapshot(r))
	}
	f.snapshots.next = page.EndOffset
	if !f.snapshotDue() {
		return nil
	}
	return f.writeSnapshot(ctx)
}

func (c *snapshotCursor) see(r platform.Record, state *settings.State) {
	if state == nil || state.Era() != c.era || state.Offset() < c.newest {
		return
	}
	if state.Offset() > c.newest || r.At.After(c.at) {
		c.at = r.At
	}
	c.newest = state.Offset()
}

// snapshotDue reports whether many records were added since the newest snapshot,
// or whether it is on its way out of the log.
func (f *Follower) snapshotDue() bool {
	offset := f.Offset()
	if offset == 0 {
		return false
	}
	old := f.o.Now().Sub(f.snapshots.at) >= f.o.Retention/snapshotsInRetention
	return old || offset-f.snapshots.newest >= f.o.RecordsPerSnapshot
}

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
