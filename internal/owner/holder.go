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

// HolderOptions configure a Holder. Zero durations take the defaults.
type HolderOptions struct {
	Self      ledger.Holder
	Engines   Engines
	Peers     Peers
	Ownership Ownership
	Local     *RPC // this host's own service, called without the network; nil: none
	Clock     Clock
	Log       logrus.FieldLogger

	// OnLost is called for each reservation that this front claims and the engine
	// no longer holds. It may be nil.
	OnLost func(engine, reservation string)

	RenewEvery        time.Duration // time between renewals; 5 s, a third of ledger.Options.UnclaimedTimeout
	CallTimeout       time.Duration // of a call to an owner or engine; 2 s
	RetryMin          time.Duration // first wait before a release or cancel is repeated, doubled each time; 200 ms
	RetryMax          time.Duration // longest such wait; 5 s
	EndLimit          time.Duration // a release or cancel is repeated for so long, then left to the engine's owner; 10 min
	CancelRepeatDelay time.Duration // wait until a confirmed cancel is sent a second time; 200 ms
	RenewUnused       time.Duration // owners get renewals, though empty, for so long after the last use of an engine; 2 min
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

// Holder tracks everything that this front holds on engines: reservations, running
// attempts and KV exports. Run renews it and repeats releases and cancels that are
// not confirmed.
//
// Invariant: an id is tracked from before the call that may make an engine hold it
// until the engine or its owner has confirmed that it is gone, or the front has
// seen its regular end (Untrack), or HolderOptions.EndLimit has passed.
type Holder struct {
	opts HolderOptions
	wake chan struct{}

	mu       sync.Mutex
	holdings map[holdingKey]*trackedHolding
	lastUsed map[string]time.Time // by engine: when this front last held something there
	seq      uint64
}

// holdingKey identifies one holding.
type holdingKey struct {
	engine string
	id     ledger.ID
}

// trackedHolding is the state of one holding.
type trackedHolding struct {
	address         string // of the engine
	trackedAt       time.Time
	awaitingGrant   bool // a reservation that is not granted yet, so not claimed in renewals
	ending          bool
	cancelConfirmed bool // a cancel was confirmed; it is sent once more
	endInFlight     bool // a release or cancel is under way
	endingSince     time.Time
	nextTry         time.Time // when the release or cancel is sent again
	retryDelay      time.Duration
}

// NewHolder returns a Holder that tracks nothing yet.
func NewHolder(opts HolderOptions) *Holder {
	return &Holder{
		opts:     opts.withDefaults(),
		wake:     make(chan struct{}, 1),
		holdings: map[holdingKey]*trackedHolding{},
		lastUsed: map[string]time.Time{},
	}
}

// Track starts tracking a holding. It must be called before the request that makes
// the engine hold it is sent.
func (h *Holder) Track(e Engine, id ledger.ID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := holdingKey{e.Name, id}
	h.lastUsed[e.Name] = h.opts.Clock()
	if h.holdings[key] == nil {
		h.holdings[key] = &trackedHolding{address: e.Address, trackedAt: h.opts.Clock()}
	}
}

// Untrack stops tracking a holding that needs no release: a request that ran to its
// final marker or was never sent. It does nothing once End was called.
func (h *Holder) Untrack(engine string, id ledger.ID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := holdingKey{engine, id}
	if t := h.holdings[key]; t != nil && !t.ending {
		delete(h.holdings, key)
	}
}

// End releases or cancels a holding. It returns at once; Run repeats the call until
// it is confirmed.
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

// Counts returns the number of tracked holdings, and how many of them have a
// release or cancel that is not confirmed.
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

// Reserve requests memory from the engine's owner. Unless the reply is a grant,
// nothing is held or its release is under way. An error means that no owner
// answered: the caller then places the request without a reservation, or tries
// later under a new id, because this one is being released.
func (h *Holder) Reserve(ctx context.Context, e Engine, req ledger.ReserveRequest) (ReserveReply, error) {
	req.Holder = h.opts.Self
	id := ledger.ID{Kind: ledger.Reservation, Name: req.ID}
	h.Track(e, id)
	h.setAwaitingGrant(e, id, true)
	var reply ReserveReply
	err := h.callOwner(ctx, e.Name, methodReserve, req, &reply)
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

// setAwaitingGrant sets whether a tracked reservation is still to be granted.
func (h *Holder) setAwaitingGrant(e Engine, id ledger.ID, awaiting bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t := h.holdings[holdingKey{e.Name, id}]; t != nil {
		t.awaitingGrant = awaiting
	}
}

// handleDenial ends a denied reservation that the engine may hold all the same, and
// stops tracking any other.
func (h *Holder) handleDenial(e Engine, id ledger.ID, reason ledger.Reason) {
	switch reason {
	case ledger.InProgress, ledger.AnswerLost:
		h.End(e, id)
	default:
		h.Untrack(e.Name, id)
	}
}

// callOwner calls a method at the owner of a key. It is an error when no owner is
// known.
func (h *Holder) callOwner(ctx context.Context, key, method string, args, reply any) error {
	host, address, self := h.opts.Ownership.Owner(key)
	if host == "" {
		return merry.Errorf("no owner of %s is known", key)
	}
	return h.call(ctx, address, self, method, args, reply)
}

// call calls a method at an address, without the network when self says that it is
// this host.
func (h *Holder) call(ctx context.Context, address string, self bool, method string, args, reply any) error {
	if self && h.opts.Local != nil {
		return h.opts.Local.dispatch(method, args, reply)
	}
	ctx, cancel := context.WithTimeout(ctx, h.opts.CallTimeout)
	defer cancel()
	return h.opts.Peers.Call(ctx, address, method, args, reply)
}

// dispatch calls a method of this host's own service by its name.
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

// wakeRun makes Run send the releases and cancels that are due.
func (h *Holder) wakeRun() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}
