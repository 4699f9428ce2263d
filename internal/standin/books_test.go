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

// Kinds of act in TestBooksUnderAnyOrder.
const (
	actSubmit = iota
	actSubmitReserved
	actDrop
	actResume
	actCancel
	actReserve
	actRelease
	actExport
	actKinds
)

// actor does things to an engine at random, below its HTTP server. Its step loop
// runs meanwhile.
type actor struct {
	t       *testing.T
	e       *Engine
	streams map[string]*stream
}

func (a *actor) request(name string, reserved bool) *engineapi.GenerateRequest {
	req := generateRequest(name, strings.Repeat(name, 200), 3)
	req.PrefixBlocks = []string{"p1", "p2", name}
	if reserved {
		req.ReservationID = engineapi.NewOptString(name)
	}
	return req
}

func (a *actor) act(kind int, name string) {
	ctx := context.Background()
	switch kind {
	case actSubmit, actSubmitReserved, actResume:
		_, s, no := a.e.submit(newRun(a.request(name, kind == actSubmitReserved)))
		if no == nil {
			a.streams[name] = s
		}
	case actDrop:
		a.e.mu.Lock()
		r := a.e.runs[runKey{id: name, attempt: 1}]
		a.e.mu.Unlock()
		if r != nil {
			a.e.orphan(r, a.streams[name])
		}
	case actCancel:
		cancelRun(a.t, a.e, name, 0)
	case actReserve:
		reserve(a.t, a.e, name, 400)
	case actRelease:
		release(a.t, a.e, name)
	case actExport:
		x := &engineapi.KVExport{ID: name, PrefixBlocks: []string{"p1", "p2"}}
		if _, err := a.e.ExportKV(ctx, x); err != nil {
			a.t.Fatal(err)
		}
	}
	checkSum(a.t, books(a.t, a.e))
	a.e.mu.Lock()
	defer a.e.mu.Unlock()
	if kept := int64(a.e.cache.recent.Len()) * a.e.cache.blockTokens; kept > a.e.free() {
		a.t.Fatalf("the cache keeps %d of %d free tokens", kept, a.e.free())
	}
}

func TestBooksUnderAnyOrder(t *testing.T) {
	o := quick()
	o.MemoryTokens = 1_000
	o.PrefillTPS = 10_000_000
	o.DecodeStep = 50_000 // 50 µs
	params := gopter.DefaultTestParametersWithSeed(11)
	params.MinSuccessfulTests = 60
	props := gopter.NewProperties(params)
	props.Property("entries add up to what is used, and all comes back", prop.ForAll(func(acts []int) bool {
		e := NewEngine(o)
		defer e.Close()
		a := &actor{t: t, e: e, streams: make(map[string]*stream)}
		for _, x := range acts {
			a.act(x%actKinds, fmt.Sprint("r", x/actKinds))
		}
		for i := range 5 {
			a.act(actCancel, fmt.Sprint("r", i))
			a.act(actRelease, fmt.Sprint("r", i))
			a.act(actRelease, fmt.Sprint("r", i)) // the export of the same id
		}
		b := books(t, e)
		return b.MemoryUsedTokens == 0 && len(b.Running) == 0 && len(b.Reservations) == 0 && len(b.Exports) == 0
	}, gen.SliceOfN(80, gen.IntRange(0, 5*actKinds-1))))
	props.TestingRun(t)
}
