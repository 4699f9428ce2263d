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

// OrderPool is a pool of this failure domain as orders need it.
type OrderPool struct {
	Name          string
	ChecksFencing bool
	MaxOrderTime  time.Duration
	Desired       order.Desired
	Engines       []Engine
}

// OrderOptions are what Orders needs. Times left zero take the defaults.
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
	Interval    time.Duration // time between looks at the log and the pools; 2 s
	CallTimeout time.Duration // of a call to the log or an engine; 2 s
}

// DefaultOrderInterval is the default of OrderOptions.Every.
const DefaultOrderInterval = 2 * time.Second

// readLimit bounds the records of one read of the order stream.
const readLimit = 1000

// Orders keeps the order leases of the pools whose leader this host is, and
// brings their engines to the desired state. It has one goroutine, Run's.
type Orders struct {
	opts    OrderOptions
	replay  *order.Replay
	era     int64 // of the log
	pools   map[string]*orderPool
	permits map[string]time.Time // when a load may start, by engine and order
}

type orderPool struct {
	keeper  *order.LeaseManager
	planner *order.Planner
}

// NewOrders returns Orders that hold no lease.
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

// Run gives orders until the context ends.
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

func orderKey(pool string) string { return "orders/" + pool }

// step looks once at every pool. A host that leads none does not read the log.
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
	if err := o.follow(ctx); err != nil {
		o.logAway(err)
		return
	}
	for _, p := range mine {
		o.stepPool(ctx, p, wanted[p.Name])
	}
	o.expirePermits()
}

// permitLife is how long an unused permit is remembered: its order is no longer
// due after so long.
const permitLife = 10 * time.Minute

func (o *Orders) expirePermits() {
	now := o.opts.Clock()
	for key, at := range o.permits {
		if now.Sub(at) > permitLife {
			delete(o.permits, key)
		}
	}
}

// follow reads the stream to its end.
func (o *Orders) follow(ctx context.Context) error {
	for {
		call, cancel := context.WithTimeout(ctx, o.opts.CallTimeout)
		page, err := o.opts.Log.Read(call, order.Stream(o.opts.Domain), o.replay.Next(), readLimit, 0)
		cancel()
		if err != nil {
			return err
		}
		if o.restored(page.Era) {
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

// restored reports whether the log has come back from an older copy since it was read last.
func (o *Orders) restored(era int64) bool {
	was := o.era
	o.era = era
	if was == era || o.replay.Next() == 1 {
		return false
	}
	o.opts.Logger.WithFields(fields{"was": was, "era": era}).Warn("order_log_restored")
	o.replay.HandleLogRestored()
	return true
}

func (o *Orders) logAway(err error) {
	for _, p := range o.pools {
		p.keeper.MarkLogUnavailable()
	}
	o.opts.Logger.WithError(err).Warn("order_log_away")
}

func (o *Orders) stepPool(ctx context.Context, p OrderPool, want bool) {
	st := o.pool(p)
	rec := st.keeper.Step(o.replay, want, o.opts.Clock())
	if rec != nil && !o.append(ctx, *rec) {
		return
	}
	if _, ok := st.keeper.MayOrder(o.opts.Clock()); ok && want {
		o.bringAbout(ctx, p, st)
	}
	if l, ok := o.replay.Lease(p.Name); !want && (!ok || l.Holder != o.opts.Self || l.Dropped) {
		delete(o.pools, p.Name)
	}
}

func (o *Orders) pool(p OrderPool) *orderPool {
	st := o.pools[p.Name]
	if st == nil {
		st = &orderPool{
			keeper:  order.NewLeaseManager(o.opts.Lease, o.opts.Self, p.Name, p.ChecksFencing, p.MaxOrderTime, uuid.NewString),
			planner: order.NewPlanner(o.opts.Plan),
		}
		o.pools[p.Name] = st
	}
	return st
}

// append writes a record. After an error it may be in the log all the same; the
// keeper counts only what is read back.
func (o *Orders) append(ctx context.Context, rec order.Record) bool {
	data, err := rec.Encode()
	if err != nil {
		o.opts.Logger.WithError(err).Error("order_record_failed")
		return false
	}
	call, cancel := context.WithTimeout(ctx, o.opts.CallTimeout)
	defer cancel()
	if _, err := o.opts.Log.Append(call, order.Stream(o.opts.Domain), [][]byte{data}); err != nil {
		o.logAway(err)
		return false
	}
	return true
}

// bringAbout reads all engines of a pool back and gives the orders that are due.
func (o *Orders) bringAbout(ctx context.Context, p OrderPool, st *orderPool) {
	addresses := map[string]string{}
	var engines []order.Engine
	for _, e := range p.Engines {
		call, cancel := context.WithTimeout(ctx, o.opts.CallTimeout)
		state, err := o.opts.Engines.OrderState(call, e.Address)
		cancel()
		if err != nil {
			continue // not in reach: repaired when it is back
		}
		addresses[e.Name] = e.Address
		engines = append(engines, order.Engine{Name: e.Name, Desired: p.Desired, State: state})
	}
	for _, ord := range st.planner.Plan(engines, o.opts.Clock()) {
		if ord.IsLoad() && !o.permitted(ctx, ord) {
			continue
		}
		// Asked anew before each order: the reads may have taken long.
		fence, ok := st.keeper.MayOrder(o.opts.Clock())
		if !ok {
			return
		}
		o.give(ctx, st, fence, addresses[ord.Engine], ord)
	}
}

// permitted takes a permit of the weight store for a load, once, and tells
// whether its time has come.
func (o *Orders) permitted(ctx context.Context, ord order.Order) bool {
	key := ord.ID(0)
	now := o.opts.Clock()
	at, ok := o.permits[key]
	if !ok {
		call, cancel := context.WithTimeout(ctx, o.opts.CallTimeout)
		defer cancel()
		wait, err := o.opts.Weights.TakePermit(call, ord.Model)
		if err != nil {
			return false // the weight store is away: so are the weights
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

func (o *Orders) give(ctx context.Context, st *orderPool, fence int64, address string, ord order.Order) {
	call, cancel := context.WithTimeout(ctx, o.opts.CallTimeout)
	defer cancel()
	st.planner.MarkSent(ord, o.opts.Clock())
	err := o.opts.Engines.Order(call, address, fence, ord)
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
