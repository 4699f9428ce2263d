package booking

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/cost"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
)

// A model of engines and callers around one book, without network: time is stepped, all
// draws come from a seed. Engines work in passes as package cost tells. Left out are the
// ways between daemons (2 ms), daemons that know less than the book, and memory.

const (
	modelStep = 5 * time.Millisecond
	// modelYield and modelFull are the pauses of daemons between two tries to place.
	modelYield = 100 * time.Millisecond
	modelFull  = 50 * time.Millisecond
	// modelMoves is how often a stream that pauses is moved.
	modelMoves = 1
	// quantum bounds what an engine without writers reads before it looks for new work.
	quantum = 10 * time.Millisecond
)

// kind is one kind of request, with the figures that its users publish.
type kind struct {
	name      string
	prompt    float64 // tokens, mean
	spread    float64 // of a lognormal distribution
	most      float64
	events    float64 // of an answer, mean
	spreadOut float64
	objective time.Duration
	gap       time.Duration
	deadline  time.Duration
	worth     float64 // in time
	late      float64 // worth
}

// The kinds of a fleet of fridges: many short drafts, some weekly plans, few audits of a
// whole supermarket.
var kinds = []kind{
	{"draft", 5_000, 0.9, 23_800, 24, 0.7, 300 * time.Millisecond, 250 * time.Millisecond, 10 * time.Second, 1.4, 0.34},
	{"plan", 45_000, 0.5, 110_000, 15, 0.6, 1500 * time.Millisecond, 600 * time.Millisecond, 10 * time.Second, 2.3, 0.58},
	{"audit", 300_000, 0.55, 1_000_000, 12, 0.5, 4 * time.Second, time.Second, 15 * time.Second, 26, 6.6},
}

// phase is a span of time with requests a second of each kind, and with engines that take no
// new work in it.
type phase struct {
	until time.Duration
	rates []float64
	away  int
}

// call is one request on its way.
type call struct {
	kind    *kind
	ask     Ask
	prompt  int
	events  int // of its answer
	sent    int // events so far
	arrived time.Duration
	retryAt time.Duration // when it asks again; zero: not waiting to
	sendAt  time.Duration
	booked  bool
	plan    Plan
	unread  int // parts
	first   time.Duration
	latest  time.Duration // its last event
	pause   time.Duration
	moves   int
	back    bool // came back after a refusal
	done    bool
	refused bool
	worth   float64 // owed
}

// share is a part of a prompt on an engine.
type share struct {
	call *call
	left time.Duration // reading time
	help bool
}

// unit is one engine.
type unit struct {
	id       string
	waiting  []*share
	writers  []*call
	reading  []*share // of the pass
	busy     time.Duration
	writing  bool // the pass has writers
	joiners  []*call
	pausedBy time.Duration
}

type model struct {
	book    *Book
	rng     *rand.Rand
	figures cost.Figures
	units   map[string]*unit
	order   []*unit
	list    *fleet.Snapshot
	away    int
	calls   []*call // not done
	all     []*call
	now     time.Duration
	n       int
}

func newModel(seed uint64, engines int, f cost.Figures) *model {
	m := &model{book: New(), rng: rand.New(rand.NewPCG(seed, 3)), figures: f, units: map[string]*unit{}}
	m.book.SetServices([]Service{{Name: "llm", Figures: f, TightGap: kinds[0].gap}})
	m.list = upstreams(engines)
	m.book.SetUpstreams(m.list)
	for _, u := range m.list.Upstreams {
		e := &unit{id: u.ID}
		m.units[u.ID] = e
		m.order = append(m.order, e)
	}
	return m
}

func (m *model) lognormal(mean, sigma, most float64) float64 {
	return math.Min(mean*math.Exp(sigma*m.rng.NormFloat64()-sigma*sigma/2), most)
}

// arrive draws the requests of one step.
func (m *model) arrive(rates []float64) {
	for i, rate := range rates {
		for p := rate * modelStep.Seconds(); p > 0; p-- {
			if m.rng.Float64() < p {
				m.enter(&kinds[i])
			}
		}
	}
}

func (m *model) enter(k *kind) {
	m.n++
	c := &call{
		kind:    k,
		prompt:  int(m.lognormal(k.prompt, k.spread, k.most)),
		events:  max(int(m.lognormal(k.events, k.spreadOut, 2.5*k.events)), 1),
		arrived: m.now,
		retryAt: m.now,
	}
	out := float64(c.events * m.figures.Stride)
	size := (float64(c.prompt) + 10*out) / (k.prompt + 10*k.events*float64(m.figures.Stride))
	c.worth = math.Min(0.3+0.7*size, 4)
	c.ask.ID = fmt.Sprint(m.n)
	m.calls = append(m.calls, c)
	m.all = append(m.all, c)
}

