package scenarios

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// watch polls the settings of daemons continuously, for what must never be seen:
// an offset that goes back, or two digests at one offset.
type watch struct {
	mu           sync.Mutex
	observations int
	last         map[string]watchedState // by daemon
	regressions  []string
	stop         chan struct{}
	done         sync.WaitGroup
}

type watchedState struct {
	settingsState
	Incarnation string `json:"incarnation"`
}

// cmdWatch starts a watch of daemons: watch DAEMON...
func cmdWatch(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "watch DAEMON...")
	s := siteOf(ts)
	if s.watch != nil {
		ts.Fatalf("a watch is already active")
	}
	w := &watch{last: map[string]watchedState{}, stop: make(chan struct{})}
	s.watch = w
	for _, name := range args {
		p := s.process(ts, name)
		w.done.Go(func() { w.poll(p) })
	}
	ts.Defer(w.end)
}

func (w *watch) poll(p *process) {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(pollInterval):
		}
		text, err := getText(p.address, "/operator/v1/status", operatorToken)
		var st watchedState
		if err != nil || json.Unmarshal([]byte(text), &st) != nil {
			continue // a daemon may be down; the next poll counts
		}
		w.observe(p.name, st)
	}
}

func (w *watch) observe(name string, st watchedState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	last, seen := w.last[name]
	w.last[name] = st
	w.observations++
	if !seen || last.Incarnation != st.Incarnation {
		return
	}
	if st.Offset < last.Offset || st.Offset == last.Offset && st.Digest != last.Digest {
		w.regressions = append(w.regressions, name)
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

// cmdWatched ends the watch and checks that a daemon was observed and that no
// settings went back: watched.
func cmdWatched(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 0, "watched")
	s := siteOf(ts)
	if s.watch == nil {
		ts.Fatalf("no watch is active")
	}
	w := s.watch
	s.watch = nil
	w.end()
	if len(w.regressions) > 0 {
		ts.Fatalf("settings went back at %v", w.regressions)
	}
	if w.observations == 0 {
		ts.Fatalf("no daemon was observed")
	}
}
