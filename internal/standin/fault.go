package standin

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// FaultKind names a fault that can be switched on.
type FaultKind string

// Fault kinds. Where a comment ends with a stand-in's name, the kind affects only
// that stand-in.
const (
	FaultDie           FaultKind = "die"            // exit immediately
	FaultFreeze        FaultKind = "freeze"         // accept connections and calls, but handle none until switched off
	FaultSilent        FaultKind = "silent"         // open connections become silent permanently
	FaultDropAnswer    FaultKind = "drop_answer"    // execute the call, then close the connection without an answer
	FaultRefuse        FaultKind = "refuse"         // answer 500, overloaded
	FaultTurnAway      FaultKind = "turn_away"      // answer 503, overloaded, with a Retry-After of Ms
	FaultSlow          FaultKind = "slow"           // wait Ms before each call
	FaultOutage        FaultKind = "outage"         // every call fails with 503
	FaultGarbage       FaultKind = "garbage"        // answers are not JSON
	FaultEndlessHead   FaultKind = "endless_head"   // bytes without end in place of an answer, until the caller closes
	FaultEndlessBody   FaultKind = "endless_body"   // the same after a sound head
	FaultBrokenHead    FaultKind = "broken_head"    // refusals with heads that are none, each time another one
	FaultDuplicate     FaultKind = "duplicate"      // append twice, answer once: log
	FaultRestore       FaultKind = "restore"        // go back to a backup that is Ms old: log; set a Count
	FaultGapEvents     FaultKind = "gap_events"     // every other cache event is lost: engine
	FaultLateEvents    FaultKind = "late_events"    // cache events appear Ms later: engine
	FaultLoadLag       FaultKind = "load_lag"       // load reports lag by Ms more: engine
	FaultCrossChunks   FaultKind = "cross_chunks"   // streams contain chunks of other requests and attempts: engine
	FaultTruncate      FaultKind = "truncate"       // streams end halfway without done: engine
	FaultIgnoreFencing FaultKind = "ignore_fencing" // orders with old fencing numbers are executed: engine
	FaultLeaving       FaultKind = "leaving"        // report leaving; if Ms is set, refuse new runs after Ms: engine
)

var faultKinds = []FaultKind{
	FaultDie, FaultFreeze, FaultSilent, FaultDropAnswer, FaultRefuse, FaultTurnAway, FaultSlow, FaultOutage,
	FaultGarbage, FaultEndlessHead, FaultEndlessBody, FaultBrokenHead, FaultDuplicate, FaultRestore, FaultGapEvents, FaultLateEvents, FaultLoadLag,
	FaultCrossChunks, FaultTruncate, FaultIgnoreFencing, FaultLeaving,
}

// Fault switches one kind of fault on or off.
type Fault struct {
	Kind FaultKind `json:"kind"`
	On   bool      `json:"on"`
	// Ms is a duration in milliseconds, for the kinds that need one.
	Ms int64 `json:"ms,omitempty"`
	// Count is the number of calls that the fault affects before it switches itself
	// off; 0 means no limit.
	Count int `json:"count,omitempty"`
	// Path limits faults of calls to request paths that contain it, and faults of
	// the log to such stream names.
	Path string `json:"path,omitempty"`
}

// faults is the set of faults that are on. It is safe for concurrent use.
type faults struct {
	mu      sync.Mutex
	on      map[FaultKind]*activeFault
	changed chan struct{}
}

type activeFault struct {
	Fault
	since time.Time
}

func newFaults() *faults {
	return &faults{on: make(map[FaultKind]*activeFault), changed: make(chan struct{})}
}

// set switches a fault on or off and closes the channel of nextChange. It fails for
// an unknown kind and for a negative Ms or Count.
func (f *faults) set(x Fault) error {
	if !slices.Contains(faultKinds, x.Kind) {
		return merry.Errorf("unknown fault kind %q", x.Kind)
	}
	if x.Ms < 0 || x.Count < 0 {
		return merry.Errorf("fault %s: ms and count must not be negative", x.Kind)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if x.On {
		f.on[x.Kind] = &activeFault{Fault: x, since: time.Now()}
	} else {
		delete(f.on, x.Kind)
	}
	close(f.changed)
	f.changed = make(chan struct{})
	return nil
}

// get returns a fault if it is on, without counting a call.
func (f *faults) get(kind FaultKind) (activeFault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.on[kind]
	if !ok {
		return activeFault{}, false
	}
	return *a, true
}

// isOn reports whether a fault is on, without counting a call.
func (f *faults) isOn(kind FaultKind) bool {
	_, ok := f.get(kind)
	return ok
}

// trigger reports whether a fault is on for a request path or a stream name. If it
// is, the call counts against Count.
func (f *faults) trigger(kind FaultKind, path string) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.on[kind]
	if !ok || !strings.Contains(path, a.Path) {
		return Fault{}, false
	}
	x := a.Fault
	if a.Count > 0 {
		a.Count--
		if a.Count == 0 {
			delete(f.on, kind)
		}
	}
	return x, true
}

// nextChange returns a channel that is closed at the next call of set.
func (f *faults) nextChange() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// list returns the faults that are on, in the order of faultKinds.
func (f *faults) list() []Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]Fault, 0, len(f.on))
	for _, k := range faultKinds {
		if a, ok := f.on[k]; ok {
			all = append(all, a.Fault)
		}
	}
	return all
}
