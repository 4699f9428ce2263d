package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
	"github.com/buckthorndock/buckthorndock/internal/core/placement"
)

// Report asks an engine for its load. The report's time is that of receipt less
// the age that the engine states.
func (c *Client) Report(ctx context.Context, address string) (placement.Report, error) {
	load, err := c.Load(ctx, address)
	if err != nil {
		return placement.Report{}, err
	}
	return reportOf(load, time.Now()), nil
}

func reportOf(l *engineapi.LoadReport, now time.Time) placement.Report {
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

// Target is an upstream to be watched.
type Target struct {
	Name     string
	Address  string // IP:port
	IsEngine bool   // else a plain service, of which only the port is tried
}

// Sink takes what a Watcher finds.
type Sink interface {
	ApplyReport(upstream string, report placement.Report)
	SetState(upstream string, s placement.State)
}

// WatchOptions configure a Watcher. Zero fields take the defaults.
type WatchOptions struct {
	Interval      time.Duration // between two looks at an upstream; 250 ms
	Timeout       time.Duration // of one look; 1 s
	SuspectMisses int           // timeouts in a row after which it is suspect; 2
}

// Defaults of WatchOptions.
const (
	DefaultWatchInterval = 250 * time.Millisecond
	DefaultWatchTimeout  = time.Second
	DefaultSuspectMisses = 2
)

// Watcher looks at upstreams in turn and tells what it finds. A refused
// connection means dead, silence means suspect, an answer means live.
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

// SetTargets makes the upstreams watched those of the list, until the context ends.
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

func (w *Watcher) start(ctx context.Context, t Target) {
	ctx, cancel := context.WithCancel(ctx)
	w.cancels[t] = cancel
	w.wg.Add(1)
	go func() {
		defer w.wg.Done()
		w.loop(ctx, t)
	}()
}

func (w *Watcher) loop(ctx context.Context, t Target) {
	ticker := time.NewTicker(w.opts.Interval)
	defer ticker.Stop()
	misses := 0
	for {
		err := w.look(ctx, t)
		if ctx.Err() != nil {
			return
		}
		misses = w.tell(t, err, misses)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// tell passes on a look's result and returns the misses in a row.
func (w *Watcher) tell(t Target, err error, misses int) int {
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

func (w *Watcher) look(ctx context.Context, t Target) error {
	ctx, cancel := context.WithTimeout(ctx, w.opts.Timeout)
	defer cancel()
	if !t.IsEngine {
		return tryPort(ctx, t.Address)
	}
	report, err := w.client.Report(ctx, t.Address)
	if err != nil {
		return err
	}
	w.sink.ApplyReport(t.Name, report)
	return nil
}

func tryPort(ctx context.Context, address string) error {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return classify(err)
	}
	return conn.Close()
}

// Wait waits until all loops have ended; the contexts given to Watch must be
// done.
func (w *Watcher) Wait() { w.wg.Wait() }
