package owner

import (
	"context"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/ledger"
	"github.com/buckthorndock/buckthorndock/internal/core/order"
)

// Engines calls engines by their address. An error of Reserve that is a *Refused
// says that the engine holds nothing; any other error of any call says nothing.
type Engines interface {
	Books(ctx context.Context, address string) (ledger.Books, error)
	Load(ctx context.Context, address string) (Load, error)
	CacheEvents(ctx context.Context, address string, from int64, limit int) (CacheEvents, error)
	Reserve(ctx context.Context, address string, ask ledger.ReserveRequest) error
	// Release and Cancel are idempotent; no error means that it is gone.
	Release(ctx context.Context, address, id string) error
	Cancel(ctx context.Context, address, requestID string, attempt int) error
	Order(ctx context.Context, address string, fence int64, o order.Order) error
	OrderState(ctx context.Context, address string) (order.State, error)
}

// RefusedError is an engine's clear no.
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
	Age           time.Duration // how old the report was when it was sent
	Step          time.Duration // of one batch
	PrefillRate   float64       // tokens a second
	DecodeRate    float64       // tokens a second of one stream
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

// CacheEvents is a part of an engine's cache events; a jump of Seq is a gap.
type CacheEvents struct {
	Next   int64
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

// Kinds of cache event, in the order of placement's.
const (
	BlockStored CacheKind = iota
	BlockEvicted
	CacheCleared
)

// Peers calls a net/rpc method of another host.
type Peers interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Ownership names the live host of this failure domain that a key belongs to;
// host is empty when none is known.
type Ownership interface {
	Owner(key string) (host, address string, self bool)
}

// Publisher spreads a named section to the hosts of the failure domain.
type Publisher interface {
	Publish(section string, data []byte)
}

// Engine is an engine of this failure domain as the settings list it.
type Engine struct {
	Name    string
	Address string // IP:port
	Pool    string
}

// Catalog returns the engines of this failure domain.
type Catalog func() []Engine

// Clock returns the present time, with its monotonic reading.
type Clock func() time.Time
