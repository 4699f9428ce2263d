package router

import (
	"sync"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/placement"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// Entry is one decision as operators see it.
type Entry struct {
	RequestID string
	Attempt   int
	At        time.Time
	Request   *request.Request
	Decision  placement.Decision
	Members   []string // names of all upstreams chosen, of a gang too
	Outcome   string   // of the request, empty while it runs
}

// Journal keeps the latest decisions. It is safe for concurrent use.
type Journal struct {
	mu      sync.Mutex
	entries []Entry // a ring
	next    int
	full    bool
}

// NewJournal returns a Journal of so many decisions.
func NewJournal(size int) *Journal {
	return &Journal{entries: make([]Entry, size)}
}

// Add notes a decision.
func (j *Journal) Add(e Entry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries[j.next] = e
	j.next++
	if j.next == len(j.entries) {
		j.next = 0
		j.full = true
	}
}

// End notes how a request ended, at its decisions that are still kept.
func (j *Journal) End(requestID, outcome string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range j.entries {
		if j.entries[i].RequestID == requestID {
			j.entries[i].Outcome = outcome
		}
	}
}

// List returns the latest decisions, newest first, of one request if its id is
// not empty.
func (j *Journal) List(requestID string, limit int) []Entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := j.next
	if j.full {
		n = len(j.entries)
	}
	var list []Entry
	for i := range n {
		at := (j.next - 1 - i + len(j.entries)) % len(j.entries)
		e := j.entries[at]
		if requestID != "" && e.RequestID != requestID {
			continue
		}
		list = append(list, e)
		if len(list) == limit {
			break
		}
	}
	return list
}
