// Package demand records which failure domains and customers ask for how much engine time. It is
// pure: no I/O, no goroutines, no clocks.
package demand

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/window"
)

// Window is the time over which demand is summed, in buckets of BucketSpan.
const (
	Window     = 10 * time.Second
	BucketSpan = time.Second
	numBuckets = int(Window / BucketSpan)
)

// DefaultMaxCells is the default of Options.MaxCells: 210 customers with a few services and failure
// domains each. A cell takes about 400 bytes.
const DefaultMaxCells = 4096

// Others is the customer under which requests are counted when there are cells for MaxCells
// combinations already.
const Others = "*"

// idLifetime is the least time for which the ID of a request is known after it last asked. Requests
// that are told to wait ask again every 50 or 100 ms, and those whose plan is dropped when its wait
// is over, after seconds.
const idLifetime = 5 * time.Second

// Request is a request for engine time.
type Request struct {
	ID       string // of the attempt; one that asks again under the same ID is counted once
	Domain   string // failure domain of the daemon that sends it
	Customer string // empty: anonymous callers
	Service  string
	Cost     time.Duration // engine time that it needs; a negative one counts as zero
}

// Cell is the demand of one customer from one failure domain for one service.
type Cell struct {
	Domain     string
	Customer   string
	Service    string
	EngineTime time.Duration
	Requests   int64
}

// Options configure a Recorder.
type Options struct {
	MaxCells int // zero: DefaultMaxCells
}

// Recorder sums the demand of the last Window. It is not safe for concurrent use.
type Recorder struct {
	maxCells int
	cells    map[key]*sums
	swept    time.Time // when idle cells were last dropped to make room

	// recent and former hold hashes of the IDs that asked since rotated, and in the idLifetime
	// before.
	recent, former map[uint64]struct{}
	rotated        time.Time
}

type key struct{ domain, customer, service string }

type sums struct {
	engineTime *window.Sum
	requests   *window.Sum
}

// New returns an empty Recorder.
func New(o Options) *Recorder {
	if o.MaxCells <= 0 {
		o.MaxCells = DefaultMaxCells
	}
	return &Recorder{maxCells: o.MaxCells, cells: map[key]*sums{}, recent: map[uint64]struct{}{}}
}

// Record counts a request unless it has asked before.
func (r *Recorder) Record(q Request, now time.Time) {
	if r.hasAsked(q.ID, now) {
		return
	}
	s := r.cell(key{q.Domain, q.Customer, q.Service}, now)
	s.engineTime.Add(int64(max(q.Cost, 0)), now)
	s.requests.Add(1, now)
}

// hasAsked reports whether an ID has asked before, and records that it asks now.
func (r *Recorder) hasAsked(id string, now time.Time) bool {
	r.rotate(now)
	h := xxhash.Sum64String(id)
	_, recently := r.recent[h]
	_, formerly := r.former[h]
	r.recent[h] = struct{}{}
	return recently || formerly
}

// rotate forgets IDs that last asked more than idLifetime ago.
func (r *Recorder) rotate(now time.Time) {
	age := now.Sub(r.rotated)
	if age < idLifetime {
		return
	}
	r.former, r.recent = r.recent, make(map[uint64]struct{}, len(r.recent))
	if age >= 2*idLifetime {
		r.former = nil
	}
	r.rotated = now
}

// cell returns the sums of a key, or those of Others if there is no room for another cell.
func (r *Recorder) cell(k key, now time.Time) *sums {
	if s := r.cells[k]; s != nil {
		return s
	}
	if len(r.cells) >= r.maxCells && now.Sub(r.swept) >= BucketSpan { // none becomes idle within a span
		r.dropIdle(now)
		r.swept = now
	}
	if len(r.cells) >= r.maxCells {
		k.customer = Others
		if s := r.cells[k]; s != nil {
			return s
		}
	}
	s := &sums{engineTime: window.NewSum(numBuckets, BucketSpan), requests: window.NewSum(numBuckets, BucketSpan)}
	r.cells[k] = s
	return s
}

// dropIdle drops the cells without a request in the window.
func (r *Recorder) dropIdle(now time.Time) {
	for k, s := range r.cells {
		if s.requests.Total(now) == 0 {
			delete(r.cells, k)
		}
	}
}

// Cells returns the demand of the last Window, in no particular order.
func (r *Recorder) Cells(now time.Time) []Cell {
	cells := make([]Cell, 0, len(r.cells))
	for k, s := range r.cells {
		requests := s.requests.Total(now)
		if requests == 0 {
			delete(r.cells, k)
			continue
		}
		cells = append(cells, Cell{
			Domain:     k.domain,
			Customer:   k.customer,
			Service:    k.service,
			EngineTime: time.Duration(s.engineTime.Total(now)),
			Requests:   requests,
		})
	}
	return cells
}
