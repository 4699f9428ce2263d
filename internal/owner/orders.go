package owner

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/option"
	"github.com/buckthorndock/buckthorndock/internal/core/order"
	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// OrderPool is an engine pool of this failure domain with the state that the
// settings require of its engines.
type OrderPool struct {
	Name          string
	ChecksFencing bool
	MaxOrderTime  time.Duration
	Desired       order.Desired
	Engines       []Engine
}

// OrderOptions configure Orders. Zero durations take the defaults.
type OrderOptions struct {
	Domain    string
	Self      order.Holder
	Log       platform.Log
	Weights   platform.Weights
	Engines   Engines
	Ownership Ownership
	Pools     func() []OrderPool
	Clock     Clock
	Logger    logrus.FieldLogger

	Lease       order.Options
	Plan        order.PlanOptions
	Interval    time.Duration // time between two steps of Run; 2 s
	CallTimeout time.Duration // of a call to the log or an engine; 2 s
}

// DefaultOrderInterval is the default of OrderOptions.Interval.
const DefaultOrderInterval = 2 * time.Second

// maxRecordsPerRead bounds the records of one read of the order stream.
const maxRecordsPerRead = 1000

// Orders holds the order leases of the pools that this host leads, and brings
// their engines to the desired state. Only the goroutine of Run uses its fields.
type Orders struct {
	opts    OrderOptions
	replay  *order.Replay
	era     int64 // era of the log, as read last
	pools   map[string]*orderPool
	permits map[string]time.Time // when a load may start, by order id
}

type orderPool struct {
	leaseManager *order.LeaseManager
	planner      *order.Planner
}

// NewOrders returns an Orders that holds no lease yet.
func NewOrders(opts OrderOptions) *Orders {
	opts.Lease = opts.Lease.WithDefaults()
	option.Default(&opts.Interval, DefaultOrderInterval)
	option.Default(&opts.CallTimeout, DefaultCallTimeout)
	if opts.Clock == nil {
		opts.Clock = time.Now
	}
	if opts.Logger == nil {
		opts.Logger = logrus.StandardLogger()
	}
	return &Orders{
		opts:    opts,
		replay:  order.NewReplay(opts.Lease.Lease),
		pools:   map[string]*orderPool{},
		permits: map[string]time.Time{},
	}
}

