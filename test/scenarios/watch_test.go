package scenarios

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// watch looks at the settings of daemons all the time, for what must never be
// seen at any moment: an offset that goes back.
type watch struct {
	mu     sync.Mutex
	looks  int
	last   map[string]watchedState // by daemon
	faults []string
	stop   chan struct{}
	done   sync.WaitGroup
}

type watchedState struct {
	settingsState
	Incarnation string `json:"incarnation"`
}

// cmdWatch begins to watch daemons: watch DAEMON...
func cmdWatch(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, "watch DAEMON...")
	s := siteOf(ts)
	if s.watch != nil {
		ts.Fatalf("a watch is on already")
	}
	w := &watch{last: map[string]watchedState{}, stop: make(chan struct{})}
	s.watch = w
	for _, name := range args {
		p := s.process(ts, name)
		w.done.Go(func() { w.follow(p) })
	}
	ts.Defer(w.end)
}

func (w *watch) follow(p *process) {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(pollEvery):
		}
		text, err := getText(p.address, "/operator/v1/status", operatorToken)
		var st watchedState
		if err != nil || json.Unmarshal([]byte(text), &st) != nil {
			continue // a daemon may be down; its next answer counts
		}
		w.look(p.name, st)
	}
}

func (w *watch) look(name string, st watchedState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	last, seen := w.last[name]
	w.last[name] = st
	w.looks++
	if !seen || last.Incarnation != st.Incarnation {
		return
	}
	if st.Offset < last.Offset || st.Offset == last.Offset && st.Digest != last.Digest {
		w.faults = append(w.faults, name)
	}
}

func (w *watch) end() {
	select {
	case <-w.stop:
	default:
		close(w.stop)
	}
	w.done.Wait()
}

// cmdWatched ends the watch and checks that each daemon was seen and that no
// settings went back: watched.
func cmdWatched(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 0, "watched")
	s := siteOf(ts)
	if s.watch == nil {
		ts.Fatalf("no watch is on")
	}
	w := s.watch
	s.watch = nil
	w.end()
	if len(w.faults) > 0 {
		ts.Fatalf("settings went back at %v", w.faults)
	}
	if w.looks == 0 {
		ts.Fatalf("nothing was seen")
	}
}
