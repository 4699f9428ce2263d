package claims

import (
	"context"
	"github.com/buckthorndock/buckthorndock/internal/wait"
	"time"
)

// appendBatches writes the queued records, one append at a time: after BatchDelay
// when the partition was idle, at most once per BatchEvery when it is busy.
func (c *combiner) appendBatches(ctx context.Context, wake <-chan struct{}) {
	var last time.Time
	for {
		select {
		case <-wake:
		case <-ctx.Done():
			return
		}
		if !wait.For(ctx, c.appendDelay(last)) {
			return
		}
		last = c.o.Now()
		if batch := c.nextBatch(); len(batch) > 0 {
			c.append(ctx, batch)
		}
	}
}

// appendDelay returns the wait before the next append; last is when the previous
// one started.
func (c *combiner) appendDelay(last time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Now()
	return max(c.o.BatchDelay, last.Add(c.o.BatchEvery).Sub(now), c.blockedUntil.Sub(now))
}

// nextBatch takes up to MaxBatch records off the queue, skipping those whose
// caller no longer waits.
func (c *combiner) nextBatch() []*pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch []*pending
	n := 0
	for ; n < len(c.queue) && len(batch) < c.o.MaxBatch; n++ {
		if !c.queue[n].settled {
			batch = append(batch, c.queue[n])
		}
	}
	c.queue = c.queue[n:]
	if len(c.queue) > 0 {
		c.wakeUp()
	}
	return batch
}

// append writes a batch to the log in one append.
func (c *combiner) append(ctx context.Context, batch []*pending) {
	records := make([][]byte, len(batch))
	for i, p := range batch {
		records[i] = p.data
	}
	appendCtx, cancel := context.WithTimeout(ctx, c.o.LogTimeout)
	defer cancel()
	appends.Inc()
	appendedRecords.Add(len(batch))
	_, err := c.log.Append(appendCtx, c.stream, records)
	if err != nil && ctx.Err() == nil {
		c.handleAppendError(batch, err)
	}
}

// handleAppendError keeps a batch whose append failed, since the records may be in
// the log all the same, and cancels the waiting read so that follow reads for them
// at once.
func (c *combiner) handleAppendError(batch []*pending, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	logErrors.Inc()
	c.o.Log.WithError(err).WithField("stream", c.stream).WithField("records", len(batch)).Warn("claim_append_failed")
	for _, p := range batch {
		p.failedAtRead = c.reads
	}
	c.unconfirmed = append(c.unconfirmed, batch...)
	c.blockedUntil = c.o.Now().Add(c.o.RetryEvery)
	if c.cancelRead != nil {
		c.cancelRead()
	}
}
