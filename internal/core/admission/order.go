package admission

import "container/heap"

// Indexes of the lists that an entry is in at the same time.
const (
	listByAge = iota
	listByLane
	numLists
)

type links struct{ prev, next *Entry }

// list is a doubly linked list of entries, linked through Entry.links[which].
type list struct{ first, last *Entry }

func (l *list) push(e *Entry, which int) {
	e.links[which] = links{prev: l.last}
	if l.last == nil {
		l.first = e
	} else {
		l.last.links[which].next = e
	}
	l.last = e
}

func (l *list) remove(e *Entry, which int) {
	k := e.links[which]
	if k.prev == nil {
		l.first = k.next
	} else {
		k.prev.links[which].next = k.next
	}
	if k.next == nil {
		l.last = k.prev
	} else {
		k.next.links[which].prev = k.prev
	}
	e.links[which] = links{}
}

// flowHeap orders flows by start tag, then by customer.
type flowHeap []*flow

func (h *flowHeap) push(f *flow)   { heap.Push((*flowSlice)(h), f) }
func (h *flowHeap) remove(f *flow) { heap.Remove((*flowSlice)(h), f.index) }
func (h *flowHeap) fix(f *flow)    { heap.Fix((*flowSlice)(h), f.index) }

type flowSlice flowHeap

func (s flowSlice) Len() int { return len(s) }

func (s flowSlice) Less(i, j int) bool {
	if s[i].start != s[j].start {
		return s[i].start < s[j].start
	}
	return s[i].customer < s[j].customer
}

func (s flowSlice) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index = i
	s[j].index = j
}

func (s *flowSlice) Push(x any) {
	f := x.(*flow)
	f.index = len(*s)
	*s = append(*s, f)
}

func (s *flowSlice) Pop() any {
	last := len(*s) - 1
	f := (*s)[last]
	(*s)[last] = nil
	*s = (*s)[:last]
	f.index = -1
	return f
}

// expiryHeap orders entries by LatestStart.
type expiryHeap []*Entry

func (h *expiryHeap) push(e *Entry)   { heap.Push((*expirySlice)(h), e) }
func (h *expiryHeap) remove(e *Entry) { heap.Remove((*expirySlice)(h), e.expiry) }

type expirySlice expiryHeap

func (s expirySlice) Len() int           { return len(s) }
func (s expirySlice) Less(i, j int) bool { return s[i].LatestStart.Before(s[j].LatestStart) }

func (s expirySlice) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].expiry = i
	s[j].expiry = j
}

func (s *expirySlice) Push(x any) {
	e := x.(*Entry)
	e.expiry = len(*s)
	*s = append(*s, e)
}

func (s *expirySlice) Pop() any {
	last := len(*s) - 1
	e := (*s)[last]
	(*s)[last] = nil
	*s = (*s)[:last]
	e.expiry = -1
	return e
}