// Run keeps leases and sends orders until the context ends.
func (o *Orders) Run(ctx context.Context) error {
	tick := time.NewTicker(o.opts.Interval)
	defer tick.Stop()
	for {
		o.step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// orderKey returns the ownership key whose owner leads the orders of a pool.
func orderKey(pool string) string { return "orders/" + pool }

// step handles, once, each pool that this host leads or still holds state of. It
// does not read the log when there is none.
func (o *Orders) step(ctx context.Context) {
	var mine []OrderPool
	wanted := map[string]bool{}
	for _, p := range o.opts.Pools() {
		_, _, self := o.opts.Ownership.Owner(orderKey(p.Name))
		wanted[p.Name] = self
		if self || o.pools[p.Name] != nil {
			mine = append(mine, p)
		}
	}
	if len(mine) == 0 {
		return
	}
	if err := o.readLog(ctx); err != nil {
		o.markLogUnavailable(err)
		return
	}
	for _, p := range mine {
		o.stepPool(ctx, p, wanted[p.Name])
	}
	o.expirePermits()
}

// permitLifetime is how long an unused permit is kept after the time from which it
// allows a load. Its order is no longer due by then.
const permitLifetime = 10 * time.Minute

func (o *Orders) expirePermits() {
	now := o.opts.Clock()
	for key, at := range o.permits {
		if now.Sub(at) > permitLifetime {
			delete(o.permits, key)
		}
	}
}

// readLog reads the order stream to its end into the replay.
func (o *Orders) readLog(ctx context.Context) error {
	for {
		callCtx, cancel := context.WithTimeout(ctx, o.opts.CallTimeout)
		page, err := o.opts.Log.Read(callCtx, order.Stream(o.opts.Domain), o.replay.Next(), maxRecordsPerRead, 0)
		cancel()
		if err != nil {
			return err
		}
		if o.checkRestored(page.Era) {
			continue
		}
		for _, r := range page.Records {
			if err := o.replay.Apply(order.Entry(r)); err != nil {
				o.opts.Logger.WithFields(fields{"offset": r.Offset}).WithError(err).Warn("order_record_refused")
			}
		}
		if len(page.Records) == 0 || o.replay.Next() >= page.EndOffset {
			return nil
		}
	}
}

// checkRestored reports whether the log was restored from an older copy since the
// last read, and then resets the replay. It stores the era of the log.
func (o *Orders) checkRestored(era int64) bool {
	previous := o.era
	o.era = era
	if previous == era || o.replay.Next() == 1 {
		return false
	}
	o.opts.Logger.WithFields(fields{"was": previous, "era": era}).Warn("order_log_restored")
	o.replay.HandleLogRestored()
	return true
}

// markLogUnavailable reports to all lease managers that the log could not be read or
// written.
func (o *Orders) markLogUnavailable(err error) {
	for _, p := range o.pools {
		p.leaseManager.MarkLogUnavailable()
	}
	o.opts.Logger.WithError(err).Warn("order_log_unavailable")
}

// stepPool advances the lease of one pool, sends its due orders if want is set and
// the lease allows it, and drops the state of a pool that this host no longer
// leads.
func (o *Orders) stepPool(ctx context.Context, p OrderPool, want bool) {
	st := o.poolState(p)
	rec := st.leaseManager.Step(o.replay, want, o.opts.Clock())
	if rec != nil && !o.appendRecord(ctx, *rec) {
		return
	}
	if _, ok := st.leaseManager.MayOrder(o.opts.Clock()); ok && want {
		o.reconcile(ctx, p, st)
	}
	if l, ok := o.replay.Lease(p.Name); !want && (!ok || l.Holder != o.opts.Self || l.Dropped) {
		delete(o.pools, p.Name)
	}
}

func (o *Orders) poolState(p OrderPool) *orderPool {
	st := o.pools[p.Name]
	if st == nil {
		st = &orderPool{
			leaseManager: order.NewLeaseManager(o.opts.Lease, o.opts.Self, p.Name, p.ChecksFencing, p.MaxOrderTime, uuid.NewString),
			planner:      order.NewPlanner(o.opts.Plan),
		}
		o.pools[p.Name] = st
	}
	return st
}

// appendRecord appends a record to the log and reports success. After an error the
// record may be in the log nevertheless: the lease manager counts only records that
// it reads back.
func (o *Orders) appendRecord(ctx context.Context, rec order.Record) bool {
	data, err := rec.Encode()
	if err != nil {
		o.opts.Logger.WithError(err).Error("order_record_failed")
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, o.opts.CallTimeout)
	defer cancel()
	if _, err := o.opts.Log.Append(callCtx, order.Stream(o.opts.Domain), [][]byte{data}); err != nil {
		o.markLogUnavailable(err)
		return false
	}
	return true
}

// reconcile reads the state of all engines of a pool and sends the orders that are
// due.
func (o *Orders) reconcile(ctx context.Context, p OrderPool, st *orderPool) {
	addresses := map[string]string{}
	var engines []order.Engine
	for _, e := range p.Engines {
		callCtx, cancel := context.WithTimeout(ctx, o.opts.CallTimeout)
		state, err := o.opts.Engines.OrderState(callCtx, e.Address)
		cancel()
		if err != nil {
			continue // unreachable: gets its orders when it answers again
		}
		addresses[e.Name] = e.Address
		engines = append(engines, order.Engine{Name: e.Name, Desired: p.Desired, State: state})
	}
	for _, ord := range st.planner.Plan(engines, o.opts.Clock()) {
		if ord.IsLoad() && !o.loadPermitted(ctx, ord) {
			continue
		}
		// The lease is checked before each order: the calls so far may have taken
		// long.
		fence, ok := st.leaseManager.MayOrder(o.opts.Clock())
		if !ok {
			return
		}
		o.sendOrder(ctx, st, fence, addresses[ord.Engine], ord)
	}
}

// loadPermitted takes a permit from the weight store for a load, once per order,
// and reports whether the load may start now.
func (o *Orders) loadPermitted(ctx context.Context, ord order.Order) bool {
	key := ord.ID(0)
	now := o.opts.Clock()
	at, ok := o.permits[key]
	if !ok {
		callCtx, cancel := context.WithTimeout(ctx, o.opts.CallTimeout)
		defer cancel()
		wait, err := o.opts.Weights.TakePermit(callCtx, ord.Model)
		if err != nil {
			return false // the weight store is unavailable, and with it the weights
		}
		at = now.Add(wait)
		o.permits[key] = at
	}
	if now.Before(at) {
		return false
	}
	delete(o.permits, key)
	return true
}

// sendOrder sends one order to an engine, under the fencing number of the lease, and
// logs the result.
func (o *Orders) sendOrder(ctx context.Context, st *orderPool, fence int64, address string, ord order.Order) {
	callCtx, cancel := context.WithTimeout(ctx, o.opts.CallTimeout)
	defer cancel()
	st.planner.MarkSent(ord, o.opts.Clock())
	err := o.opts.Engines.Order(callCtx, address, fence, ord)
	metricOrders.Inc()
	entry := o.opts.Logger.WithFields(fields{
		"engine":  ord.Engine,
		"order":   string(ord.Kind),
		"model":   ord.Model,
		"version": ord.Version,
		"adapter": ord.Adapter,
		"role":    ord.Role,
		"fence":   fence,
	})
	if err != nil {
		entry.WithError(err).Warn("order")
		return
	}
	entry.Info("order")
}
