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

// Maximum estimated wait on an engine with which a request is still sent there.
// Requests that would wait longer stay in this daemon's queue, which is fair between
// customers and refuses late requests without using engine time. Urgent requests are
// always sent: the engine serves them first.
const (
	maxEngineWaitNormal = 200 * time.Millisecond
	maxEngineWaitBulk   = 100 * time.Millisecond
)

// minQueueRetryInterval is the minimum time between two passes over the queues.
const minQueueRetryInterval = 2 * time.Millisecond

// pendingJobs holds the jobs that wait for admission by the gate, with the place
// found for each.
type pendingJobs struct {
	mu   sync.Mutex
	jobs map[string]*pendingJob // by request id
}

type pendingJob struct {
	job      *job
	decision *placement.Decision // recorded with the router; nil when no place was taken
}

func newPendingJobs() *pendingJobs { return &pendingJobs{jobs: map[string]*pendingJob{}} }

func (w *pendingJobs) add(j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[j.req.ID] = &pendingJob{job: j}
}

func (w *pendingJobs) get(id string) *pendingJob {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[id]
}

// remove removes a job and returns the place that was found for it, if any.
func (w *pendingJobs) remove(id string) *placement.Decision {
	w.mu.Lock()
	defer w.mu.Unlock()
	pending := w.jobs[id]
	delete(w.jobs, id)
	if pending == nil {
		return nil
	}
	return pending.decision
}

// admit asks the gate to admit a job. It blocks while the job is queued.
func (s *Server) admit(ctx context.Context, j *job) (*gate.Ticket, *request.Refusal) {
	s.pending.add(j)
	chain := make([]admission.Node, len(j.customer.Limits))
	for i, n := range j.customer.Limits {
		chain[i] = admission.Node{Name: n.Name, Limits: n.Limits}
	}
	ticket, refusal := s.opts.Gate.Admit(ctx, j.req, chain, j.customer.Weight, j.pool.Name)
	j.gatePlacement = s.pending.remove(j.req.ID)
	if refusal != nil {
		return nil, refusal
	}
	return ticket, nil
}

// tryPlace implements gate.PoolOptions.TryPlace: it reports whether a request may
// start now. The place of a short prompt is recorded with the router at once, so
// that the next request sees it taken. Requests that can never be placed are
// admitted too: the attempt loop refuses them.
func (s *Server) tryPlace(req *request.Request) bool {
	pending := s.pending.get(req.ID)
	if pending == nil || req.Kind != request.Generate {
		return true
	}
	j := pending.job
	placeReq := router.NewPlacementRequest(req, j.pool.Name, j.routing)
	placeReq.Exclude = s.blocked(j)
	d, fit, err := s.opts.Router.PlaceWithin(placeReq, maxEngineWait(j), func(d placement.Decision) placement.Placement {
		return newPlacement(j, 1, d)
	})
	if err == nil && fit == router.PlaceRecorded {
		pending.decision = &d
	}
	return err != nil || fit != router.MustWait
}

// minServiceTime implements gate.PoolOptions.MinServiceTime: it returns the minimum
// time from a request's start to its end.
func (s *Server) minServiceTime(req *request.Request) time.Duration {
	if pending := s.pending.get(req.ID); pending != nil {
		return s.serviceTime(pending.job)
	}
	return 0
}

// serviceTime returns the minimum time from a job's start to its end, zero if it is not known.
func (s *Server) serviceTime(j *job) time.Duration {
	if j.req.Kind != request.Generate || !isLengthAware(j) {
		return 0
	}
	return s.opts.Router.ServiceTime(router.NewPlacementRequest(j.req, j.pool.Name, j.routing))
}

// maxPlacedWait implements gate.PoolOptions.MaxPlacedWait: it returns how long a request
// that had to queue still waits on its engine, which has as much work as maxEngineWait
// allows.
func (s *Server) maxPlacedWait(req *request.Request) time.Duration {
	pending := s.pending.get(req.ID)
	if pending == nil || req.Kind != request.Generate || !isLengthAware(pending.job) || req.Priority == request.Urgent {
		return 0
	}
	return maxEngineWait(pending.job)
}

// isLengthAware reports whether a job uses the default, length-aware policy. The
// other policies, which exist for comparison, send requests at once.
func isLengthAware(j *job) bool {
	return j.routing.Policy == "" || j.routing.Policy == settings.PolicyLengthAware
}

// blocked returns the engines on which a job must not start now, because the job or
// a request that runs there is suspected of crashing engines.
func (s *Server) blocked(j *job) []string {
	return s.opts.Suspects.Blocked(s.opts.Router.UpstreamNames(j.pool.Name), j.work(), time.Now())
}

// retryAfter returns the time after which the caller of a request that was not placed
// may retry. It is spread like the gate's refusals, so that callers that were refused
// together do not retry together.
func (s *Server) retryAfter(j *job, backlog time.Duration) time.Duration {
	return s.opts.Gate.RetryAfter(j.pool.Name, j.req, max(backlog, retryElsewhere))
}

// maxEngineWait returns the maximum estimated wait on an engine with which a job is
// sent there.
func maxEngineWait(j *job) time.Duration {
	if j.req.Priority == request.Urgent || !isLengthAware(j) {
		return math.MaxInt64
	}
	if j.req.Priority == request.Bulk {
		return maxEngineWaitBulk
	}
	return maxEngineWaitNormal
}

// lane implements gate.PoolOptions.Lane: requests of the same target, priority and
// length class need the same kind of capacity.
func lane(req *request.Request) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(req.Target)
	_, _ = d.Write([]byte{0, byte(req.Priority), byte(lengthClass(req.PromptTokens))})
	return d.Sum64()
}

// lengthClass groups prompts of similar length: an engine that takes no long prompt
// now may still take shorter ones.
func lengthClass(tokens int) int {
	step := 0
	for tokens >= 4096 {
		tokens /= 4
		step++
	}
	return step
}

// ApplySettings sets the gate's pools to those of a snapshot.
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
			MinServiceTime: s.minServiceTime,
			MaxPlacedWait:  s.maxPlacedWait,
		})
	}
	for name := range s.pools {
		if !seen[name] {
			s.opts.Gate.RemovePool(name)
		}
	}
	s.pools = seen
}

// Run processes the queues whenever capacity may have grown, until the context ends.
func (s *Server) Run(ctx context.Context) error {
	for {
		changed := s.opts.Router.Changed()
		s.retryQueues()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
		time.Sleep(minQueueRetryInterval)
	}
}

func (s *Server) retryQueues() {
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

// Queued returns the number of queued requests.
func (s *Server) Queued() int {
	n := 0
	for _, name := range s.poolNames() {
		n += s.opts.Gate.Stats(name).Requests
	}
	return n
}
