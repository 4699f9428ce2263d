package claims

import (
	"context"
	"sort"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/claim"
	"github.com/buckthorndock/buckthorndock/internal/platform"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

const (
	pageRecords = 2000 // read from the log at once
	// minSearchRecords is the number of retained records from which on the start of
	// the window is found by binary search instead of by reading them all.
	minSearchRecords = 5000
)

// follow reads the stream until the partition is idle or the context ends.
func (c *combiner) follow(ctx context.Context) {
	for ctx.Err() == nil && !c.stopIfIdle() {
		err := c.readNext(ctx)
		if err == nil || ctx.Err() != nil {
			continue
		}
		c.markLogUnavailable(err)
		wait.For(ctx, c.o.RetryEvery)
	}
}

// markLogUnavailable records a failed read and wakes the callers of ensureReady.
func (c *combiner) markLogUnavailable(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.logUnavailable {
		c.o.Log.WithError(err).WithField("stream", c.stream).Warn("claim_log_unavailable")
	}
	c.logUnavailable = true
	logErrors.Inc()
	c.signal()
}

// readNext replays the window if there is no replay yet, and reads one page
// otherwise.
func (c *combiner) readNext(ctx context.Context) error {
	c.mu.Lock()
	replay := c.replay
	c.mu.Unlock()
	if replay != nil {
		return c.poll(ctx, replay)
	}
	replay, err := c.replayWindow(ctx)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replay = replay
	c.reportStats(claim.Stats{}, replay.Stats())
	c.appliedAt = c.o.Now()
	c.logUnavailable = false
	c.signal()
	return nil
}

// poll waits for the next records and delivers the events that they cause.
func (c *combiner) poll(ctx context.Context, replay *claim.Replay) error {
	readCtx, cancel := context.WithTimeout(ctx, c.o.PollTimeout+c.o.LogTimeout)
	defer cancel()
	number, pause := c.beginRead(cancel)
	began := time.Now()
	page, err := c.log.Read(readCtx, c.stream, replay.Next(), pageRecords, pause)
	if err != nil {
		if pause > 0 && readCtx.Err() == context.Canceled {
			return nil // cancelled by handleAppendError
		}
		return err
	}
	if page.Era != replay.Era() {
		return c.handleEraChange(replay.Era(), page.Era)
	}
	c.apply(replay, page, number)
	if len(page.Records) == 0 && time.Since(began) < pause/2 {
		wait.For(ctx, c.o.BatchEvery) // avoids a busy loop if the log returns without waiting
	}
	return nil
}

var errEarlierEra = merry.Sentinel("the log answers in an earlier era")

// handleEraChange drops the replay, so that the window is replayed in the log's
// new era: decided claims may be lost, and offsets may refer to other records. An
// earlier era is an error.
func (c *combiner) handleEraChange(was, era int64) error {
	if era < was {
		return merry.Wrap(errEarlierEra)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.o.Log.WithField("stream", c.stream).WithField("was", was).WithField("era", era).Warn("claim_log_restored")
	c.replay = nil
	c.signal()
	return nil
}

// beginRead returns the number of a new read and how long it may wait for records.
// handleAppendError calls the cancel function.
func (c *combiner) beginRead(cancel context.CancelFunc) (number int64, pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads++
	c.cancelRead = nil
	if len(c.unconfirmed) > 0 || c.logUnavailable {
		return c.reads, 0
	}
	c.cancelRead = cancel
	return c.reads, c.o.PollTimeout
}

// apply applies a page's records to the replay and delivers the events; read is the
// number of the read that returned the page.
func (c *combiner) apply(replay *claim.Replay, page platform.Page, read int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.logUnavailable {
		c.o.Log.WithField("stream", c.stream).Info("claim_log_available")
		c.logUnavailable = false
		c.signal()
	}
	before := replay.Stats()
	for _, r := range page.Records {
		c.deliver(replay.Apply(replayInput(r)))
		c.appliedAt = c.o.Now()
	}
	c.reportStats(before, replay.Stats())
	if len(page.Records) == 0 || replay.Next() >= page.EndOffset {
		c.requeue(read)
	}
}

// reportStats counts and logs the exceptional records that the replay has applied
// between two readings of its statistics.
func (c *combiner) reportStats(before, after claim.Stats) {
	if n := after.Undecodable - before.Undecodable; n > 0 {
		undecodable.Add(int(n))
		c.o.Log.WithField("stream", c.stream).WithField("records", n).Warn("claim_undecodable")
	}
	if n := after.Restarts - before.Restarts; n > 0 {
		restarts.Add(int(n))
		c.o.Log.WithField("stream", c.stream).Warn("claim_window_trimmed")
	}
	if n := after.TimeRegressions - before.TimeRegressions; n > 0 {
		c.o.Log.WithField("stream", c.stream).WithField("records", n).Warn("claim_log_time_regressed")
	}
}

func replayInput(r platform.Record) claim.Input {
	return claim.Input{Offset: r.Offset, At: r.At, Data: r.Data}
}

// deliver sends an event to the caller that waits for it, if any.
func (c *combiner) deliver(ev claim.Event) {
	var p *pending
	switch ev.Kind {
	case claim.EventDecided:
		p = c.claims[ev.Claim.ID]
	case claim.EventReleased:
		p = c.releases[ev.Offset]
	}
	if p == nil || p.settled {
		return
	}
	p.settled = true
	p.done <- ev
}

// requeue queues again the unconfirmed records that a read to the end of the log,
// begun after the failed append, did not return. Should the first append still take
// effect, the later of the two records is a repeat by its ID.
func (c *combiner) requeue(read int64) {
	rest := c.unconfirmed[:0]
	for _, p := range c.unconfirmed {
		switch {
		case p.settled:
		case p.failedAtRead < read:
			c.enqueue(p)
		default:
			rest = append(rest, p)
		}
	}
	c.unconfirmed = rest
}

// replayWindow replays the records that matter for new claims. If some were trimmed,
// it appends a mark, which shows when verdicts become certain again.
func (c *combiner) replayWindow(ctx context.Context) (*claim.Replay, error) {
	head, err := c.readPage(ctx, 1, 1)
	if err != nil {
		return nil, err
	}
	from, err := c.windowStart(ctx, head)
	if err != nil {
		return nil, err
	}
	replay := claim.NewReplayIn(c.o.Replay, head.Era)
	next, err := c.catchUp(ctx, replay, from)
	if err != nil {
		return nil, err
	}
	unseen := replay.Clock().IsZero() && next > 1
	if !unseen && replay.IsCertain() {
		return replay, nil
	}
	if err := c.appendMark(ctx, replay); err != nil {
		return nil, err
	}
	_, err = c.catchUp(ctx, replay, next)
	if err == nil && replay.Clock().IsZero() {
		err = merry.New("the appended mark is not readable in the log yet")
	}
	return replay, err
}

// catchUp applies all records from an offset on and returns the next offset of the
// stream.
func (c *combiner) catchUp(ctx context.Context, replay *claim.Replay, from int64) (int64, error) {
	for {
		page, err := c.readPage(ctx, from, pageRecords)
		if err != nil {
			return 0, err
		}
		if page.Era != replay.Era() {
			return 0, merry.Errorf("stream %s changed from era %d to %d during replay", c.stream, replay.Era(), page.Era)
		}
		for _, r := range page.Records {
			replay.Apply(replayInput(r))
			from = r.Offset + 1
		}
		if len(page.Records) == 0 || from >= page.EndOffset {
			return page.EndOffset, nil
		}
	}
}

// windowStart returns the last offset old enough that a replay from it makes the
// verdicts on new claims certain, or the first retained offset.
func (c *combiner) windowStart(ctx context.Context, head platform.Page) (int64, error) {
	first, count := head.FirstKept, head.EndOffset-head.FirstKept
	if count < minSearchRecords {
		return max(first, 1), nil
	}
	last, err := c.timeAt(ctx, head.EndOffset-1)
	if err != nil {
		return 0, err
	}
	oldest := last.Add(-c.o.Replay.Window() - time.Second)
	var failed error
	firstInWindow := sort.Search(int(count), func(i int) bool {
		at, err := c.timeAt(ctx, first+int64(i))
		if err != nil {
			failed = err
		}
		return failed != nil || at.After(oldest)
	})
	return first + int64(max(firstInWindow-1, 0)), failed
}

// timeAt returns the log time of the record at an offset.
func (c *combiner) timeAt(ctx context.Context, offset int64) (time.Time, error) {
	page, err := c.readPage(ctx, offset, 1)
	if err != nil {
		return time.Time{}, err
	}
	if len(page.Records) == 0 {
		return time.Time{}, merry.Errorf("stream %s has no record at offset %d", c.stream, offset)
	}
	return page.Records[0].At, nil
}

// readPage reads up to limit records without waiting for new ones.
func (c *combiner) readPage(ctx context.Context, from int64, limit int) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, c.o.LogTimeout)
	defer cancel()
	return c.log.Read(ctx, c.stream, from, limit, 0)
}

// refreshMark appends a mark with the log's era and its start, if known. In any era
// but the first it replays the window for that: without a mark of the era in the
// window, verdicts would be uncertain.
func (c *combiner) refreshMark(ctx context.Context) error {
	head, err := c.readPage(ctx, 1, 1)
	if err != nil {
		return err
	}
	if head.Era != platform.NoEra && !c.ensureReady(ctx) {
		return merry.New("the window has not been replayed")
	}
	c.mu.Lock()
	replay := c.replay
	c.mu.Unlock()
	return c.appendMark(ctx, replay)
}

// appendMark appends a record that shows the log's time and, if replay is not nil,
// the era of the replay and since when the log is in it.
func (c *combiner) appendMark(ctx context.Context, replay *claim.Replay) error {
	m := claim.Mark{Host: c.o.Host}
	if replay != nil {
		m.Era = replay.Era()
	}
	if replay != nil && !replay.EraStart().IsZero() {
		m.SinceMs = replay.EraStart().UnixMilli()
	}
	data, err := claim.Encode(claim.Record{Mark: &m})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.o.LogTimeout)
	defer cancel()
	_, err = c.log.Append(ctx, c.stream, [][]byte{data})
	return err
}
