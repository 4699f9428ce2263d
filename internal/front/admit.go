package front

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/admission"
	"github.com/buckthorndock/buckthorndock/internal/core/placement"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
	"github.com/buckthorndock/buckthorndock/internal/gate"
	"github.com/buckthorndock/buckthorndock/internal/router"
)

// Longest estimated wait on an engine with which a request is still sent there.
// What would wait longer stays in this daemon's queue, where customers are served
// in fair turns and what is late is refused without engine time. Urgent requests
// always go: the engine serves them first.
const (
	engineWaitNormal = 200 * time.Millisecond
	engineWaitBulk   = 100 * time.Millisecond
)

// kickEvery is the least time between two looks at the queues after capacity may
// have grown.
const kickEvery = 2 * time.Millisecond

// waiting holds the jobs that ask the gate for a place, and the place found.
type waiting struct {
	mu   sync.Mutex
	jobs map[string]*waitingJob // by request id
}

type waitingJob struct {
	job      *job
	decision *placement.Decision // noted with the router, nil when none was taken
}

func newWaiting() *waiting { return &waiting{jobs: map[string]*waitingJob{}} }

func (w *waiting) add(j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[j.req.ID] = &waitingJob{job: j}
}

func (w *waiting) get(id string) *waitingJob {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[id]
}

// take removes a job and returns the place that was found for it, if any.
func (w *waiting) take(id string) *placement.Decision {
	w.mu.Lock()
	defer w.mu.Unlock()
	wj := w.jobs[id]
	delete(w.jobs, id)
	if wj == nil {
		return nil
	}
	return wj.decision
}

// admit asks the gate for the right to work on a job.
func (s *Server) admit(ctx context.Context, j *job) (*gate.Ticket, *request.Refusal) {
	s.waiting.add(j)
	chain := make([]admission.Node, len(j.customer.Limits))
	for i, n := range j.customer.Limits {
		chain[i] = admission.Node{Name: n.Name, Limits: n.Limits}
	}
	ticket, refusal := s.opts.Gate.Admit(ctx, j.req, chain, j.customer.Weight, j.pool.Name)
	j.first = s.waiting.take(j.req.ID)
	if refusal != nil {
		return nil, refusal
	}
	return ticket, nil
}

// tryPlace answers the gate: whether a request may start now. A short prompt
// takes its place at once, so that the next one sees it taken. What can never be
// placed is let in too, for its refusal is given by the attempt loop.
func (s *Server) tryPlace(req *request.Request) bool {
	wj := s.waiting.get(req.ID)
	if wj == nil || req.Kind != request.Generate {
		return true
	}
	j := wj.job
	ask := router.NewPlacementRequest(req, j.pool.Name, j.routing)
	ask.Exclude = s.blocked(j)
	d, fit, err := s.opts.Router.PlaceWithin(ask, engineWait(j), func(d placement.Decision) placement.Placement {
		return newPlacement(j, 1, d)
	})
	if err == nil && fit == router.PlaceRecorded {
		wj.decision = &d
	}
	return err != nil || fit != router.MustWait
}

// minService answers the gate: the least time from a request's start to its end.
func (s *Server) minService(req *request.Request) time.Duration {
	wj := s.waiting.get(req.ID)
	if wj == nil || req.Kind != request.Generate || !separates(wj.job) {
		return 0
	}
	return s.opts.Router.ServiceTime(router.NewPlacementRequest(req, wj.job.pool.Name, wj.job.routing))
}

// placedWait answers the gate: how long a request that had to queue waits on its
// engine, which is then as full as engineWait lets it be.
func (s *Server) placedWait(req *request.Request) time.Duration {
	wj := s.waiting.get(req.ID)
	if wj == nil || req.Kind != request.Generate || !separates(wj.job) || req.Priority == request.Urgent {
		return 0
	}
	return engineWait(wj.job)
}

// separates reports whether a job's policy is the product's own. The policies that
// it is compared with send at once.
func separates(j *job) bool {
	return j.routing.Policy == "" || j.routing.Policy == settings.PolicyLengthAware
}

// blocked returns the engines on which a job must not start now, because it or
// what runs there may be what crashes engines.
func (s *Server) blocked(j *job) []string {
	return s.opts.Suspects.Blocked(s.opts.Router.UpstreamNames(j.pool.Name), j.req.Fingerprint, time.Now())
}

// comeBack returns when the caller of a request that was not placed may try again,
// spread like the gate's refusals so that callers that were refused together do
// not return together.
func (s *Server) comeBack(j *job, backlog time.Duration) time.Duration {
	return s.opts.Gate.RetryAfter(j.pool.Name, j.req, max(backlog, retryElsewhere))
}

// engineWait returns the longest wait on an engine for a job.
func engineWait(j *job) time.Duration {
	if j.req.Priority == request.Urgent || !separates(j) {
		return math.MaxInt64
	}
	if j.req.Priority == request.Bulk {
		return engineWaitBulk
	}
	return engineWaitNormal
}

// lane tells the gate which requests need the same kind of capacity.
func lane(req *request.Request) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(req.Target)
	_, _ = d.Write([]byte{0, byte(req.Priority), byte(lengthStep(req.PromptTokens))})
	return d.Sum64()
}

// lengthStep groups prompts of like length: an engine that is closed to long
// ones may be open to shorter ones.
func lengthStep(tokens int) int {
	step := 0
	for tokens >= 4096 {
		tokens /= 4
		step++
	}
	return step
}

// ApplySettings makes the gate's pools those of a snapshot.
func (s *Server) ApplySettings(snap *settings.Snapshot) {
	s.poolsMu.Lock()
	defer s.poolsMu.Unlock()
	seen := map[string]bool{}
	for _, p := range snap.Pools() {
		seen[p.Name] = true
		s.opts.Gate.SetPool(p.Name, gate.PoolOptions{
			Queue: admission.QueueOptions{
				MaxRequests: p.Routing.QueueRequests,
				MaxTokens:   p.Routing.QueueTokens,
			},
			TryPlace:       s.tryPlace,
			Lane:           lane,
			MinServiceTime: s.minService,
			MaxPlacedWait:  s.placedWait,
		})
	}
	for name := range s.pools {
		if !seen[name] {
			s.opts.Gate.RemovePool(name)
		}
	}
	s.pools = seen
}

// Run tries the queues whenever capacity may have grown, until the context ends.
func (s *Server) Run(ctx context.Context) error {
	for {
		changed := s.opts.Router.Changed()
		s.kick()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
		time.Sleep(kickEvery)
	}
}

func (s *Server) kick() {
	for _, name := range s.poolNames() {
		s.opts.Gate.RetryQueued(name)
	}
}

func (s *Server) poolNames() []string {
	s.poolsMu.Lock()
	defer s.poolsMu.Unlock()
	names := make([]string, 0, len(s.pools))
	for name := range s.pools {
		names = append(names, name)
	}
	return names
}

// Queued returns the number of requests that wait for a place.
func (s *Server) Queued() int {
	n := 0
	for _, name := range s.poolNames() {
		n += s.opts.Gate.Stats(name).Requests
	}
	return n
}