// place asks the book for a call.
func (m *model) place(c *call) {
	c.retryAt = 0
	k := c.kind
	left := c.arrived + k.deadline - m.now
	if left <= 0 {
		c.done = true
		return
	}
	answer := c.events * m.figures.Stride * 2 // callers name a bound, not the length
	a := Ask{
		ID: fmt.Sprintf("%s/%d/%d", c.ask.ID, c.moves, m.now), Host: "h", Service: "llm", Prompt: c.prompt,
		Answer: answer, Expected: min(answer, m.figures.UsualAnswer),
		Objective: k.objective - (m.now - c.arrived), Gap: k.gap, Left: left, Begun: c.sent > 0,
	}
	p := m.book.Place(a, start.Add(m.now))
	c.ask = a
	switch p.Verdict {
	case Booked:
		c.plan, c.booked, c.sendAt = p, true, m.now+p.Wait
	case Yield:
		c.retryAt = m.now + modelYield
	case Full:
		c.retryAt = m.now + modelFull
	default:
		m.refuse(c, p)
	}
}

// refuse lets a caller come back once, after the time that it is told.
func (m *model) refuse(c *call, p Plan) {
	if c.back {
		c.done, c.refused = true, true
		return
	}
	c.back = true
	c.retryAt = m.now + min(max(p.Backlog, 200*time.Millisecond), 2*time.Second)
}

// send puts the parts of a call on their engines.
func (m *model) send(c *call) {
	c.booked = false
	c.unread = len(c.plan.Parts)
	c.latest = m.now
	read := m.figures.Read(c.prompt) / time.Duration(len(c.plan.Parts))
	for i, p := range c.plan.Parts {
		s := &share{call: c, left: read, help: i > 0}
		e := m.units[p.Upstream]
		e.waiting = append(e.waiting, s)
	}
}

// runPass begins a pass if an engine has work and none is under way.
func (m *model) runPass(e *unit) {
	if e.busy > m.now || len(e.writers)+len(e.waiting)+len(e.joiners) == 0 {
		return
	}
	e.writers = append(e.writers, e.joiners...)
	e.joiners = nil
	slices.SortStableFunc(e.waiting, func(a, b *share) int {
		switch {
		case a.help == b.help:
			return 0
		case a.help:
			return -1
		}
		return 1
	})
	bound := quantum
	if len(e.writers) > 0 {
		bound = time.Hour // a pass with writers has steps enough for all that waits
	}
	var took time.Duration
	slots := m.figures.Slots - len(e.writers)
	for _, s := range e.waiting {
		if took >= bound {
			break
		}
		if !s.help {
			if slots <= 0 {
				continue
			}
			slots--
		}
		part := min(s.left, bound-took)
		s.left -= part
		took += part
		if s.left <= 0 {
			e.reading = append(e.reading, s)
		}
	}
	for _, s := range e.reading {
		if !s.help && len(s.call.plan.Parts) == 1 {
			e.writers = append(e.writers, s.call) // writes in the same pass
			s.call.unread = 0
		}
	}
	e.writing = len(e.writers) > 0
	if e.writing {
		context := 0
		for _, c := range e.writers {
			context += (c.prompt + c.sent*m.figures.Stride) / len(c.plan.Parts)
		}
		took += time.Duration(m.figures.Stride) * m.figures.Step(len(e.writers), int64(context))
	}
	e.busy = m.now + took
}

// endPass emits events and takes parts out that are read.
func (m *model) endPass(e *unit) {
	if e.busy == 0 || e.busy > m.now {
		return
	}
	e.busy = 0
	for _, s := range e.reading {
		e.waiting = slices.DeleteFunc(e.waiting, func(x *share) bool { return x == s })
		if len(s.call.plan.Parts) > 1 {
			m.partRead(s.call)
		}
	}
	e.reading = e.reading[:0]
	if !e.writing {
		return
	}
	e.writers = slices.DeleteFunc(e.writers, func(c *call) bool {
		m.event(c)
		return c.done
	})
}

func (m *model) partRead(c *call) {
	c.unread--
	if c.unread == 0 && !c.done {
		e := m.units[c.plan.Parts[0].Upstream]
		e.joiners = append(e.joiners, c)
	}
}

