package standin

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// RunState is the last recorded state of a run.
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

// Run is the record of one execution by a stand-in. A request with two attempts has
// two runs.
type Run struct {
	RequestID    string   `json:"request_id"`
	Attempt      int      `json:"attempt"`
	Target       string   `json:"target"` // model, or service/operation
	PromptSHA256 string   `json:"prompt_sha256"`
	PromptTokens int      `json:"prompt_tokens"`
	Priority     int      `json:"priority"`
	State        RunState `json:"state"`
	AtMs         int64    `json:"at_ms"`          // Unix time of arrival
	FirstTokenMs int64    `json:"first_token_ms"` // milliseconds from arrival to the first token; 0 before it
}

// witness records runs in order of arrival. It is safe for concurrent use.
type witness struct {
	mu   sync.Mutex
	runs []Run
	out  io.Writer // nil, or receives each change as a JSON line
}

// writeLine writes the current state of a run to out, where it outlives the
// stand-in. It panics if it cannot, as a test would otherwise judge by incomplete
// records.
func (w *witness) writeLine(i int) {
	if w.out == nil {
		return
	}
	if err := json.NewEncoder(w.out).Encode(w.runs[i]); err != nil {
		panic("standin: witness: " + err.Error())
	}
}

// add records a run and returns its index.
func (w *witness) add(r Run) int {
	r.AtMs = time.Now().UnixMilli()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, r)
	w.writeLine(len(w.runs) - 1)
	return len(w.runs) - 1
}

// set changes a run's state. A final state does not change any more.
func (w *witness) set(i int, s RunState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch w.runs[i].State {
	case RunFinished, RunCancelled, RunCrashed:
	default:
		w.runs[i].State = s
		w.writeLine(i)
	}
}

// firstToken records the time of a run's first token.
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
