package admission

import "slices"

// class holds the entries of one priority: one flow per customer, ordered by
// start tag.
type class struct {
	flows map[string]*flow
	ready flowHeap // flows with entries
	byAge list
	now   float64 // virtual time: start tag of the entry served last
	cost  int
	aside []*flow // reused buffer of find
}

// flow is one customer's backlog in a class. It is kept after its last entry has
// left, because the finish tag still counts if the customer soon queues again.
type flow struct {
	customer string
	start    float64 // tag of the next entry to be served
	weight   int     // of the entry pushed last
	cost     int
	lanes    []*lane // with entries only
	index    int     // in the heap, -1 when not in it
}

// lane holds the entries of a flow that need the same kind of capacity.
type lane struct {
	id   uint64
	flow *flow
	list list
}

// maxLag bounds how far, in tokens over weight, a customer may fall behind while
// its entries cannot be placed. Without a bound it would delay all others once they
// can.
const maxLag = 1 << 20

// push adds an entry. An empty flow starts at the virtual time, so that an idle
// customer accumulates no credit.
func (c *class) push(e *Entry) {
	f := c.flows[e.Customer]
	if f == nil {
		f = &flow{customer: e.Customer, index: -1}
		c.flows[e.Customer] = f
	}
	f.weight = e.Weight
	f.cost += e.Cost
	c.cost += e.Cost
	f.lane(e.Lane).push(e)
	c.byAge.push(e, listByAge)
	if f.index < 0 {
		f.start = max(f.start, c.now)
		c.ready.push(f)
	}
}

// charge advances the virtual time and the customer's tag for an entry that is
// about to be removed and served.
func (c *class) charge(e *Entry) {
	f := e.lane.flow
	c.now = max(c.now, f.start)
	f.start += float64(e.Cost) / float64(e.Weight)
	c.ready.fix(f)
}

func (c *class) remove(e *Entry) {
	f := e.lane.flow
	c.cost -= e.Cost
	f.cost -= e.Cost
	c.byAge.remove(e, listByAge)
	e.lane.list.remove(e, listByLane)
	if e.lane.list.first == nil {
		f.lanes = slices.DeleteFunc(f.lanes, func(l *lane) bool { return l == e.lane })
	}
	e.lane = nil
	if len(f.lanes) > 0 {
		return
	}
	c.ready.remove(f)
	c.forgetIdle()
}

// maxIdleFlows is the number of empty flows above which those whose tags no
// longer count are removed.
const maxIdleFlows = 64

// forgetIdle removes empty flows whose tags no longer count.
func (c *class) forgetIdle() {
	if len(c.flows)-len(c.ready) <= maxIdleFlows {
		return
	}
	for name, f := range c.flows {
		if f.index < 0 && (f.start <= c.now || len(c.ready) == 0) {
			delete(c.flows, name)
		}
	}
}

// find returns the first lane head for which ok is true, trying the eligible flows in
// order of start tag, or nil.
func (c *class) find(eligible func(*flow) bool, ok func(*Entry) bool) *Entry {
	var found *Entry
	c.aside = c.aside[:0]
	for found == nil && len(c.ready) > 0 {
		f := c.ready[0]
		if eligible(f) {
			found = f.find(ok)
		}
		if found == nil {
			c.ready.remove(f)
			c.aside = append(c.aside, f)
		}
	}
	for _, f := range c.aside {
		f.start = max(f.start, c.now-maxLag)
		c.ready.push(f)
	}
	return found
}

// costAhead estimates the cost of this class that is served before e.
func (c *class) costAhead(e *Entry) int {
	own, share := 0, float64(e.Cost)
	if f := c.flows[e.Customer]; f != nil {
		own = f.cost
		share += float64(own)
	}
	share /= float64(max(e.Weight, 1))
	total := own
	for _, f := range c.ready {
		if f.customer != e.Customer {
			total += min(f.cost, int(share*float64(f.weight)))
		}
	}
	return total
}

// find returns the first lane head for which ok is true, trying the oldest first,
// or nil.
func (f *flow) find(ok func(*Entry) bool) *Entry {
	if len(f.lanes) > 1 {
		slices.SortFunc(f.lanes, func(a, b *lane) int { return a.list.first.pushed.Compare(b.list.first.pushed) })
	}
	for _, l := range f.lanes {
		if ok(l.list.first) {
			return l.list.first
		}
	}
	return nil
}

func (f *flow) lane(id uint64) *lane {
	for _, l := range f.lanes {
		if l.id == id {
			return l
		}
	}
	l := &lane{id: id, flow: f}
	f.lanes = append(f.lanes, l)
	return l
}

func (l *lane) push(e *Entry) {
	e.lane = l
	l.list.push(e, listByLane)
}
