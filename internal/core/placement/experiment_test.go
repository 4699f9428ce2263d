package placement

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/option"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// The experiment is a queueing model in virtual time: fronts, each with its own view,
// and engines that compute one chunk of one prompt at a time, most urgent first,
// hold memory until the answer ends, and report their load with a delay.
const (
	expRate           = 8000.0 // prompt tokens per second of an engine
	expChunk          = 1024
	expMemory         = 600_000
	expMaxRequests    = 12_000
	expReportInterval = 500 * time.Millisecond
	expReportDelay    = 300 * time.Millisecond
	expShareInterval  = time.Second
	expLongFrom       = 32_000
	expLongShare      = 0.02 // of the requests, above 100k tokens
)

// expTime is short by default to keep the tests fast; -args -experiment 1000s gives more
// precise figures.
var expTime = flag.Duration("experiment", 200*time.Second, "virtual time of a run of the experiment")

type expJob struct {
	id             ID
	at             time.Time
	tokens         int
	answer         int
	callerPriority request.Priority
	priority       request.Priority // as sent to the engine
	left           int
	first          time.Duration
	done           bool
	view           *View // of the front
}

// expCase is one way to run the same arrivals.
type expCase struct {
	name          string
	policy        string
	opts          Options
	noCorrection  bool // without the correction for lagging reports
	noBoundary    bool // without length separation
	burst         bool // the arrivals are many small prompts
	engines       int  // 24 when zero
	fronts        int  // 8 when zero
	nonPreemptive bool // engines finish a prompt that they have begun
}

type expEvent struct {
	at  time.Time
	seq int
	run func()
}

type expHeap []expEvent

func (h expHeap) Len() int { return len(h) }
func (h expHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h expHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *expHeap) Push(x any)   { *h = append(*h, x.(expEvent)) }
func (h *expHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

type expSim struct {
	expCase
	now     time.Time
	events  expHeap
	seq     int
	rng     *rand.Rand
	views   []*View
	servers map[string]*expEngine
	end     time.Time
}

type expEngine struct {
	sim     *expSim
	name    string
	queue   []*expJob // neither begun nor given memory
	running []*expJob // prompts begun
	current *expJob
	busy    bool
	used    int64
	answers int
	seq     int64
}

func (s *expSim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, expEvent{at: s.now.Add(d), seq: s.seq, run: run})
}

func (c *expCase) setDefaults() {
	option.Default(&c.engines, 24)
	option.Default(&c.fronts, 8)
}

func newExpSim(c expCase) *expSim {
	c.setDefaults()
	s := &expSim{expCase: c, now: t0, rng: newRand(5), servers: map[string]*expEngine{}, end: t0.Add(*expTime)}
	list := specs("a", c.engines)
	for range c.fronts {
		v := NewView(c.opts)
		v.SetPool("p", list)
		s.views = append(s.views, v)
	}
	for i, spec := range list {
		e := &expEngine{sim: s, name: spec.Name}
		s.servers[spec.Name] = e
		s.after(expReportInterval*time.Duration(i)/time.Duration(c.engines), e.report)
	}
	s.after(0, s.shareWork)
	return s
}

// shareWork sends each front the work offered to the others.
func (s *expSim) shareWork() {
	for i, from := range s.views {
		w := from.OfferedWork("p", "a", s.now)
		for k, to := range s.views {
			if i != k {
				to.ApplyPeerWork("p", "a", fmt.Sprint(i), w, s.now)
			}
		}
	}
	if s.now.Before(s.end) {
		s.after(expShareInterval, s.shareWork)
	}
}

func (s *expSim) run(jobs []*expJob) {
	for i, j := range jobs {
		view := s.views[i%s.fronts]
		j.view = view
		s.after(j.at.Sub(t0), func() { s.place(j) })
	}
	for len(s.events) > 0 {
		ev := heap.Pop(&s.events).(expEvent)
		s.now = ev.at
		ev.run()
	}
}

