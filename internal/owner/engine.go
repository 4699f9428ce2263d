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

// HTTPEngines calls engines over the HTTP engine API. It implements Engines.
type HTTPEngines struct {
	http    *http.Client
	clock   Clock
	mu      sync.Mutex
	clients map[string]*engineapi.Client // by address
}

// NewHTTPEngines returns an HTTPEngines that uses c. Each call is bounded by its
// context only.
func NewHTTPEngines(c *http.Client, clock Clock) *HTTPEngines {
	return &HTTPEngines{http: c, clock: clock, clients: map[string]*engineapi.Client{}}
}

// CloseIdle closes the idle connections to engines.
func (h *HTTPEngines) CloseIdle() { h.http.CloseIdleConnections() }

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

// callEngine makes one call and returns a refusal as a *RefusedError.
func callEngine[T any, R any](h *HTTPEngines, address, operation string, f func(*engineapi.Client) (R, error)) (T, error) {
	var zero T
	c, err := h.client(address)
	if err != nil {
		return zero, err
	}
	res, err := f(c)
	if err != nil {
		return zero, merry.Prependf(err, "%s at %s", operation, address)
	}
	switch v := any(res).(type) {
	case T:
		return v, nil
	case *engineapi.RefusalStatusCode:
		return zero, &RefusedError{Code: string(v.Response.Code), Message: v.Response.Message}
	default:
		return zero, merry.Errorf("%s at %s: unexpected answer type %T", operation, address, res)
	}
}

// Books implements Engines.
func (h *HTTPEngines) Books(ctx context.Context, address string) (ledger.Books, error) {
	readStarted := h.clock()
	b, err := callEngine[*engineapi.Books](h, address, "read books", func(c *engineapi.Client) (engineapi.GetBooksRes, error) {
		return c.GetBooks(ctx)
	})
	if err != nil {
		return ledger.Books{}, err
	}
	return booksOf(b, readStarted), nil
}

func booksOf(b *engineapi.Books, readStarted time.Time) ledger.Books {
	out := ledger.Books{Incarnation: b.Incarnation, Total: b.MemoryTotalTokens, ReadStarted: readStarted}
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

const blockHashBase = 16 // engines send the 64-bit hash of a block in hex

// CacheEvents implements Engines. It skips an event whose block is not a valid
// hash; the jump in sequence numbers is a gap to the reader.
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
func (h *HTTPEngines) Reserve(ctx context.Context, address string, req ledger.ReserveRequest) error {
	body := &engineapi.Reservation{
		ID:        req.ID,
		RequestID: engineapi.NewOptString(req.Request),
		Holder:    engineapi.Holder(req.Holder),
		Tokens:    req.Tokens,
		GangSize:  engineapi.NewOptInt(max(req.GangSize, 1)),
	}
	_, err := callEngine[*engineapi.Reservation](h, address, "reserve", func(c *engineapi.Client) (engineapi.ReserveRes, error) {
		return c.Reserve(ctx, body)
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

// ignoreNotFound returns nil for an engine's "not found" refusal: the holding that
// was to be ended is gone.
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
