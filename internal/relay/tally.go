package relay

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/window"
)

// RefusalWindow is the time over which refusals are counted for operators, in buckets of
// refusalBucket.
const (
	RefusalWindow  = time.Minute
	refusalBucket  = time.Second
	refusalBuckets = int(RefusalWindow / refusalBucket)
)

// Waiting is the number of requests of a service and rank that wait for an engine.
type Waiting struct {
	Service  string
	Rank     int // 0 is the most urgent
	Requests int
}

// RefusalCount is the number of requests that ended without a whole answer within RefusalWindow.
type RefusalCount struct {
	Service string // empty: refused before the route was known
	Code    request.Code
	Rank    int // zero if the service is empty
	Count   int64
}

// serviceRank identifies requests that are counted together.
type serviceRank struct {
	service string
	rank    int
}

// refusalKey identifies refusals that are counted together.
type refusalKey struct {
	serviceRank
	code request.Code
}

// tally counts waiting requests and refusals. It is safe for concurrent use.
type tally struct {
	mu       sync.Mutex
	waiting  map[serviceRank]int
	refusals map[refusalKey]*window.Sum
}

func newTally() *tally {
	return &tally{waiting: map[serviceRank]int{}, refusals: map[refusalKey]*window.Sum{}}
}

// waiter counts one request as waiting. It is owned by the request's goroutine.
type waiter struct {
	tally   *tally
	of      serviceRank
	waiting bool
}

// waiter returns the waiter of a request that does not wait yet.
func (t *tally) waiter(req *Request) *waiter {
	return &waiter{tally: t, of: serviceRank{req.Service.Name, req.Priority}}
}

// start counts the request as waiting until stop. It may be called several times.
func (w *waiter) start() {
	if !w.waiting {
		w.waiting = true
		w.tally.addWaiting(w.of, 1)
	}
}

// stop ends the count. It may be called without start.
func (w *waiter) stop() {
	if w.waiting {
		w.waiting = false
		w.tally.addWaiting(w.of, -1)
	}
}

func (t *tally) addWaiting(of serviceRank, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting[of] += n
	if t.waiting[of] == 0 {
		delete(t.waiting, of)
	}
	metrics.GetOrCreateGauge(fmt.Sprintf(`buckthorndock_waiting_claims{service=%q,rank="%d"}`, of.service, of.rank), nil).Add(float64(n))
}

// recordRefusal counts the end of a request without a whole answer. It ignores a nil refusal, and
// callers that have gone: nothing was refused to these. req is nil if the route is not known.
func (t *tally) recordRefusal(req *Request, refusal *request.Refusal, now time.Time) {
	if refusal == nil || refusal.Code == request.CodeCallerGone {
		return
	}
	k := refusalKey{code: refusal.Code}
	if req != nil {
		k.serviceRank = serviceRank{req.Service.Name, req.Priority}
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`buckthorndock_refusals_total{service=%q,code=%q,rank="%d"}`, k.service, k.code, k.rank)).Inc()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.refusals[k]
	if s == nil {
		s = window.NewSum(refusalBuckets, refusalBucket)
		t.refusals[k] = s
	}
	s.Add(1, now)
}

// Waiting returns the requests that wait for an engine because they were told to ask again, by
// service and rank.
func (r *Relay) Waiting() []Waiting {
	t := r.tally
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Waiting, 0, len(t.waiting))
	for of, n := range t.waiting {
		list = append(list, Waiting{Service: of.service, Rank: of.rank, Requests: n})
	}
	slices.SortFunc(list, func(a, b Waiting) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank))
	})
	return list
}

// Refusals returns the requests that ended without a whole answer within RefusalWindow, by service,
// rank and code.
func (r *Relay) Refusals(now time.Time) []RefusalCount {
	t := r.tally
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.refusals, func(_ refusalKey, s *window.Sum) bool { return s.Total(now) == 0 })
	list := make([]RefusalCount, 0, len(t.refusals))
	for k, s := range t.refusals {
		list = append(list, RefusalCount{Service: k.service, Code: k.code, Rank: k.rank, Count: s.Total(now)})
	}
	slices.SortFunc(list, func(a, b RefusalCount) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Code, b.Code))
	})
	return list
}
