package claims

import (
	"context"
	"github.com/buckthorndock/buckthorndock/internal/wait"
	"time"
)

// appendBatches writes what is queued, one append at a time: soon when the
// partition was idle, at most once per BatchEvery when it is busy.
func (c *combiner) appendBatches(ctx context.Context, wake <-chan struct{}) {
	var last time.Time
	for {
		select {
		case <-wake:
		case <-ctx.Done():
			return
		}
		if !wait.For(ctx, c.pause(last)) {
			return
		}
		last = c.o.Now()
		if batch := c.take(); len(batch) > 0 {
			c.append(ctx, batch)
		}
	}
}

func (c *combiner) pause(last time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Now()
	return max(c.o.BatchDelay, last.Add(c.o.BatchEvery).Sub(now), c.blocked.Sub(now))
}

// take returns the next batch without what nobody waits for any longer.
func (c *combiner) take() []*pending {
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
		c.fail(batch, err)
	}
}

// fail keeps a batch whose append failed, since it may have taken effect, and
// makes follow look for it now.
func (c *combiner) fail(batch []*pending, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	logErrors.Inc()
	c.o.Log.WithError(err).WithField("stream", c.stream).WithField("records", len(batch)).Warn("claim_append_failed")
	for _, p := range batch {
		p.errorAt = c.reads
	}
	c.unsure = append(c.unsure, batch...)
	c.blocked = c.o.Now().Add(c.o.RetryEvery)
	if c.stopPoll != nil {
		c.stopPoll()
	}
}
