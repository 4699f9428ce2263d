package soak

import (
	"bufio"
	"net/http"
	"sync"
	"time"

	"github.com/buckthorndock/buckthorndock/platform/standin"
)

// Figures of the engines in standin.SettingsText.
const (
	readPerMs    = 256.0
	msPerMPairs  = 0.0917
	msPerStep    = 0.925
	msPerWriter  = 0.005
	pairsPerUnit = 1e6 // in which the cost of pairs is given
)

// engineReader is the part of an engine that prefills prompts, one after the other.
type engineReader struct {
	mu      sync.Mutex
	free    time.Time
	writers int
}

// prefill waits until a prompt is read, which readers read in even parts.
func (e *engineReader) prefill(tokens, readers int) {
	n := float64(tokens)
	takes := time.Duration((n/readPerMs + n*n/2/pairsPerUnit*msPerMPairs) / float64(readers) * float64(time.Millisecond))
	e.mu.Lock()
	if now := time.Now(); e.free.Before(now) {
		e.free = now
	}
	e.free = e.free.Add(takes)
	until := e.free
	e.writers++
	e.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (e *engineReader) done() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writers--
}

// pause returns the time between two of the events of an answer.
func (e *engineReader) pause(tokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	step := msPerStep + msPerWriter*float64(e.writers)
	return time.Duration(float64(tokens) * step / streamEvents * float64(time.Millisecond))
}

// answerByFigures answers a stream as an engine that keeps its published figures does.
func (e *engineReader) answerByFigures(s *standin.Server, w *bufio.Writer, r *http.Request, id string) bool {
	prompt, answer, helpers := standin.Work(r.Header)
	e.prefill(prompt, max(helpers, 1))
	defer e.done()
	return s.WriteEvents(w, r, streamEvents, e.pause(answer), func(n int) string { return ownEvent(id, n) })
}