func (m *model) event(c *call) {
	if c.done {
		return
	}
	if c.sent == 0 {
		c.first = m.now
		m.book.First(c.ask.ID)
	} else {
		c.pause = max(c.pause, m.now-c.latest)
		if c.moves > 0 {
			m.book.First(c.ask.ID)
		}
	}
	c.sent++
	c.latest = m.now
	if c.sent >= c.events {
		c.done = true
		m.book.End(c.ask.ID)
	}
}

// drop takes a call off its engines.
func (m *model) drop(c *call) {
	m.book.End(c.ask.ID)
	for _, p := range c.plan.Parts {
		e := m.units[p.Upstream]
		gone := func(s *share) bool { return s.call == c }
		e.waiting = slices.DeleteFunc(e.waiting, gone)
		e.reading = slices.DeleteFunc(e.reading, gone)
		isC := func(x *call) bool { return x == c }
		e.writers = slices.DeleteFunc(e.writers, isC)
		e.joiners = slices.DeleteFunc(e.joiners, isC)
	}
}

// watch moves streams that pause for long and ends those whose callers have left.
func (m *model) watch(c *call) {
	if c.booked || c.retryAt > 0 {
		return
	}
	silent := m.now - c.latest
	k := c.kind
	if m.now > c.arrived+k.deadline || silent > max(2*time.Second, 4*k.objective, 8*k.gap) {
		m.drop(c)
		c.done = true
		return
	}
	limit := max(staysGaps*k.gap, staysLeast)
	if c.sent > 0 && c.moves < modelMoves && silent > limit {
		m.drop(c)
		c.moves++
		c.retryAt = m.now
	}
}

// setAway lets the first engines of the list take no new work.
func (m *model) setAway(n int) {
	if n == m.away {
		return
	}
	m.away = n
	for i := range m.list.Upstreams {
		m.list.Upstreams[i].Leaving = i < n
	}
	m.book.SetUpstreams(m.list)
}

func (m *model) run(phases []phase) {
	last := phases[len(phases)-1].until + 15*time.Second
	for m.now = 0; m.now < last; m.now += modelStep {
		for _, p := range phases {
			if m.now < p.until {
				m.setAway(p.away)
				m.arrive(p.rates)
				break
			}
		}
		m.stepCalls()
		for _, e := range m.order {
			m.endPass(e)
			m.runPass(e)
		}
	}
}

func (m *model) stepCalls() {
	kept := m.calls[:0]
	for _, c := range m.calls {
		switch {
		case c.done:
			continue
		case c.retryAt > 0 || m.now == 0 || c.retryAt == 0 && c.arrived == m.now && !c.booked && c.unread == 0:
			if m.now >= c.retryAt {
				m.place(c)
			}
		}
		if c.booked && m.now >= c.sendAt {
			m.send(c)
		}
		m.watch(c)
		kept = append(kept, c)
	}
	m.calls = kept
}

// tally is what some calls earned.
type tally struct {
	n, inTime, late, refused, lost int
	owed, earned                   float64
}

func (t *tally) add(c *call) {
	t.n++
	t.owed += c.worth * c.kind.worth
	switch {
	case c.refused:
		t.refused++
	case c.sent < c.events:
		t.lost++
	case c.first-c.arrived <= c.kind.objective && c.pause <= c.kind.gap:
		t.inTime++
		t.earned += c.worth * c.kind.worth
	default:
		t.late++
		t.earned += c.worth * c.kind.late
	}
}

func (t *tally) share() float64 { return t.earned / math.Max(t.owed, 1e-9) }

// result tells how a played load was served.
type result struct {
	all, largest tally // largest: the longest tenth of the longest kind
	kinds        []tally
	paused       int // in time by their first event, late by a pause
}

func (m *model) result() result {
	r := result{kinds: make([]tally, len(kinds))}
	longest := &kinds[len(kinds)-1]
	var prompts []int
	for _, c := range m.all {
		if c.kind == longest {
			prompts = append(prompts, c.prompt)
		}
	}
	slices.Sort(prompts)
	bound := prompts[len(prompts)*9/10]
	for _, c := range m.all {
		r.all.add(c)
		for i := range kinds {
			if c.kind == &kinds[i] {
				r.kinds[i].add(c)
			}
		}
		if c.kind == longest && c.prompt >= bound {
			r.largest.add(c)
		}
		if c.sent > 0 && c.first-c.arrived <= c.kind.objective && c.pause > c.kind.gap {
			r.paused++
		}
	}
	return r
}
