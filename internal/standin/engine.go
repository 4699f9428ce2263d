package standin

import (
	"io"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
)

// CrashMarker in a prompt makes the engine exit with code 3 when it starts the
// prefill of that prompt.
const CrashMarker = "CRASH-ENGINE"

// Defaults of EngineOptions, for an engine with a TimeScale of 1.
const (
	DefaultMemoryTokens = 400_000
	DefaultPrefillTPS   = 20_000
	DefaultDecodeStep   = 20 * time.Millisecond
	DefaultBatch        = 32
	DefaultChunkTokens  = 2048
	DefaultBlockTokens  = 512
	DefaultLoadTime     = 2 * time.Second
)

// EngineOptions configures an engine. Zero values take the defaults, which the
// field comments give.
type EngineOptions struct {
	Name         string
	Models       []string      // loaded from the start; name or name@version
	Role         string        // role to report until an order changes it
	MemoryTokens int64         // size of the KV memory; 400,000
	PrefillTPS   float64       // prompt tokens a second; 20,000
	DecodeStep   time.Duration // time to decode one token of each run; 20ms
	Batch        int           // maximum number of running requests; 32
	ChunkTokens  int           // maximum prompt tokens of one step; 2,048
	BlockTokens  int           // tokens in a prefix block; 512
	CacheTokens  int64         // maximum size of the prefix cache; all free memory
	EventDelay   time.Duration // delay before cache events appear
	LoadLag      time.Duration // age of load reports
	// ChecksFencing makes the engine refuse orders whose fencing number is lower
	// than that of the last order.
	ChecksFencing bool
	LoadTime      time.Duration // time to load a model or adapter; 2s
	// TimeScale is the number of engine seconds in a real second; 1. It speeds up
	// steps and loads, not EventDelay and LoadLag.
	TimeScale float64
	Exit      func(code int) // nil: a crash closes the engine, not the process
	Witness   io.Writer      // if set, receives each change of a run as a JSON line
}

// setDefaults fills in defaults and applies TimeScale to speeds and durations.
func (o *EngineOptions) setDefaults() {
	if o.Name == "" {
		o.Name = "engine"
	}
	if o.MemoryTokens <= 0 {
		o.MemoryTokens = DefaultMemoryTokens
	}
	if o.PrefillTPS <= 0 {
		o.PrefillTPS = DefaultPrefillTPS
	}
	if o.DecodeStep <= 0 {
		o.DecodeStep = DefaultDecodeStep
	}
	if o.Batch <= 0 {
		o.Batch = DefaultBatch
	}
	if o.ChunkTokens <= 0 {
		o.ChunkTokens = DefaultChunkTokens
	}
	if o.BlockTokens <= 0 {
		o.BlockTokens = DefaultBlockTokens
	}
	if o.CacheTokens <= 0 {
		o.CacheTokens = math.MaxInt64
	}
	if o.LoadTime <= 0 {
		o.LoadTime = DefaultLoadTime
	}
	if o.TimeScale <= 0 {
		o.TimeScale = 1
	}
	o.PrefillTPS *= o.TimeScale
	o.DecodeStep = scale(o.DecodeStep, o.TimeScale)
	o.LoadTime = scale(o.LoadTime, o.TimeScale)
}

// scale divides a duration by the time scale.
func scale(d time.Duration, by float64) time.Duration {
	return time.Duration(float64(d) / by)
}

// Engine is a model engine with continuous batching. One goroutine steps it;
// calls change its state under mu.
//
// Invariant: used is the sum of the tokens held by runs, reservations and exports,
// and never exceeds MemoryTokens. A run with a reservation holds no tokens itself.
type Engine struct {
	*base
	engineapi.UnimplementedHandler
	opts        EngineOptions
	incarnation string
	client      *http.Client // for calls to other engines
	wake        chan struct{}

	mu           sync.Mutex
	runs         map[runKey]*run
	queue        []*run // in order of priority and arrival
	active       []*run // admitted and not finished, in the same order
	arrivals     int64
	used         int64 // tokens
	reservations map[string]*reservation
	exports      map[string]*engineapi.KVExport
	cache        *prefixCache
	orders       orderBook
	loads        []loadSnapshot
	loadSeq      int64
	stepTime     time.Duration // smoothed duration of a step that decodes
	assistUntil  time.Time     // until then this engine computes for the gang of another
}

type reservation struct {
	engineapi.Reservation
	user *run // the run that uses it, if any
}

// NewEngine returns an engine and starts its step loop, which Close ends.
func NewEngine(o EngineOptions) *Engine {
	o.setDefaults()
	e := &Engine{
		base:         newBase(o.Name, o.Exit),
		opts:         o,
		incarnation:  uuid.NewString(),
		client:       &http.Client{Timeout: gangCallTimeout},
		wake:         make(chan struct{}, 1),
		runs:         make(map[runKey]*run),
		reservations: make(map[string]*reservation),
		exports:      make(map[string]*engineapi.KVExport),
		cache:        newPrefixCache(o.BlockTokens),
		orders:       orderBook{role: o.Role, models: slices.Clone(o.Models), loading: make(map[loadItem]time.Time)},
		stepTime:     o.DecodeStep,
	}
	e.writeFailure = writeOverloaded
	e.witness.out = o.Witness
	e.api = engineServer(e, e)
	e.control.HandleFunc("POST "+assistPath, e.handleAssist)
	e.mu.Lock()
	e.addSnapshot(time.Now())
	e.mu.Unlock()
	go e.loop()
	return e
}

// wakeLoop wakes the step loop.
func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// freeTokens returns the number of tokens that no run, reservation or export
// holds. The prefix cache may occupy them.
func (e *Engine) freeTokens() int64 {
	return e.opts.MemoryTokens - e.used
}

// allocate takes free memory, and evicts from the prefix cache as needed. The
// caller has checked freeTokens.
func (e *Engine) allocate(tokens int64) {
	e.used += tokens
	e.trimCache()
}

// deallocate frees memory and wakes the step loop.
func (e *Engine) deallocate(tokens int64) {
	e.used -= tokens
	e.wakeLoop()
}

// trimCache evicts prefix blocks that exceed CacheTokens or the free memory.
func (e *Engine) trimCache() {
	e.cache.trim(min(e.opts.CacheTokens, e.freeTokens()))
}
