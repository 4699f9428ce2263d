package owner

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
	"github.com/buckthorndock/buckthorndock/internal/core/ledger"
	"github.com/buckthorndock/buckthorndock/internal/core/order"
)

// HTTPEngines calls engines by the engine API. It implements Engines.
type HTTPEngines struct {
	http    *http.Client
	clock   Clock
	mu      sync.Mutex
	clients map[string]*engineapi.Client // by address
}

// NewHTTPEngines returns a caller of engines. Each call is bounded by its
// context.
func NewHTTPEngines(c *http.Client, clock Clock) *HTTPEngines {
	return &HTTPEngines{http: c, clock: clock, clients: map[string]*engineapi.Client{}}
}

func (h *HTTPEngines) client(address string) (*engineapi.Client, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c := h.clients[address]; c != nil {
		return c, nil
	}
	c, err := engineapi.NewClient("http://"+address, engineapi.WithClient(h.http))
	if err != nil {
		return nil, merry.Prependf(err, "engine client for %s", address)
	}
	h.clients[address] = c
	return c, nil
}

// callEngine makes one call and turns a refusal into a *Refused.
func callEngine[T any, R any](h *HTTPEngines, address, what string, f func(*engineapi.Client) (R, error)) (T, error) {
	var zero T
	c, err := h.client(address)
	if err != nil {
		return zero, err
	}
	res, err := f(c)
	if err != nil {
		return zero, merry.Prependf(err, "%s at %s", what, address)
	}
	switch v := any(res).(type) {
	case T:
		return v, nil
	case *engineapi.RefusalStatusCode:
		return zero, &RefusedError{Code: string(v.Response.Code), Message: v.Response.Message}
	default:
		return zero, merry.Errorf("%s at %s: unexpected answer %T", what, address, res)
	}
}

// Books implements Engines.
func (h *HTTPEngines) Books(ctx context.Context, address string) (ledger.Books, error) {
	asked := h.clock()
	b, err := callEngine[*engineapi.Books](h, address, "read books", func(c *engineapi.Client) (engineapi.GetBooksRes, error) {
		return c.GetBooks(ctx)
	})
	if err != nil {
		return ledger.Books{}, err
	}
	return booksOf(b, asked), nil
}

func booksOf(b *engineapi.Books, asked time.Time) ledger.Books {
	out := ledger.Books{Incarnation: b.Incarnation, Total: b.MemoryTotalTokens, ReadStarted: asked}
	for _, r := range b.Running {
		out.Items = append(out.Items, ledger.Item{
			ID:          ledger.ID{Kind: ledger.Running, Name: r.RequestID, Attempt: r.Attempt},
			Holder:      ledger.Holder(r.Holder),
			Tokens:      r.Tokens,
			Reservation: r.ReservationID.Or(""),
			Orphaned:    r.Phase == engineapi.RunningPhaseOrphaned,
		})
	}
	for _, r := range b.Reservations {
		id := ledger.ID{Kind: ledger.Reservation, Name: r.ID}
		out.Items = append(out.Items, ledger.Item{ID: id, Holder: ledger.Holder(r.Holder), Tokens: r.Tokens})
	}
	for _, x := range b.Exports {
		id := ledger.ID{Kind: ledger.Export, Name: x.ID}
		out.Items = append(out.Items, ledger.Item{ID: id, Holder: ledger.Holder(x.Holder), Tokens: x.Tokens.Or(0)})
	}
	return out
}

// Load implements Engines.
func (h *HTTPEngines) Load(ctx context.Context, address string) (Load, error) {
	r, err := callEngine[*engineapi.LoadReport](h, address, "read load", func(c *engineapi.Client) (engineapi.GetLoadRes, error) {
		return c.GetLoad(ctx)
	})
	if err != nil {
		return Load{}, err
	}
	return Load{
		Incarnation:   r.Incarnation,
		Seq:           r.Seq,
		Age:           time.Duration(r.AgeMs) * time.Millisecond,
		Step:          time.Duration(r.StepMs * float64(time.Millisecond)),
		PrefillRate:   r.PrefillTokensPerS,
		DecodeRate:    r.DecodeTokensPerS,
		Queued:        r.Queued,
		QueuedPrefill: r.QueuedPrefillTokens,
		Running:       r.Running,
		MemoryTotal:   r.MemoryTotalTokens,
		MemoryUsed:    r.MemoryUsedTokens,
		Models:        r.Models,
		Role:          r.Role,
		Leaving:       r.Leaving,
		BlockTokens:   r.BlockTokens,
	}, nil
}

