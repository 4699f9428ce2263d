package claims

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/buckthorndock/buckthorndock/internal/core/claim"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

const (
	maxReleases    = 10_000 // waiting to be written
	releaseWorkers = 8
	maxReleaseWait = 15 * time.Second // between two tries of one release
)

// releaser writes the releases of abandoned and released claims as soon as the log
// can be reached. If a release is lost, the key stays held; no request runs twice.
type releaser struct {
	s    *Service
	wake chan struct{}

	mu    sync.Mutex
	tasks []releaseTask
}

// releaseTask is a release that is not in the log yet.
type releaseTask struct {
	claim     claim.Claim
	until     time.Time     // from then on the claim is out of the window and needs no release
	notBefore time.Time     // of the next try
	backOff   time.Duration // wait after the last failed try
}

func newReleaser(s *Service) *releaser {
	return &releaser{s: s, wake: make(chan struct{}, 1)}
}

// add queues the release of a claim whose permit is claim.Released or claim.Dead.
func (r *releaser) add(cl claim.Claim, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.tasks) >= maxReleases {
		r.tasks = r.tasks[1:]
		releasesDropped.Inc()
	}
	r.tasks = append(r.tasks, releaseTask{claim: cl, until: now.Add(r.s.o.Replay.Window())})
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run writes queued releases until the context ends.
func (r *releaser) run(ctx context.Context) {
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return
		}
		for left := r.tryAll(ctx); left > 0; left = r.tryAll(ctx) {
			if !wait.For(ctx, r.s.o.RetryEvery) {
				return
			}
		}
	}
}

// tryAll tries each due task once and returns how many tasks are left.
func (r *releaser) tryAll(ctx context.Context) int {
	r.mu.Lock()
	tasks := r.tasks
	r.tasks = nil
	r.mu.Unlock()
	var g errgroup.Group
	g.SetLimit(releaseWorkers)
	for _, t := range tasks {
		g.Go(func() error {
			if r.s.o.Now().Before(t.notBefore) || !r.writeRelease(ctx, t.claim) {
				r.requeue(t)
			}
			return nil
		})
	}
	_ = g.Wait() // the tasks return no errors
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.tasks)
}

// requeue keeps a task for a later try, with a growing back-off, until its time is
// over.
func (r *releaser) requeue(t releaseTask) {
	now := r.s.o.Now()
	if now.After(t.until) {
		releasesDropped.Inc()
		return
	}
	if now.After(t.notBefore) {
		t.backOff = min(max(2*t.backOff, r.s.o.RetryEvery), maxReleaseWait)
		t.notBefore = now.Add(t.backOff)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tasks = append(r.tasks, t)
}

// writeRelease reports whether the release is in the log or none is needed.
func (r *releaser) writeRelease(ctx context.Context, cl claim.Claim) bool {
	args := ReleaseArgs{
		Customer:    cl.Customer,
		Key:         cl.Key,
		ID:          cl.ID,
		Host:        cl.Host,
		Incarnation: cl.Incarnation,
	}
	for _, ref := range r.s.combinersFor(claim.Partition(cl.Customer, cl.Key)) {
		reply, err := r.writeReleaseAt(ctx, ref, args)
		if err == nil && reply.State == StateReleased {
			releasesWritten.Inc()
			return true
		}
	}
	return false
}

// writeReleaseAt has one combiner write the release.
func (r *releaser) writeReleaseAt(ctx context.Context, ref PeerRef, args ReleaseArgs) (ReleaseReply, error) {
	ctx, cancel := context.WithTimeout(ctx, r.s.o.CallTimeout)
	defer cancel()
	if ref.Host == r.s.o.Host {
		return r.s.combiner(args.Customer, args.Key).release(ctx, args), nil
	}
	args.Wait = callWait(ctx)
	var reply ReleaseReply
	if err := r.s.peers.Call(ctx, ref.Address, ServiceName+".Release", args, &reply); err != nil {
		return ReleaseReply{}, err
	}
	return reply, nil
}
