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

// releaser writes the releases of claims that were given up, as soon as the
// log can be reached. A lost release costs a held key, never a second run.
type releaser struct {
	s    *Service
	wake chan struct{}

	mu    sync.Mutex
	tasks []releaseTask
}

type releaseTask struct {
	claim claim.Claim
	until time.Time // the claim is no longer remembered, or can no longer hold
	next  time.Time // not tried before it
	wait  time.Duration
}

func newReleaser(s *Service) *releaser {
	return &releaser{s: s, wake: make(chan struct{}, 1)}
}

// add queues the release of a claim whose permit is Released or Dead.
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

func (r *releaser) run(ctx context.Context) {
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return
		}
		for left := r.round(ctx); left > 0; left = r.round(ctx) {
			if !wait.For(ctx, r.s.o.RetryEvery) {
				return
			}
		}
	}
}

// round tries each task once and returns how many are left.
func (r *releaser) round(ctx context.Context) int {
	r.mu.Lock()
	tasks := r.tasks
	r.tasks = nil
	r.mu.Unlock()
	var g errgroup.Group
	g.SetLimit(releaseWorkers)
	for _, t := range tasks {
		g.Go(func() error {
			if r.s.o.Now().Before(t.next) || !r.write(ctx, t.claim) {
				r.keep(t)
			}
			return nil
		})
	}
	_ = g.Wait() // the tasks return no errors
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.tasks)
}

func (r *releaser) keep(t releaseTask) {
	now := r.s.o.Now()
	if now.After(t.until) {
		releasesDropped.Inc()
		return
	}
	if now.After(t.next) {
		t.wait = min(max(2*t.wait, r.s.o.RetryEvery), maxReleaseWait)
		t.next = now.Add(t.wait)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tasks = append(r.tasks, t)
}

// write reports whether the release stands in the log, or needs not.
func (r *releaser) write(ctx context.Context, cl claim.Claim) bool {
	args := ReleaseArgs{
		Customer:    cl.Customer,
		Key:         cl.Key,
		ID:          cl.ID,
		Host:        cl.Host,
		Incarnation: cl.Incarnation,
	}
	for _, ref := range r.s.route(claim.Partition(cl.Customer, cl.Key)) {
		reply, err := r.writeAt(ctx, ref, args)
		if err == nil && reply.State == StateReleased {
			releasesWritten.Inc()
			return true
		}
	}
	return false
}

func (r *releaser) writeAt(ctx context.Context, ref PeerRef, args ReleaseArgs) (ReleaseReply, error) {
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
