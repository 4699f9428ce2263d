package admission

import (
	"cmp"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// Defaults of a Queue.
const (
	DefaultMaxRequests = 4096
	DefaultMaxTokens   = 16_000_000
	DefaultAgeAfter    = 5 * time.Second
	DefaultAgedEvery   = 8
)

// customerShare bounds a customer's backlog to this multiple of the room that its
// class has left: with 2, a single customer fills two thirds at most and room for
// others remains.
const customerShare = 2

// classFill is the part of the bounds, in tenths, up to which entries of a class
// may fill the queue, so that bulk work never keeps out an urgent request.
var classFill = [request.NumPriorities]int{10, 9, 8}

// QueueOptions configures a Queue.
type QueueOptions struct {
	MaxRequests int           // DefaultMaxRequests when zero
	MaxTokens   int           // prompt tokens; DefaultMaxTokens when zero
	AgeAfter    time.Duration // wait after which an entry is aged; DefaultAgeAfter when zero
	AgedEvery   int           // while aged entries wait, one of this many pops serves the oldest; DefaultAgedEvery when zero
}

// Entry is one waiting request. The queue owns it from Push until it is popped,
// removed or returned as expired.
type Entry struct {
	ID          string
	Customer    string
	Weight      int // of the customer; values below 1 count as 1
	Priority    request.Priority
	Lane        uint64    // entries of one lane need the same kind of capacity
	Tokens      int       // prompt tokens
	Cost        int       // cost for fair queueing, in tokens; Tokens when zero
	LatestStart time.Time // after it the deadline cannot be met
	Value       any       // for the caller's use

	pushed time.Time
	lane   *lane
	links  [numLists]links
	expiry int // index in the expiry heap, -1 when not queued
}

// Queue holds the requests that wait for a pool. Order: urgent before normal
// before bulk; within a class, customers above their fair share of what all hosts
// have served go last, otherwise start-time fair queueing among customers by cost
// over weight; within a customer and lane, first in, first out. It is not safe for
// concurrent use.
//
// Invariant: an entry is queued if and only if it is in byID, in one
// lane, in its class's list by age, and in the expiry heap.
type Queue struct {
	opts      QueueOptions
	byID      map[string]*Entry
	classes   [request.NumPriorities]class
	customers map[string]*backlog
	expiry    expiryHeap
	tokens    int
	skipped   int         // pops that passed over an aged entry since one was served
	blocked   []laneLimit // of the current Pop
	uses      uses
}

// backlog is what one customer has queued, by class.
type backlog [request.NumPriorities]struct{ requests, tokens int }

// upTo returns the sums over the class and those above it.
func (b *backlog) upTo(p request.Priority) (requests, tokens int) {
	for _, c := range b[:p+1] {
		requests += c.requests
		tokens += c.tokens
	}
	return requests, tokens
}

// laneLimit records an entry that could not be placed: no entry of its lane that is
// at least as long and no more urgent could be placed either.
type laneLimit struct {
	lane     uint64
	tokens   int
	priority request.Priority
}

// NewQueue returns an empty Queue.
func NewQueue(o QueueOptions) *Queue {
	q := &Queue{byID: make(map[string]*Entry), customers: make(map[string]*backlog), uses: newUses()}
	for i := range q.classes {
		q.classes[i].flows = make(map[string]*flow)
	}
	q.SetOptions(o)
	return q
}

// SetOptions changes the options. Queued entries stay.
func (q *Queue) SetOptions(o QueueOptions) {
	o.MaxRequests = cmp.Or(max(o.MaxRequests, 0), DefaultMaxRequests)
	o.MaxTokens = cmp.Or(max(o.MaxTokens, 0), DefaultMaxTokens)
	o.AgeAfter = cmp.Or(o.AgeAfter, DefaultAgeAfter)
	o.AgedEvery = cmp.Or(o.AgedEvery, DefaultAgedEvery)
	q.opts = o
}

// Len returns the number of queued entries.
func (q *Queue) Len() int { return len(q.byID) }

// Tokens returns the prompt tokens of the queued entries.
func (q *Queue) Tokens() int { return q.tokens }

// Push adds an entry. It returns a *FullError if there is no room, an
// ExpiredError if the latest start has passed, and a *DuplicateError if the ID is
// already queued.
func (q *Queue) Push(e *Entry, now time.Time) error {
	e.Priority = min(e.Priority, request.Bulk)
	if !now.Before(e.LatestStart) {
		return ExpiredError{}
	}
	if _, ok := q.byID[e.ID]; ok {
		return &DuplicateError{ID: e.ID}
	}
	if err := q.checkRoom(e); err != nil {
		return err
	}
	e.Weight = max(e.Weight, 1)
	e.Cost = max(cmp.Or(e.Cost, e.Tokens), 1)
	e.pushed = now
	q.byID[e.ID] = e
	q.tokens += e.Tokens
	b := q.customers[e.Customer]
	if b == nil {
		b = &backlog{}
		q.customers[e.Customer] = b
	}
	b[e.Priority].requests++
	b[e.Priority].tokens += e.Tokens
	q.class(e).push(e)
	q.expiry.push(e)
	return nil
}

// Pop removes and returns the first entry, in order, for which canPlace returns
// true, or nil if there is none. It does not call canPlace again after that. The
// function must be monotone: if an entry cannot be placed, neither can any entry of
// its lane with at least as many tokens and no higher priority. It is not called for
// those in the same Pop, nor for entries whose latest start has passed.
func (q *Queue) Pop(canPlace func(*Entry) bool, now time.Time) *Entry {
	q.blocked = q.blocked[:0]
	if e := q.findAged(canPlace, now); e != nil {
		q.skipped = 0
		return q.take(e, now)
	}
	if e := q.findFair(canPlace, now); e != nil {
		q.countSkipped(e.Priority, now)
		return q.take(e, now)
	}
	return nil
}

// Remove removes and returns an entry, for example when its caller has gone. It
// returns nil if the ID is not queued.
func (q *Queue) Remove(id string) *Entry {
	e := q.byID[id]
	if e != nil {
		q.remove(e)
	}
	return e
}

// Expire removes and returns the entries that can no longer meet their deadline.
func (q *Queue) Expire(now time.Time) []*Entry {
	var expired []*Entry
	for len(q.expiry) > 0 && !now.Before(q.expiry[0].LatestStart) {
		e := q.expiry[0]
		q.remove(e)
		expired = append(expired, e)
	}
	return expired
}

// NextExpiry returns when Expire is next due; ok is false if the queue is empty.
func (q *Queue) NextExpiry() (t time.Time, ok bool) {
	if len(q.expiry) == 0 {
		return time.Time{}, false
	}
	return q.expiry[0].LatestStart, true
}

// CostAhead estimates the cost that is served before an entry like e: that of all
// classes above, of the customer's own backlog in the class, and of each other
// customer as much as fair queueing serves meanwhile.
func (q *Queue) CostAhead(e *Entry) int {
	priority := min(e.Priority, request.Bulk)
	ahead := q.classes[priority].costAhead(e)
	for i := range q.classes[:priority] {
		ahead += q.classes[i].cost
	}
	return ahead
}

// Cost returns the cost of the queued entries.
func (q *Queue) Cost() int {
	cost := 0
	for i := range q.classes {
		cost += q.classes[i].cost
	}
	return cost
}

func (q *Queue) class(e *Entry) *class { return &q.classes[e.Priority] }

// checkRoom returns a *FullError if the entry does not fit. In an empty queue an
// entry always fits, however long its prompt.
func (q *Queue) checkRoom(e *Entry) error {
	if len(q.byID) == 0 {
		return nil
	}
	fill := classFill[e.Priority]
	freeRequests := q.opts.MaxRequests*fill/10 - len(q.byID)
	freeTokens := q.opts.MaxTokens*fill/10 - q.tokens
	if freeRequests < 1 || freeTokens < e.Tokens {
		return &FullError{Requests: len(q.byID), Tokens: q.tokens}
	}
	own := q.customers[e.Customer]
	if own == nil {
		return nil
	}
	requests, tokens := own.upTo(e.Priority)
	if requests >= customerShare*freeRequests || tokens+e.Tokens > customerShare*freeTokens {
		return &FullError{Requests: len(q.byID), Tokens: q.tokens, Customer: true}
	}
	return nil
}

// findAged returns the oldest aged entry that fits, of the classes that strict
// priority could starve. It returns nil until AgedEvery-1 pops have passed over
// an aged entry.
func (q *Queue) findAged(canPlace func(*Entry) bool, now time.Time) *Entry {
	if q.skipped < q.opts.AgedEvery-1 {
		return nil
	}
	normal, bulk := q.classes[request.Normal].byAge.first, q.classes[request.Bulk].byAge.first
	for {
		next := &normal
		if normal == nil || bulk != nil && bulk.pushed.Before(normal.pushed) {
			next = &bulk
		}
		e := *next
		if e == nil || !q.aged(e, now) {
			return nil
		}
		if q.fits(e, canPlace, now) {
			return e
		}
		*next = e.links[listByAge].next
	}
}

func (q *Queue) findFair(canPlace func(*Entry) bool, now time.Time) *Entry {
	fits := func(e *Entry) bool { return q.fits(e, canPlace, now) }
	above := q.aboveShare(now)
	for i := range q.classes {
		c := &q.classes[i]
		if e := c.find(func(f *flow) bool { return !above[f.customer] }, fits); e != nil {
			return e
		}
		if len(above) == 0 {
			continue
		}
		if e := c.find(func(f *flow) bool { return above[f.customer] }, fits); e != nil {
			return e
		}
	}
	return nil
}

// countSkipped counts an entry that was served while a lower class holds an aged
// entry.
func (q *Queue) countSkipped(served request.Priority, now time.Time) {
	for _, c := range q.classes[served+1:] {
		if e := c.byAge.first; e != nil && q.aged(e, now) {
			q.skipped++
			return
		}
	}
}

func (q *Queue) aged(e *Entry, now time.Time) bool { return now.Sub(e.pushed) >= q.opts.AgeAfter }

// fits calls canPlace for an entry, unless one that is no longer and no less urgent
// was refused in this Pop, or its latest start has passed.
func (q *Queue) fits(e *Entry, canPlace func(*Entry) bool, now time.Time) bool {
	if !now.Before(e.LatestStart) {
		return false
	}
	for _, b := range q.blocked {
		if e.Lane == b.lane && e.Tokens >= b.tokens && e.Priority >= b.priority {
			return false
		}
	}
	if canPlace(e) {
		return true
	}
	q.blocked = append(q.blocked, laneLimit{e.Lane, e.Tokens, e.Priority})
	return false
}

// take removes an entry to be served and charges its customer.
func (q *Queue) take(e *Entry, now time.Time) *Entry {
	q.uses.add(e.Customer, e.Weight, e.Cost, now)
	q.class(e).charge(e)
	q.remove(e)
	return e
}

func (q *Queue) remove(e *Entry) {
	delete(q.byID, e.ID)
	q.tokens -= e.Tokens
	b := q.customers[e.Customer]
	b[e.Priority].requests--
	b[e.Priority].tokens -= e.Tokens
	if *b == (backlog{}) {
		delete(q.customers, e.Customer)
	}
	q.class(e).remove(e)
	q.expiry.remove(e)
}
