package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
	"github.com/buckthorndock/buckthorndock/internal/core/placement"
)

// Report reads an engine's load report. Its time is that of receipt minus the age
// that the engine states.
func (c *Client) Report(ctx context.Context, address string) (placement.Report, error) {
	load, err := c.Load(ctx, address)
	if err != nil {
		return placement.Report{}, err
	}
	return reportFrom(load, time.Now()), nil
}

func reportFrom(l *engineapi.LoadReport, now time.Time) placement.Report {
	return placement.Report{
		Incarnation:   placement.ShortIncarnation(l.Incarnation),
		Seq:           l.Seq,
		Taken:         now.Add(-time.Duration(l.AgeMs) * time.Millisecond),
		Step:          time.Duration(l.StepMs * float64(time.Millisecond)),
		PrefillRate:   l.PrefillTokensPerS,
		DecodeRate:    l.DecodeTokensPerS,
		Queued:        l.Queued,
		QueuedPrefill: l.QueuedPrefillTokens,
		Running:       l.Running,
		MemoryTotal:   l.MemoryTotalTokens,
		MemoryUsed:    l.MemoryUsedTokens,
		BlockTokens:   l.BlockTokens,
		Models:        l.Models,
		Leaving:       l.Leaving,
	}
}

// Target is an upstream to watch.
type Target struct {
	Name     string
	Address  string // IP:port
	IsEngine bool   // else a plain service, which is only connected to
}

// Sink receives the load reports and states that a Watcher finds.
type Sink interface {
	ApplyReport(upstream string, report placement.Report)
	SetState(upstream string, s placement.State)
}

// WatchOptions configure a Watcher. Zero fields take the defaults.
type WatchOptions struct {
	Interval      time.Duration // between two checks of an upstream; 250 ms
	Timeout       time.Duration // of one check; 1 s
	SuspectMisses int           // failed checks in a row after which an upstream is suspect; 2
}

// Defaults of WatchOptions.
const (
	DefaultWatchInterval = 250 * time.Millisecond
	DefaultWatchTimeout  = time.Second
	DefaultSuspectMisses = 2
)

// Watcher checks each upstream periodically and reports its state to a Sink: dead if
// no connection can be opened, suspect after repeated failures on an open one, live
// after an answer.
type Watcher struct {
	client *Client
	sink   Sink
	opts   WatchOptions

	mu      sync.Mutex
	cancels map[Target]context.CancelFunc
	wg      sync.WaitGroup
}

// NewWatcher returns a Watcher without upstreams.
func NewWatcher(client *Client, sink Sink, opts WatchOptions) *Watcher {
	if opts.Interval == 0 {
		opts.Interval = DefaultWatchInterval
	}
	if opts.Timeout == 0 {
		opts.Timeout = DefaultWatchTimeout
	}
	if opts.SuspectMisses == 0 {
		opts.SuspectMisses = DefaultSuspectMisses
	}
	return &Watcher{client: client, sink: sink, opts: opts, cancels: map[Target]context.CancelFunc{}}
}

// SetTargets replaces the set of watched upstreams. They are watched until the
// context ends.
func (w *Watcher) SetTargets(ctx context.Context, targets []Target) {
	wanted := map[Target]bool{}
	for _, t := range targets {
		wanted[t] = true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for t, cancel := range w.cancels {
		if !wanted[t] {
			cancel()
			delete(w.cancels, t)
		}
	}
	for t := range wanted {
		if w.cancels[t] == nil {
			w.start(ctx, t)
		}
	}
}

// start starts the goroutine that watches t; the caller holds w.mu.
func (w *Watcher) start(ctx context.Context, t Target) {
	ctx, cancel := context.WithCancel(ctx)
	w.cancels[t] = cancel
	w.wg.Add(1)
	go func() {
		defer w.wg.Done()
		w.watch(ctx, t)
	}()
}

// watch checks t every Interval until the context ends.
func (w *Watcher) watch(ctx context.Context, t Target) {
	ticker := time.NewTicker(w.opts.Interval)
	defer ticker.Stop()
	misses := 0
	for {
		err := w.check(ctx, t)
		if ctx.Err() != nil {
			return
		}
		misses = w.reportState(t, err, misses)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// reportState reports the state that follows from a check's result, and returns the
// number of failed checks in a row.
func (w *Watcher) reportState(t Target, err error, misses int) int {
	if err == nil {
		w.sink.SetState(t.Name, placement.Live)
		return 0
	}
	if IsNotStarted(err) {
		w.sink.SetState(t.Name, placement.Dead)
		return 0
	}
	misses++
	if misses >= w.opts.SuspectMisses {
		w.sink.SetState(t.Name, placement.Suspect)
	}
	return misses
}

// check reads the load of an engine and applies it, or connects to a plain service.
func (w *Watcher) check(ctx context.Context, t Target) error {
	ctx, cancel := context.WithTimeout(ctx, w.opts.Timeout)
	defer cancel()
	if !t.IsEngine {
		return w.client.checkPort(ctx, t.Address)
	}
	report, err := w.client.Report(ctx, t.Address)
	if err != nil {
		return err
	}
	w.sink.ApplyReport(t.Name, report)
	return nil
}

// checkPort opens a connection to an address and closes it.
func (c *Client) checkPort(ctx context.Context, address string) error {
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return classify(err)
	}
	return conn.Close()
}

// Wait waits until all checks have ended; the contexts given to SetTargets must be
// done.
func (w *Watcher) Wait() { w.wg.Wait() }
