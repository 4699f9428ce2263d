package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"
)

// Bounds of repeated cancels. What is not confirmed within cancelFor is left to
// the engine's owner, which finds it in the engine's books.
const (
	cancelFirst = 50 * time.Millisecond
	cancelMost  = 2 * time.Second
	cancelFor   = 10 * time.Minute
)

// Canceller repeats cancels until the engine has confirmed them, also after the
// caller has gone.
type Canceller struct {
	client *Client
	log    *logrus.Entry
	ctx    context.Context
	stop   context.CancelFunc
	wg     sync.WaitGroup
}

// NewCanceller returns a Canceller; Close ends it.
func NewCanceller(client *Client, log *logrus.Entry) *Canceller {
	ctx, stop := context.WithCancel(context.Background())
	return &Canceller{client: client, log: log, ctx: ctx, stop: stop}
}

// Cancel starts to cancel an attempt and returns at once.
func (c *Canceller) Cancel(address, requestID string, attempt int) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		c.repeat(address, requestID, attempt)
	}()
}

func (c *Canceller) repeat(address, requestID string, attempt int) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = cancelFirst
	pause.MaxInterval = cancelMost
	known, err := backoff.Retry(c.ctx, func() (bool, error) {
		return c.client.Cancel(c.ctx, address, requestID, attempt)
	}, backoff.WithBackOff(pause), backoff.WithMaxElapsedTime(cancelFor))
	log := c.log.WithFields(logrus.Fields{"request_id": requestID, "attempt": attempt, "address": address})
	if err != nil {
		log.WithError(err).Warn("cancel_unconfirmed")
		return
	}
	log.WithField("known", known).Debug("cancel_confirmed")
}

// Close waits for cancels under way, up to a time, and gives the rest up.
func (c *Canceller) Close(wait time.Duration) {
	done := make(chan struct{})
	go func() {
		c.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(wait):
	}
	c.stop()
	<-done
}
