package keyed

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// storeSource is the name of the store in logs, beside the hosts of other daemons.
const storeSource = "store"

// attempts records which sources a Follower waits for, and how its last attempts ended. The zero
// value is ready for use; it is safe for concurrent use.
type attempts struct {
	mu    sync.Mutex
	open  []attempt // in the order in which they began
	ended []string  // the last ones, oldest first
}

// attempt is a request to one source that has no answer yet.
type attempt struct {
	source string
	began  time.Time
}

// Limits of what a log line says about attempts.
const (
	maxEndedAttempts = 8
	maxNamedAttempts = 8
)

// outcome is how an attempt ended.
type outcome string

const (
	answered outcome = "answered" // also with data that is not fresh
	failed   outcome = "failed"
	silent   outcome = "silent" // no answer in time
	canceled outcome = "canceled"
)

// begin records that a source is asked. The returned function records how that ended.
func (a *attempts) begin(source string) (end func(outcome)) {
	began := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open = append(a.open, attempt{source, began})
	return func(o outcome) {
		a.mu.Lock()
		defer a.mu.Unlock()
		i := slices.Index(a.open, attempt{source, began})
		a.open = slices.Delete(a.open, i, i+1)
		a.ended = append(a.ended, fmt.Sprintf("%s:%s:%d", source, o, time.Since(began).Milliseconds()))
		a.ended = a.ended[max(0, len(a.ended)-maxEndedAttempts):]
	}
}

// outcomeOf returns how an attempt that returned an error, or none, within a context ended.
func outcomeOf(ctx context.Context, err error) outcome {
	switch {
	case err == nil:
		return answered
	case errors.Is(err, context.DeadlineExceeded):
		return silent
	case ctx.Err() != nil:
		return canceled
	}
	return failed
}

// isOpen reports whether a request to a source is open.
func (a *attempts) isOpen(source string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.ContainsFunc(a.open, func(o attempt) bool { return o.source == source })
}

// waitingSince returns when the oldest attempt that has no answer yet began, zero if there is none.
func (a *attempts) waitingSince() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.open) == 0 {
		return time.Time{}
	}
	return a.open[0].began
}

// fields returns the sources that have not answered, each with the time since it was asked in ms,
// and the last attempts that ended.
func (a *attempts) fields() logrus.Fields {
	a.mu.Lock()
	defer a.mu.Unlock()
	var open []string
	for _, o := range a.open[:min(len(a.open), maxNamedAttempts)] {
		open = append(open, fmt.Sprintf("%s:%d", o.source, time.Since(o.began).Milliseconds()))
	}
	return logrus.Fields{"waits_for": strings.Join(open, ","), "waits": len(a.open), "ended": strings.Join(a.ended, ",")}
}

// watchAge logs when the data has not been renewed for Options.OldAfter. The caller holds the lock.
func (f *Follower) watchAge() {
	if f.opts.OldAfter <= 0 {
		return
	}
	left := f.opts.OldAfter - time.Since(f.state.at)
	if left <= 0 {
		return // what was read is old itself
	}
	if f.old {
		f.old = false
		f.log.WithFields(logrus.Fields{"age_ms": f.oldest.Milliseconds(), "from": sourceName(f.source)}).Info("stream_current")
	}
	if f.oldTimer == nil {
		f.oldTimer = time.AfterFunc(left, f.logOld)
		return
	}
	f.oldTimer.Reset(left)
}

// logOld logs that the data is old: how old it is, from which source, and which sources this daemon
// waits for.
func (f *Follower) logOld() {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := time.Since(f.state.at)
	if f.old || age < f.opts.OldAfter {
		return
	}
	f.old = true
	streamOld(f.opts.Stream).Inc()
	f.log.WithFields(f.attempts.fields()).WithFields(logrus.Fields{
		"age_ms": age.Milliseconds(), "from": sourceName(f.source), "next": f.state.next,
	}).Warn("stream_old")
}

// sourceName returns the name of a Batch.From in logs.
func sourceName(from string) string {
	if from == fromStore {
		return storeSource
	}
	return from
}

// registerAge registers the gauges of a stream: the age of its data, and how long its Follower has
// waited for the source that it asked first.
func (f *Follower) registerAge() {
	since := func(at time.Time) float64 {
		if at.IsZero() {
			return 0
		}
		return time.Since(at).Seconds()
	}
	metrics.GetOrCreateGauge(`buckthorndock_stream_age_seconds{stream="`+f.opts.Stream+`"}`, func() float64 {
		f.mu.Lock()
		defer f.mu.Unlock()
		return since(f.state.at)
	})
	metrics.GetOrCreateGauge(`buckthorndock_stream_wait_seconds{stream="`+f.opts.Stream+`"}`, func() float64 {
		return since(f.attempts.waitingSince())
	})
}

func streamOld(stream string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`buckthorndock_stream_old_total{stream="` + stream + `"}`)
}
