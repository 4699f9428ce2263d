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
	pageRecords = 2000
	// searchFrom is the number of kept records from which on the window's start
	// is searched for instead of reading them all.
	searchFrom = 5000
)

// follow reads the stream until the partition is idle or the context ends.
func (c *combiner) follow(ctx context.Context) {
	for ctx.Err() == nil && !c.stopIfIdle() {
		err := c.readOn(ctx)
		if err == nil || ctx.Err() != nil {
			continue
		}
		c.setAway(err)
		wait.For(ctx, c.o.RetryEvery)
	}
}

func (c *combiner) setAway(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.away {
		c.o.Log.WithError(err).WithField("stream", c.stream).Warn("claim_log_away")
	}
	c.away = true
	logErrors.Inc()
	c.signal()
}

// readOn replays the window first, and then reads one page.
func (c *combiner) readOn(ctx context.Context) error {
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
	c.report(claim.Stats{}, replay.Stats())
	c.appliedAt = c.o.Now()
	c.away = false
	c.signal()
	return nil
}

// poll waits for the next records and settles what they decide.
func (c *combiner) poll(ctx context.Context, replay *claim.Replay) error {
	readCtx, cancel := context.WithTimeout(ctx, c.o.PollTimeout+c.o.LogTimeout)
	defer cancel()
	number, pause := c.beginRead(cancel)
	began := time.Now()
	page, err := c.log.Read(readCtx, c.stream, replay.Next(), pageRecords, pause)
	if err != nil {
		if pause > 0 && readCtx.Err() == context.Canceled {
			return nil // cut short by fail
		}
		return err
	}
	if page.Era != replay.Era() {
		return c.leaveEra(replay.Era(), page.Era)
	}
	c.apply(replay, page, number)
	if len(page.Records) == 0 && time.Since(began) < pause/2 {
		wait.For(ctx, c.o.BatchEvery) // a log that does not wait must not make us spin
	}
	return nil
}

var errEarlierEra = merry.Sentinel("the log answers in an earlier era")

