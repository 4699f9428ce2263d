package schedule

import (
	"sync"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/demand"
)

// State is what operators see of the schedule.
type State struct {
	Keeper    string // host that keeps the book for this daemon
	KeepsBook bool   // the keeper is this daemon
	// Uncoordinated says that this daemon keeps a book because the keepers that rank before it do
	// not answer, and that no other daemon calls it.
	Uncoordinated bool
	Attempts      int // in the book; at a daemon other than the keeper only its own
	Services      []booking.ServiceUsage
}

// State returns the present state.
func (s *Service) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := State{
		Keeper:        s.keeper,
		KeepsBook:     s.keeper == "",
		Uncoordinated: s.uncoordinated,
		Attempts:      s.book.Len(),
		Services:      s.book.Usage(),
	}
	if state.KeepsBook {
		state.Keeper = s.opts.Host
	}
	return state
}

// Demand returns the engine time that was asked of this daemon as the keeper within demand.Window.
func (s *Service) Demand(now time.Time) []demand.Cell { return s.demand.cells(now) }

// demandRecorder records demand. It has a lock of its own, so that plans do not wait while
// operators read it.
type demandRecorder struct {
	mu       sync.Mutex
	recorder *demand.Recorder
}

func newDemandRecorder() *demandRecorder {
	return &demandRecorder{recorder: demand.New(demand.Options{})}
}

// record records a request that asks this daemon, as the keeper, for engine time.
func (d *demandRecorder) record(a *booking.Request, cost time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recorder.Record(demand.Request{
		ID:       a.ID,
		Domain:   a.Domain,
		Customer: a.Customer,
		Service:  a.Service,
		Cost:     cost,
	}, now)
}

func (d *demandRecorder) cells(now time.Time) []demand.Cell {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.recorder.Cells(now)
}
