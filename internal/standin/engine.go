package standin

import (
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
)

// CrashMarker in a prompt makes the engine exit with code 3 when it starts to
// prefill it.
const CrashMarker = "CRASH-ENGINE"

// Defaults of EngineOptions.
const (
	DefaultMemoryTokens = 400_000
	DefaultPrefillTPS   = 20_000
	DefaultDecodeStep   = 20 * time.Millisecond
	DefaultBatch        = 32
	DefaultChunkTokens  = 2048
	DefaultBlockTokens  = 512
	DefaultLoadTime     = 2 * time.Second
)

// EngineOptions sets up an engine. Zero values take the defaults.
type EngineOptions struct {
	Name         string
	Models       []string      // served from the start, name or name@version
	Role         string        // reported until an order changes it
	MemoryTokens int64         // KV memory; 400,000
	PrefillTPS   float64       // prompt tokens a second; 20,000
	DecodeStep   time.Duration // for one token of each stream; 20ms
	Batch        int           // requests that run at a time; 32
	ChunkTokens  int           // prompt tokens of one step; 2,048
	BlockTokens  int           // of a prefix block; 512
	CacheTokens  int64         // most that the prefix cache keeps; all free memory
	EventDelay   time.Duration // how late cache events show
	LoadLag      time.Duration // how old load reports are
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	LoadTime      time.Duration // of a model or adapter; 2s
	// TimeScale is engine seconds in a real second; 1. It speeds up steps and
	// loads, not EventDelay and LoadLag.
	TimeScale float64
	Exit      func(code int) // nil: the engine dies alone, within its process
}

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

func scale(d time.Duration, by float64) time.Duration {
	return time.Duration(float64(d) / by)
}

// Engine is a model engine with continuous batching. One goroutine steps it;
// calls change its state under mu.
//
// Invariant: used is the sum of what runs, reservations and exports hold, and
// never exceeds MemoryTokens. A run on a reservation holds nothing itself.
type Engine struct {
	*base
	engineapi.UnimplementedHandler
	opts        EngineOptions
	incarnation string
	client      *http.Client // towards the other members of a gang
	wake        chan struct{}

	mu           sync.Mutex
	runs         map[runKey]*run
	queue        []*run // in order of priority and arrival
	active       []*run // admitted and not at their end
	arrivals     int64
	used         int64
	reservations map[string]*reservation
	exports      map[string]*engineapi.KVExport
	cache        *prefixCache
	orders       orderBook
	loads        []loadSnapshot
	loadSeq      int64
	stepTime     time.Duration // smoothed length of a step with decoding
	assistUntil  time.Time     // a gang led by another engine computes here
}

type reservation struct {
	engineapi.Reservation
	user *run // the run that uses it, if any
}

// NewEngine returns an engine and starts its step loop; Close ends it.
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
	e.failure = writeOverloaded
	e.api = engineServer(e, e)
	e.control.HandleFunc("POST "+assistPath, e.handleAssist)
	e.mu.Lock()
	e.snapshot(time.Now())
	e.mu.Unlock()
	go e.loop()
	return e
}

// signal wakes the step loop.
func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// free returns the tokens that nothing holds; the prefix cache may be in them.
func (e *Engine) free() int64 {
	return e.opts.MemoryTokens - e.used
}

// hold takes memory that is free, at the cost of the prefix cache.
func (e *Engine) hold(tokens int64) {
	e.used += tokens
	e.trimCache()
}

// drop gives memory back.
func (e *Engine) drop(tokens int64) {
	e.used -= tokens
	e.signal()
}

func (e *Engine) trimCache() {
	e.cache.trim(min(e.opts.CacheTokens, e.free()))
}