// leaveEra drops the replay, so that the window is replayed in the log's present era: claims that
// were decided may be lost, and offsets stand for other records.
func (c *combiner) leaveEra(was, era int64) error {
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

// beginRead numbers a read and says how long it may wait. The cancel function is
// called by fail.
func (c *combiner) beginRead(cancel context.CancelFunc) (number int64, pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads++
	c.stopPoll = nil
	if len(c.unsure) > 0 || c.away {
		return c.reads, 0
	}
	c.stopPoll = cancel
	return c.reads, c.o.PollTimeout
}

func (c *combiner) apply(replay *claim.Replay, page platform.Page, read int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.away {
		c.o.Log.WithField("stream", c.stream).Info("claim_log_back")
		c.away = false
		c.signal()
	}
	before := replay.Stats()
	for _, r := range page.Records {
		c.settle(replay.Apply(input(r)))
		c.appliedAt = c.o.Now()
	}
	c.report(before, replay.Stats())
	if len(page.Records) == 0 || replay.Next() >= page.EndOffset {
		c.requeue(read)
	}
}

// report counts and logs what the replay could not use.
func (c *combiner) report(before, after claim.Stats) {
	if n := after.Undecodable - before.Undecodable; n > 0 {
		undecodable.Add(int(n))
		c.o.Log.WithField("stream", c.stream).WithField("records", n).Warn("claim_undecodable")
	}
	if n := after.Restarts - before.Restarts; n > 0 {
		restarts.Add(int(n))
		c.o.Log.WithField("stream", c.stream).Warn("claim_window_trimmed")
	}
	if n := after.TimeRegressions - before.TimeRegressions; n > 0 {
		c.o.Log.WithField("stream", c.stream).WithField("records", n).Warn("claim_log_time_backwards")
	}
}

func input(r platform.Record) claim.Input {
	return claim.Input{Offset: r.Offset, At: r.At, Data: r.Data}
}

// settle hands an event to the one who waits for it.
func (c *combiner) settle(ev claim.Event) {
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

// requeue appends again what a whole read, begun after the failed append, did
// not show. Should the first append still take effect, its ID is a repeat.
func (c *combiner) requeue(read int64) {
	rest := c.unsure[:0]
	for _, p := range c.unsure {
		switch {
		case p.settled:
		case p.errorAt < read:
			c.enqueue(p)
		default:
			rest = append(rest, p)
		}
	}
	c.unsure = rest
}

// replayWindow reads what counts for new claims. If part of it was trimmed, a
// mark is appended so that the end of the uncertain time can be told.
func (c *combiner) replayWindow(ctx context.Context) (*claim.Replay, error) {
	head, err := c.readNow(ctx, 1, 1)
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
	if err := c.mark(ctx, replay); err != nil {
		return nil, err
	}
	_, err = c.catchUp(ctx, replay, next)
	if err == nil && replay.Clock().IsZero() {
		err = merry.New("own mark is not in the log yet")
	}
	return replay, err
}

// catchUp applies all records from an offset on and returns the stream's next.
func (c *combiner) catchUp(ctx context.Context, replay *claim.Replay, from int64) (int64, error) {
	for {
		page, err := c.readNow(ctx, from, pageRecords)
		if err != nil {
			return 0, err
		}
		if page.Era != replay.Era() {
			return 0, merry.Errorf("stream %s went from era %d to %d while it was replayed", c.stream, replay.Era(), page.Era)
		}
		for _, r := range page.Records {
			replay.Apply(input(r))
			from = r.Offset + 1
		}
		if len(page.Records) == 0 || from >= page.EndOffset {
			return page.EndOffset, nil
		}
	}
}

// windowStart returns the last offset that is old enough for all later claims
// to be certain, or the first kept one.
func (c *combiner) windowStart(ctx context.Context, head platform.Page) (int64, error) {
	first, count := head.FirstKept, head.EndOffset-head.FirstKept
	if count < searchFrom {
		return max(first, 1), nil
	}
	last, err := c.timeAt(ctx, head.EndOffset-1)
	if err != nil {
		return 0, err
	}
	oldest := last.Add(-c.o.Replay.Window() - time.Second)
	var failed error
	young := sort.Search(int(count), func(i int) bool {
		at, err := c.timeAt(ctx, first+int64(i))
		if err != nil {
			failed = err
		}
		return failed != nil || at.After(oldest)
	})
	return first + int64(max(young-1, 0)), failed
}

func (c *combiner) timeAt(ctx context.Context, offset int64) (time.Time, error) {
	page, err := c.readNow(ctx, offset, 1)
	if err != nil {
		return time.Time{}, err
	}
	if len(page.Records) == 0 {
		return time.Time{}, merry.Errorf("stream %s has no record at %d", c.stream, offset)
	}
	return page.Records[0].At, nil
}

func (c *combiner) readNow(ctx context.Context, from int64, limit int) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, c.o.LogTimeout)
	defer cancel()
	return c.log.Read(ctx, c.stream, from, limit, 0)
}

// markNow appends a mark with what is known of the log's era. In a later era than the first, the
// window is replayed for it: without a mark of the era in it, verdicts would be uncertain.
func (c *combiner) markNow(ctx context.Context) error {
	head, err := c.readNow(ctx, 1, 1)
	if err != nil {
		return err
	}
	if head.Era != platform.NoEra && !c.open(ctx) {
		return merry.New("the window is not replayed")
	}
	c.mu.Lock()
	replay := c.replay
	c.mu.Unlock()
	return c.mark(ctx, replay)
}

// mark appends a record that shows the log's time, and since when it is in the era of a replay;
// nil: that is not known.
func (c *combiner) mark(ctx context.Context, replay *claim.Replay) error {
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
