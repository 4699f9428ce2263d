package order

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind is the kind of an order; the values are those of the engine API.
type Kind string

// Kinds of orders.
const (
	LoadModel     Kind = "load_model"
	UnloadModel   Kind = "unload_model"
	LoadAdapter   Kind = "load_adapter"
	UnloadAdapter Kind = "unload_adapter"
	SetRole       Kind = "set_role"
)

// Model is a model that the engines of a pool should serve.
type Model struct {
	Name     string
	Version  string // empty: any
	Adapters []string
	Urgent   bool // loaded before others
}

// Desired is the state that the settings demand of each engine of a pool.
type Desired struct {
	Models []Model
	Role   string // empty: any
}

// State is the state that an engine reports. Models are name or name@version.
type State struct {
	Fence    int64
	Role     string
	Models   []string
	Adapters []string
	Loading  []string
}

// Order is one step to bring an engine to its desired state. It is idempotent.
type Order struct {
	Engine  string
	Kind    Kind
	Model   string
	Version string
	Adapter string
	Role    string
	Urgent  bool
}

// ID returns the ID of the order under a fencing number; a repeated order has the
// same ID.
func (o Order) ID(fence int64) string {
	return fmt.Sprintf("%d/%s", fence, o.key())
}

func (o Order) key() string {
	return strings.Join([]string{o.Engine, string(o.Kind), versioned(o.Model, o.Version), o.Adapter, o.Role}, "/")
}

// IsLoad reports whether the order reads weights from the weight store.
func (o Order) IsLoad() bool {
	return o.Kind == LoadModel || o.Kind == LoadAdapter
}

func versioned(name, version string) string {
	if version == "" {
		return name
	}
	return name + "@" + version
}

func modelName(s string) string {
	name, _, _ := strings.Cut(s, "@")
	return name
}

// Diff returns the orders that are due on an engine. An old version is unloaded
// only after the desired one is loaded, and an adapter is loaded only after its
// model. If no models are desired, nothing is unloaded: settings may be missing.
func Diff(engine string, d Desired, s State) []Order {
	if len(d.Models) == 0 {
		return nil
	}
	var orders []Order
	if d.Role != "" && d.Role != s.Role {
		orders = append(orders, Order{Engine: engine, Kind: SetRole, Role: d.Role})
	}
	for _, m := range d.Models {
		orders = append(orders, loadOrders(engine, m, s)...)
	}
	return append(orders, unloadOrders(engine, d, s)...)
}

func loadOrders(engine string, m Model, s State) []Order {
	if !s.isServing(m) {
		if s.isLoading(m) {
			return nil
		}
		return []Order{{Engine: engine, Kind: LoadModel, Model: m.Name, Version: m.Version, Urgent: m.Urgent}}
	}
	var orders []Order
	for _, a := range m.Adapters {
		if !slices.Contains(s.Adapters, a) && !slices.Contains(s.Loading, a) {
			orders = append(orders, Order{Engine: engine, Kind: LoadAdapter, Model: m.Name, Adapter: a, Urgent: m.Urgent})
		}
	}
	return orders
}

func (s State) isServing(m Model) bool {
	return listed(s.Models, m)
}

func (s State) isLoading(m Model) bool {
	return listed(s.Loading, m)
}

func listed(models []string, m Model) bool {
	return slices.ContainsFunc(models, func(have string) bool {
		if m.Version == "" {
			return modelName(have) == m.Name
		}
		return have == versioned(m.Name, m.Version)
	})
}

func unloadOrders(engine string, d Desired, s State) []Order {
	var orders []Order
	for _, have := range s.Models {
		if !mayUnload(have, d, s) {
			continue
		}
		name, version, _ := strings.Cut(have, "@")
		orders = append(orders, Order{Engine: engine, Kind: UnloadModel, Model: name, Version: version})
	}
	for _, a := range s.Adapters {
		wanted := slices.ContainsFunc(d.Models, func(m Model) bool { return slices.Contains(m.Adapters, a) })
		if !wanted {
			orders = append(orders, Order{Engine: engine, Kind: UnloadAdapter, Adapter: a})
		}
	}
	return orders
}

// mayUnload reports whether a loaded model is neither desired nor still needed
// until its new version is loaded.
func mayUnload(have string, d Desired, s State) bool {
	for _, m := range d.Models {
		if m.Name != modelName(have) {
			continue
		}
		if m.Version == "" || have == versioned(m.Name, m.Version) {
			return false
		}
		if !s.isServing(m) {
			return false
		}
	}
	return true
}

// PlanOptions configures a Planner. Zero fields take the defaults.
type PlanOptions struct {
	MaxLoads   int           // maximum number of concurrent loads in the pool; 2
	RetryEvery time.Duration // an order without effect after this is given again; 15 s
}

// Defaults of PlanOptions.
const (
	DefaultMaxLoads   = 2
	DefaultOrderRetry = 15 * time.Second
)

// Engine is one engine with its desired and its reported state.
type Engine struct {
	Name    string
	Desired Desired
	State   State
}

// Planner chooses the next orders to the engines of a pool.
type Planner struct {
	opts PlanOptions
	sent map[string]time.Time // when orders were last given, by order key
}

// NewPlanner returns a Planner without earlier orders.
func NewPlanner(opts PlanOptions) *Planner {
	if opts.MaxLoads == 0 {
		opts.MaxLoads = DefaultMaxLoads
	}
	opts.RetryEvery = cmp.Or(opts.RetryEvery, DefaultOrderRetry)
	return &Planner{opts: opts, sent: map[string]time.Time{}}
}

// Plan returns the orders to give now: first those that load no weights, then
// loads of urgent models, then other loads. An order is not repeated within
// RetryEvery, and there are at most MaxLoads loads at once.
func (p *Planner) Plan(engines []Engine, now time.Time) []Order {
	var due []Order
	loading := 0
	for _, e := range engines {
		loading += len(e.State.Loading)
		for _, o := range Diff(e.Name, e.Desired, e.State) {
			if p.recentlySent(o, now) {
				loading += count(o.IsLoad())
				continue
			}
			due = append(due, o)
		}
	}
	slices.SortStableFunc(due, func(a, b Order) int { return rank(a) - rank(b) })
	p.expire(now)
	kept := due[:0]
	for _, o := range due {
		if o.IsLoad() && loading >= p.opts.MaxLoads {
			continue
		}
		loading += count(o.IsLoad())
		kept = append(kept, o)
	}
	return kept
}

// MarkSent records that an order was given.
func (p *Planner) MarkSent(o Order, now time.Time) {
	p.sent[o.key()] = now
}

func (p *Planner) recentlySent(o Order, now time.Time) bool {
	at, ok := p.sent[o.key()]
	return ok && now.Sub(at) < p.opts.RetryEvery
}

func (p *Planner) expire(now time.Time) {
	for k, at := range p.sent {
		if now.Sub(at) >= p.opts.RetryEvery {
			delete(p.sent, k)
		}
	}
}

// rank returns the sort key of an order: orders that load no weights come first,
// then urgent loads.
func rank(o Order) int {
	switch {
	case !o.IsLoad():
		return 0
	case o.Urgent:
		return 1
	default:
		return 2
	}
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