var cacheKinds = map[engineapi.CacheEventKind]CacheKind{
	engineapi.CacheEventKindStored:  BlockStored,
	engineapi.CacheEventKindEvicted: BlockEvicted,
	engineapi.CacheEventKindCleared: CacheCleared,
}

const blockHashBase = 16 // blocks are 64-bit hashes in hex

// CacheEvents implements Engines. A block that is no hash is left out, which
// reads as a gap.
func (h *HTTPEngines) CacheEvents(ctx context.Context, address string, from int64, limit int) (CacheEvents, error) {
	params := engineapi.GetCacheEventsParams{From: from, Max: engineapi.NewOptInt(limit)}
	r, err := callEngine[*engineapi.CacheEvents](h, address, "read cache events", func(c *engineapi.Client) (engineapi.GetCacheEventsRes, error) {
		return c.GetCacheEvents(ctx, params)
	})
	if err != nil {
		return CacheEvents{}, err
	}
	out := CacheEvents{Next: r.Next}
	for _, e := range r.Events {
		kind := cacheKinds[e.Kind]
		block, err := strconv.ParseUint(e.Block, blockHashBase, 64)
		if err != nil && kind != CacheCleared {
			continue
		}
		out.Events = append(out.Events, CacheEvent{Seq: e.Seq, Kind: kind, Block: block})
	}
	return out, nil
}

// Reserve implements Engines.
func (h *HTTPEngines) Reserve(ctx context.Context, address string, ask ledger.ReserveRequest) error {
	req := &engineapi.Reservation{
		ID:        ask.ID,
		RequestID: engineapi.NewOptString(ask.Request),
		Holder:    engineapi.Holder(ask.Holder),
		Tokens:    ask.Tokens,
		GangSize:  engineapi.NewOptInt(max(ask.GangSize, 1)),
	}
	_, err := callEngine[*engineapi.Reservation](h, address, "reserve", func(c *engineapi.Client) (engineapi.ReserveRes, error) {
		return c.Reserve(ctx, req)
	})
	return err
}

// Release implements Engines.
func (h *HTTPEngines) Release(ctx context.Context, address, id string) error {
	_, err := callEngine[*engineapi.CancelResult](h, address, "release", func(c *engineapi.Client) (engineapi.ReleaseRes, error) {
		return c.Release(ctx, &engineapi.ReleaseRequest{ID: id})
	})
	return ignoreNotFound(err)
}

// Cancel implements Engines.
func (h *HTTPEngines) Cancel(ctx context.Context, address, requestID string, attempt int) error {
	_, err := callEngine[*engineapi.CancelResult](h, address, "cancel", func(c *engineapi.Client) (engineapi.CancelRes, error) {
		return c.Cancel(ctx, &engineapi.CancelRequest{RequestID: requestID, Attempt: attempt})
	})
	return ignoreNotFound(err)
}

// ignoreNotFound takes an engine's "not found" for the end that was asked for.
func ignoreNotFound(err error) error {
	var r *RefusedError
	if errors.As(err, &r) && r.Code == string(engineapi.RefusalCodeNotFound) {
		return nil
	}
	return err
}

// Order implements Engines.
func (h *HTTPEngines) Order(ctx context.Context, address string, fence int64, o order.Order) error {
	req := &engineapi.Order{
		Fence:   fence,
		ID:      o.ID(fence),
		Kind:    engineapi.OrderKind(o.Kind),
		Model:   optString(o.Model),
		Version: optString(o.Version),
		Adapter: optString(o.Adapter),
		Role:    optString(o.Role),
	}
	_, err := callEngine[*engineapi.OrderState](h, address, "order", func(c *engineapi.Client) (engineapi.OrderRes, error) {
		return c.Order(ctx, req)
	})
	return err
}

func optString(s string) engineapi.OptString {
	return engineapi.OptString{Value: s, Set: s != ""}
}

// OrderState implements Engines.
func (h *HTTPEngines) OrderState(ctx context.Context, address string) (order.State, error) {
	s, err := callEngine[*engineapi.OrderState](h, address, "read order state", func(c *engineapi.Client) (engineapi.GetOrderStateRes, error) {
		return c.GetOrderState(ctx)
	})
	if err != nil {
		return order.State{}, err
	}
	return order.State(*s), nil
}