func (s *expSim) place(j *expJob) {
	v := j.view
	a := Request{Pool: "p", Domain: "a", Tokens: j.tokens, MaxTokens: j.answer, Priority: j.callerPriority, Policy: s.policy, LongFrom: expLongFrom}
	if s.noBoundary {
		a.LongFrom = 0
	}
	d, err := Place(v, a, s.now, s.rng)
	if err != nil || (d.Verdict != Placed && d.Verdict != WaitMemory && d.Reason != ReasonMemoryUnknown) {
		panic(fmt.Sprint(d.Verdict, d.Reason, err))
	}
	if d.Verdict != Placed {
		s.after(50*time.Millisecond, func() { s.place(j) })
		return
	}
	j.priority = d.EnginePriority
	v.NotePlaced(Placement{ID: j.id, Upstream: d.Chosen.Name, Priority: j.priority, Tokens: j.tokens, MaxTokens: j.answer}, s.now)
	e := s.servers[d.Chosen.Name]
	if s.noCorrection {
		v.Engine(e.name).removeReported(s.now)
		v.Engine(e.name).inFlightMemory = 0
	}
	j.left = j.tokens
	e.queue = append(e.queue, j)
	e.step()
}

// next returns the job of the next chunk, or nil, and allocates its memory when it begins.
func (e *expEngine) next() *expJob {
	if e.sim.nonPreemptive && e.current != nil {
		return e.current
	}
	var best *expJob
	for _, j := range e.running {
		if best == nil || j.priority < best.priority {
			best = j
		}
	}
	for _, j := range e.queue {
		if best != nil && j.priority >= best.priority {
			continue
		}
		if e.used+int64(j.tokens+j.answer) <= expMemory {
			best = j
		}
	}
	if best != nil && best.left == best.tokens {
		e.used += int64(best.tokens + best.answer)
		e.running = append(e.running, best)
		e.queue = slices.DeleteFunc(e.queue, func(j *expJob) bool { return j == best })
	}
	return best
}

func (e *expEngine) step() {
	if e.busy {
		return
	}
	e.current = e.next()
	if e.current == nil {
		return
	}
	e.busy = true
	j := e.current
	n := min(j.left, expChunk)
	e.sim.after(time.Duration(float64(n)/expRate*float64(time.Second)), func() {
		e.busy = false
		j.left -= n
		if j.left == 0 {
			e.finish(j)
		}
		e.step()
	})
}

func (e *expEngine) finish(j *expJob) {
	s := e.sim
	e.current = nil
	e.running = slices.DeleteFunc(e.running, func(x *expJob) bool { return x == j })
	j.first = s.now.Sub(j.at)
	j.done = true
	e.answers++
	j.view.NoteFirstToken(j.id, 0, s.now)
	s.after(time.Duration(j.answer)*30*time.Millisecond, func() {
		e.used -= int64(j.tokens + j.answer)
		e.answers--
		j.view.NoteFinished(j.id, End{Complete: true, AnswerTokens: j.answer}, s.now)
		e.step()
	})
}

func (e *expEngine) report() {
	s := e.sim
	e.seq++
	r := Report{Incarnation: "a", Seq: e.seq, Taken: s.now, Step: 128 * time.Millisecond, PrefillRate: expRate, DecodeRate: 33,
		Queued: len(e.queue), Running: len(e.running) + e.answers, MemoryTotal: expMemory, MemoryUsed: e.used}
	for _, j := range e.running {
		r.QueuedPrefill += int64(j.left)
	}
	for _, j := range e.queue {
		r.QueuedPrefill += int64(j.left)
	}
	s.after(expReportDelay, func() {
		for _, v := range s.views {
			v.ApplyReport(e.name, r)
		}
	})
	if s.now.Before(s.end) {
		s.after(expReportInterval, e.report)
	}
}
