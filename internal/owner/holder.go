package owner

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/ledger"
	"github.com/buckthorndock/buckthorndock/internal/core/option"
)

// HolderOptions are what a Holder needs. Times left zero take the defaults.
type HolderOptions struct {
	Self      ledger.Holder
	Engines   Engines
	Peers     Peers
	Ownership Ownership
	Local     *RPC // of this host's own service
	Clock     Clock
	Log       logrus.FieldLogger

	// OnLost is called for each reservation that an engine no longer holds though
	// this front claims it; nil: nobody hears of it.
	OnLost func(engine, reservation string)

	RenewEvery        time.Duration // time between renewals; 5 s, a third of the ledger's soft limit
	CallTimeout       time.Duration // of a call to an owner or engine; 2 s
	RetryMin          time.Duration // first wait before an end is repeated, doubled each time; 200 ms
	RetryMax          time.Duration // 5 s
	EndLimit          time.Duration // an end is left to the engine's owner after it; 10 min
	CancelRepeatDelay time.Duration // a confirmed cancel is asked for once more after it; 200 ms
	RenewUnused       time.Duration // owners of engines that were used are told, if only that nothing is held, for it; 2 min
}

// Defaults of HolderOptions.
const (
	DefaultRenewEvery        = 5 * time.Second
	DefaultHolderTimeout     = 2 * time.Second
	DefaultRetryMin          = 200 * time.Millisecond
	DefaultRetryMax          = 5 * time.Second
	DefaultEndLimit          = 10 * time.Minute
	DefaultCancelRepeatDelay = 200 * time.Millisecond
	DefaultRenewUnused       = 2 * time.Minute
)

func (o HolderOptions) withDefaults() HolderOptions {
	option.Default(&o.RenewEvery, DefaultRenewEvery)
	option.Default(&o.CallTimeout, DefaultHolderTimeout)
	option.Default(&o.RetryMin, DefaultRetryMin)
	option.Default(&o.RetryMax, DefaultRetryMax)
	option.Default(&o.EndLimit, DefaultEndLimit)
	option.Default(&o.CancelRepeatDelay, DefaultCancelRepeatDelay)
	option.Default(&o.RenewUnused, DefaultRenewUnused)
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	return o
}

// Holder tracks all that this front has on engines: reservations, running
// attempts and KV exports. Run renews it and repeats unconfirmed ends.
//
// Invariant: an id is tracked before the call that may make an engine hold it,
// and until the engine or its owner has confirmed that it is gone, or the front
// has seen its regular end (Done).
type Holder struct {
	opts HolderOptions
	wake chan struct{}

	mu       sync.Mutex
	holdings map[holdingKey]*trackedHolding
	lastUsed map[string]time.Time // by engine: when something was last held there
	seq      uint64
}

// holdingKey names one holding.
type holdingKey struct {
	engine string
	id     ledger.ID
}

type trackedHolding struct {
	address         string // of the engine
	trackedAt       time.Time
	awaitingGrant   bool // a reservation whose grant has not come: not yet to be claimed
	ending          bool
	cancelConfirmed bool // a cancel was confirmed once
	endInFlight     bool // an end is being asked for
	endingSince     time.Time
	nextTry         time.Time // when the end is asked for again
	retryDelay      time.Duration
}

// NewHolder returns a holder of nothing.
func NewHolder(opts HolderOptions) *Holder {
	return &Holder{
		opts:     opts.withDefaults(),
		wake:     make(chan struct{}, 1),
		holdings: map[holdingKey]*trackedHolding{},
		lastUsed: map[string]time.Time{},
	}
}

// Track notes a holding. It is to be called before the engine hears of it.
func (h *Holder) Track(e Engine, id ledger.ID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := holdingKey{e.Name, id}
	h.lastUsed[e.Name] = h.opts.Clock()
	if h.holdings[key] == nil {
		h.holdings[key] = &trackedHolding{address: e.Address, trackedAt: h.opts.Clock()}
	}
}

