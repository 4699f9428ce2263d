package standin

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
)

// Operations of TestBooksUnderRandomOperations.
const (
	opSubmit = iota
	opSubmitReserved
	opDisconnect
	opResume
	opCancel
	opReserve
	opRelease
	opExport
	numOps
)

// opRunner applies operations to an engine directly, without its HTTP server, while
// the engine's step loop runs.
type opRunner struct {
	t       *testing.T
	e       *Engine
	streams map[string]*stream
}

func (a *opRunner) request(name string, reserved bool) *engineapi.GenerateRequest {
	req := generateRequest(name, strings.Repeat(name, 200), 3)
	req.PrefixBlocks = []string{"p1", "p2", name}
	if reserved {
		req.ReservationID = engineapi.NewOptString(name)
	}
	return req
}

// apply executes one operation and checks the books and the size of the cache.
func (a *opRunner) apply(kind int, name string) {
	ctx := context.Background()
	switch kind {
	case opSubmit, opSubmitReserved, opResume:
		_, s, refusal := a.e.submit(newRun(a.request(name, kind == opSubmitReserved)))
		if refusal == nil {
			a.streams[name] = s
		}
	case opDisconnect:
		a.e.mu.Lock()
		r := a.e.runs[runKey{id: name, attempt: 1}]
		a.e.mu.Unlock()
		if r != nil {
			a.e.markOrphaned(r, a.streams[name])
		}
	case opCancel:
		cancelRun(a.t, a.e, name, 0)
	case opReserve:
		reserve(a.t, a.e, name, 400)
	case opRelease:
		release(a.t, a.e, name)
	case opExport:
		x := &engineapi.KVExport{ID: name, PrefixBlocks: []string{"p1", "p2"}}
		if _, err := a.e.ExportKV(ctx, x); err != nil {
			a.t.Fatal(err)
		}
	}
	checkBooksSum(a.t, books(a.t, a.e))
	a.e.mu.Lock()
	defer a.e.mu.Unlock()
	if kept := int64(a.e.cache.recent.Len()) * a.e.cache.blockTokens; kept > a.e.freeTokens() {
		a.t.Fatalf("the cache keeps %d of %d free tokens", kept, a.e.freeTokens())
	}
}

func TestBooksUnderRandomOperations(t *testing.T) {
	o := fastEngine()
	o.MemoryTokens = 1_000
	o.PrefillTPS = 10_000_000
	o.DecodeStep = 50_000 // 50 µs
	params := gopter.DefaultTestParametersWithSeed(11)
	params.MinSuccessfulTests = 60
	props := gopter.NewProperties(params)
	props.Property("the entries sum to the used memory, and all of it is freed at the end", prop.ForAll(func(ops []int) bool {
		e := NewEngine(o)
		defer e.Close()
		a := &opRunner{t: t, e: e, streams: make(map[string]*stream)}
		for _, x := range ops {
			a.apply(x%numOps, fmt.Sprint("r", x/numOps))
		}
		for i := range 5 {
			a.apply(opCancel, fmt.Sprint("r", i))
			a.apply(opRelease, fmt.Sprint("r", i))
			a.apply(opRelease, fmt.Sprint("r", i)) // the export of the same id
		}
		b := books(t, e)
		return b.MemoryUsedTokens == 0 && len(b.Running) == 0 && len(b.Reservations) == 0 && len(b.Exports) == 0
	}, gen.SliceOfN(80, gen.IntRange(0, 5*numOps-1))))
	props.TestingRun(t)
}
