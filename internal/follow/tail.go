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

// tailCheck is the time after which a host looks again whether it has to read
// the log.
const tailCheck = time.Second

// emptyReadPause keeps a log that does not wait for a record from being read in a
// tight loop.
const emptyReadPause = 100 * time.Millisecond

// errTrimmed says that records between the state and the log's first one are
// gone from the log.
var errTrimmed = errors.New("settings records were trimmed before they were read")

// bootstrap returns when the follower is ready or the context has ended. A peer
// comes first, because its state spares the log; the log then tells what is
// missing. A peer's state is enough while the log is out of reach.
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

// tail reads the log as long as it is this host's turn, or nothing was heard for
// so long that the spread between peers must have failed.
func (f *Follower) tail(ctx context.Context) {
	retry := f.retry()
	for ctx.Err() == nil {
		switch {
		case f.o.Peers.Tailer():
			f.poll(ctx, retry)
		case f.lagging():
			if err := f.readOnce(ctx, 0); err != nil {
				f.logFailure(err)
			}
			wait.For(ctx, jitter(f.o.MaxLag)) // all hosts come here while the log is away
		default:
			wait.For(ctx, tailCheck)
		}
	}
}

// poll does one long poll, and waits when that failed or came back at once.
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

func (f *Follower) lagging() bool {
	lag := f.Lag(f.o.Now())
	return lag < 0 || lag > f.o.MaxLag
}

// catchUp reads the log until nothing newer is in it.
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

// readOnce reads and applies one page of the log.
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
		return f.followEra(ctx, page, at.era)
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
	// What the page ended with was the newest when the log answered. That is
	// after start, so start understates how recent the state is.
	f.markCurrent(at.era, page.EndOffset-1, start)
	return nil
}

func recordsOf(page platform.Page) []Record {
	records := make([]Record, len(page.Records))
	for i, r := range page.Records {
		records[i] = Record{Offset: r.Offset, AtMs: r.At.UnixMilli(), Data: r.Data}
	}
	return records
}

// bridgeGap gets to a state from which the log still has all records.
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
