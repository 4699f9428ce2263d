package standin

import (
	"sync"
	"time"
)

// RunState is how far a run came.
type RunState string

// States of a run.
const (
	RunQueued    RunState = "queued"
	RunStarted   RunState = "started"
	RunFinished  RunState = "finished"
	RunCancelled RunState = "cancelled"
	RunCrashed   RunState = "crashed"
	RunOrphaned  RunState = "orphaned"
)

// Run is one execution that a stand-in witnessed. A request with two attempts
// has two runs.
type Run struct {
	RequestID    string   `json:"request_id"`
	Attempt      int      `json:"attempt"`
	Target       string   `json:"target"` // model, or service/operation
	PromptSHA256 string   `json:"prompt_sha256"`
	PromptTokens int      `json:"prompt_tokens"`
	Priority     int      `json:"priority"`
	State        RunState `json:"state"`
	AtMs         int64    `json:"at_ms"`          // Unix time of arrival
	FirstTokenMs int64    `json:"first_token_ms"` // after arrival; 0 before there is one
}

// witness records runs in order of arrival. It is safe for concurrent use.
type witness struct {
	mu   sync.Mutex
	runs []Run
}

// add records a run and returns its index.
func (w *witness) add(r Run) int {
	r.AtMs = time.Now().UnixMilli()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, r)
	return len(w.runs) - 1
}

// set changes a run's state. An end that was witnessed stays.
func (w *witness) set(i int, s RunState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch w.runs[i].State {
	case RunFinished, RunCancelled, RunCrashed:
	default:
		w.runs[i].State = s
	}
}

// firstToken notes when a run's first token was made.
func (w *witness) firstToken(i int) {
	now := time.Now().UnixMilli()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[i].FirstTokenMs = max(1, now-w.runs[i].AtMs)
}

// list returns a copy of all runs.
func (w *witness) list() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run{}, w.runs...)
}
