package router

import (
	"sync"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/placement"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// Entry is one placement decision as shown to operators.
type Entry struct {
	RequestID string
	Attempt   int
	At        time.Time
	Request   *request.Request
	Decision  placement.Decision
	Members   []string // names of all chosen upstreams, including those of a gang
	Outcome   string   // of the request, empty while it is in progress
}

// Journal keeps the latest decisions. It is safe for concurrent use.
type Journal struct {
	mu      sync.Mutex
	entries []Entry // ring buffer
	next    int     // index of the next entry to write
	full    bool    // the ring has wrapped around
}

// NewJournal returns a Journal that keeps up to size decisions.
func NewJournal(size int) *Journal {
	return &Journal{entries: make([]Entry, size)}
}

// Add records a decision, replacing the oldest one if the Journal is full.
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

// End records the outcome of a request in its decisions that are still kept.
func (j *Journal) End(requestID, outcome string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range j.entries {
		if j.entries[i].RequestID == requestID {
			j.entries[i].Outcome = outcome
		}
	}
}

// List returns up to limit of the latest decisions, newest first; a limit of zero means all.
// If requestID is not empty, it returns only the decisions of that request.
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