// Untrack forgets a holding that the engine has ended by itself: a request that ran
// to its final marker or was never sent.
func (h *Holder) Untrack(engine string, id ledger.ID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := holdingKey{engine, id}
	if t := h.holdings[key]; t != nil && !t.ending {
		delete(h.holdings, key)
	}
}

// End has a holding released or cancelled. It returns at once; the end is asked
// for until it is confirmed.
func (h *Holder) End(e Engine, id ledger.ID) {
	h.mu.Lock()
	key := holdingKey{e.Name, id}
	h.lastUsed[e.Name] = h.opts.Clock()
	t := h.holdings[key]
	if t == nil {
		t = &trackedHolding{address: e.Address}
		h.holdings[key] = t
	}
	if !t.ending {
		t.ending = true
		t.endingSince = h.opts.Clock()
		t.retryDelay = h.opts.RetryMin
	}
	h.mu.Unlock()
	h.wakeRun()
}

// Counts returns the number of holdings, and of those whose end is not confirmed.
func (h *Holder) Counts() (all, ending int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range h.holdings {
		if t.ending && !t.cancelConfirmed {
			ending++
		}
	}
	return len(h.holdings), ending
}

// Reserve asks the engine's owner for memory. When it does not return a grant,
// nothing is held or its release is under way. An error says that no owner
// answered: the caller places the request without one or tries later, under a new
// id, because this one is being released.
func (h *Holder) Reserve(ctx context.Context, e Engine, ask ledger.ReserveRequest) (ReserveReply, error) {
	ask.Holder = h.opts.Self
	id := ledger.ID{Kind: ledger.Reservation, Name: ask.ID}
	h.Track(e, id)
	h.setAwaitingGrant(e, id, true)
	var reply ReserveReply
	err := h.callOwner(ctx, e.Name, methodReserve, ask, &reply)
	if err != nil {
		h.End(e, id)
		return ReserveReply{}, merry.Prependf(err, "reserve on %s", e.Name)
	}
	if !reply.Granted {
		h.handleDenial(e, id, reply.Reason)
	}
	h.setAwaitingGrant(e, id, false)
	return reply, nil
}

func (h *Holder) setAwaitingGrant(e Engine, id ledger.ID, asked bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t := h.holdings[holdingKey{e.Name, id}]; t != nil {
		t.awaitingGrant = asked
	}
}

// handleDenial forgets what was certainly not taken and ends the rest.
func (h *Holder) handleDenial(e Engine, id ledger.ID, reason ledger.Reason) {
	switch reason {
	case ledger.InProgress, ledger.AnswerLost:
		h.End(e, id)
	default:
		h.Untrack(e.Name, id)
	}
}

// callOwner calls the owner of a key, without the network when it is this host.
func (h *Holder) callOwner(ctx context.Context, key, method string, args, reply any) error {
	host, address, self := h.opts.Ownership.Owner(key)
	if host == "" {
		return merry.Errorf("no owner of %s is known", key)
	}
	return h.call(ctx, address, self, method, args, reply)
}

func (h *Holder) call(ctx context.Context, address string, self bool, method string, args, reply any) error {
	if self && h.opts.Local != nil {
		return h.opts.Local.dispatch(method, args, reply)
	}
	ctx, cancel := context.WithTimeout(ctx, h.opts.CallTimeout)
	defer cancel()
	return h.opts.Peers.Call(ctx, address, method, args, reply)
}

// dispatch calls a method of this host's own service.
func (r *RPC) dispatch(method string, args, reply any) error {
	switch method {
	case methodReserve:
		return r.Reserve(args.(ledger.ReserveRequest), reply.(*ReserveReply))
	case methodRelease:
		return r.Release(args.(ReleaseArgs), reply.(*ReleaseReply))
	case methodRenew:
		return r.Renew(args.(ledger.Renewal), reply.(*ledger.RenewalReply))
	case methodTurn:
		return r.Turn(args.(TurnArgs), reply.(*TurnReply))
	}
	return merry.Errorf("unknown method %s", method)
}

func (h *Holder) wakeRun() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}
