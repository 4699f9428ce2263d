package follow

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cenkalti/backoff/v5"

	"github.com/buckthorndock/buckthorndock/internal/platform"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

// tailCheck is the interval at which a host checks whether it has to read the log.
const tailCheck = time.Second

// emptyReadPause is the pause after an empty read that returned sooner. It prevents a busy loop
// when the log does not wait for new records.
const emptyReadPause = 100 * time.Millisecond

// errTrimmed means that the log no longer has all the records after the state.
var errTrimmed = errors.New("settings records were trimmed before they were read")

// bootstrap gets the first settings, and returns when the follower is ready or ctx has ended. It
// pulls from peers first, which saves load on the log, and then reads from the log only what is
// missing. The state of a peer suffices while the log is unreachable.
func (f *Follower) bootstrap(ctx context.Context) {
	retry := f.retry()
	for ctx.Err() == nil {
		fromPeer := f.pullAny(ctx)
		err := f.catchUp(ctx)
		if err == nil || fromPeer && ctx.Err() == nil {
			f.ready.Store(true)
			f.o.Logger.WithField("offset", f.Offset()).
				WithField("from_peer", fromPeer).WithField("from_log", err == nil).Info("settings_ready")
			return
		}
		f.logFailure(err)
		wait.For(ctx, retry.NextBackOff())
	}
}

// retry returns the backoff for retries of log calls.
func (f *Follower) retry() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = f.o.RetryMin
	b.MaxInterval = f.o.RetryMax
	return b
}

func (f *Follower) logFailure(err error) {
	logFailures.Inc()
	f.o.Logger.WithField("offset", f.Offset()).
		WithError(err).Warn("settings_log_failure")
}

// tailLoop reads the log while this host is a tailer, and also when its lag exceeds MaxLag, as
// the exchange between peers must then have failed.
func (f *Follower) tailLoop(ctx context.Context) {
	retry := f.retry()
	for ctx.Err() == nil {
		switch {
		case f.o.Peers.Tailer():
			f.poll(ctx, retry)
		case f.lagging():
			if err := f.readOnce(ctx, 0); err != nil {
				f.logFailure(err)
			}
			wait.For(ctx, jitter(f.o.MaxLag)) // all hosts do this while the log is unreachable
		default:
			wait.For(ctx, tailCheck)
		}
	}
}

// poll reads the log once, waiting for new records. It pauses when the read failed or returned
// at once without a record.
func (f *Follower) poll(ctx context.Context, retry *backoff.ExponentialBackOff) {
	before, start := f.Offset(), time.Now()
	err := f.readOnce(ctx, f.o.PollWait)
	switch {
	case err == nil && f.Offset() == before && time.Since(start) < emptyReadPause:
		wait.For(ctx, emptyReadPause)
	case err == nil:
		retry.Reset()
	case ctx.Err() == nil:
		f.logFailure(err)
		wait.For(ctx, retry.NextBackOff())
	}
}

// lagging reports whether the lag is unknown or exceeds MaxLag.
func (f *Follower) lagging() bool {
	lag := f.Lag(f.o.Now())
	return lag < 0 || lag > f.o.MaxLag
}

// catchUp reads and applies the log up to its end.
func (f *Follower) catchUp(ctx context.Context) error {
	for {
		before := f.Offset()
		if err := f.readOnce(ctx, 0); err != nil {
			return err
		}
		if f.Offset() == before {
			return nil
		}
	}
}

// readOnce reads and applies one page of the log, waiting up to wait for a new record.
func (f *Follower) readOnce(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+f.o.CallTimeout)
	defer cancel()
	at := f.view.Load()
	from := at.offset + 1
	start := f.o.Now()
	page, err := f.o.Log.Read(ctx, Stream, from, readLimit, wait)
	if err != nil {
		return err
	}
	if page.Era != at.era {
		return f.switchEra(ctx, page, at.era)
	}
	if page.EndOffset < from {
		logBehind.Inc()
		return merry.Errorf("settings log ends before offset %d, state is at %d", page.EndOffset, from-1)
	}
	if page.FirstKept > from {
		trimmedGaps.Inc()
		return f.bridgeGap(ctx, page.FirstKept)
	}
	f.apply(at.era, recordsOf(page))
	// The end of the page was the newest offset when the log answered, which is after start. So
	// start is a safe, slightly early time.
	f.markCurrent(at.era, page.EndOffset-1, start)
	return nil
}

// recordsOf converts the records of a page.
func recordsOf(page platform.Page) []Record {
	records := make([]Record, len(page.Records))
	for i, r := range page.Records {
		records[i] = Record{Offset: r.Offset, AtMs: r.At.UnixMilli(), Data: r.Data}
	}
	return records
}

// bridgeGap moves the state forward, by a snapshot or by peers, until the log has all records
// after it. It returns errTrimmed when neither is new enough.
func (f *Follower) bridgeGap(ctx context.Context, firstKept int64) error {
	if err := f.loadSnapshot(ctx); err != nil {
		return err
	}
	if f.Offset()+1 < firstKept {
		f.pullAny(ctx)
	}
	if f.Offset()+1 < firstKept {
		return merry.Prependf(errTrimmed, "state at %d, log starts at %d", f.Offset(), firstKept)
	}
	return nil
}
