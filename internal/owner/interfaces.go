package owner

import (
	"context"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/ledger"
	"github.com/buckthorndock/buckthorndock/internal/core/order"
)

// Engines calls engines by their address. When Reserve returns a *RefusedError, the
// engine holds nothing; after any other error, of any method, the engine may or may
// not have carried out the call.
type Engines interface {
	Books(ctx context.Context, address string) (ledger.Books, error)
	Load(ctx context.Context, address string) (Load, error)
	CacheEvents(ctx context.Context, address string, from int64, limit int) (CacheEvents, error)
	Reserve(ctx context.Context, address string, req ledger.ReserveRequest) error
	// Release and Cancel are idempotent; no error means that the holding is gone.
	Release(ctx context.Context, address, id string) error
	Cancel(ctx context.Context, address, requestID string, attempt int) error
	Order(ctx context.Context, address string, fence int64, o order.Order) error
	OrderState(ctx context.Context, address string) (order.State, error)
}

// RefusedError is the error for a call that an engine refused.
type RefusedError struct {
	Code    string
	Message string
}

// Error implements error.
func (r *RefusedError) Error() string { return r.Code + ": " + r.Message }

// Load is an engine's load report.
type Load struct {
	Incarnation   string
	Seq           int64
	Age           time.Duration // age of the report when it was sent
	Step          time.Duration // duration of one batch step
	PrefillRate   float64       // tokens per second
	DecodeRate    float64       // tokens per second of one stream
	Queued        int
	QueuedPrefill int64 // tokens
	Running       int
	MemoryTotal   int64 // tokens
	MemoryUsed    int64 // tokens
	Models        []string
	Role          string
	Leaving       bool
	BlockTokens   int
}

// CacheEvents is a range of an engine's cache events. A jump in Seq means that events
// between are missing.
type CacheEvents struct {
	Next   int64 // sequence number from which to read on
	Events []CacheEvent
}

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Seq   int64
	Kind  CacheKind
	Block uint64
}

// CacheKind says what happened to a block.
type CacheKind uint8

// Kinds of cache event, in the order of the kinds of package placement.
const (
	BlockStored CacheKind = iota
	BlockEvicted
	CacheCleared
)

// Peers calls a net/rpc method of another host.
type Peers interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Ownership returns the live host of this failure domain that owns a key; host is
// empty when none is known.
type Ownership interface {
	Owner(key string) (host, address string, self bool)
}

// Publisher distributes a named section to the hosts of the failure domain.
type Publisher interface {
	Publish(section string, data []byte)
}

// Engine is an engine of this failure domain as listed in the settings.
type Engine struct {
	Name    string
	Address string // IP:port
	Pool    string
}

// Catalog returns the engines of this failure domain.
type Catalog func() []Engine

// Clock returns the current time, with its monotonic reading.
type Clock func() time.Time
