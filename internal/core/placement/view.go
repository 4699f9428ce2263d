package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// View is what one front knows of all upstreams. Its methods update it; Place and
// PlaceService read it.
type View struct {
	opts    Options
	pools   map[string]*pool
	engines map[string]*Engine // by name
	flights map[ID]*flight
	models  map[string]*modelStats

	// Scratch space of one placement, kept to save allocations.
	eligible   []*Engine
	fitting    []*Engine
	withMemory []*Engine
}

// pool is a set of equivalent upstreams.
type pool struct {
	name   string
	groups map[string]*group // by failure domain
}

// group is the part of a pool in one failure domain.
type group struct {
	pool     string
	domain   string
	engines  []*Engine // by name
	prefixes prefixIndex
	boundary boundary

	ranked   bool      // ranks are up to date
	live     []*Engine // by rank
	holdTime mean      // seconds for which a request holds memory
}

// NewView returns an empty view.
func NewView(opts Options) *View {
	return &View{
		opts:    opts.withDefaults(),
		pools:   map[string]*pool{},
		engines: map[string]*Engine{},
		flights: map[ID]*flight{},
		models:  map[string]*modelStats{},
	}
}

// SetPool sets the upstreams of a pool. What is known of an upstream is kept as long as
// its address and domain stay the same. An empty list removes the pool.
func (v *View) SetPool(name string, specs []Spec) {
	wanted := make(map[string]Spec, len(specs))
	for _, s := range specs {
		wanted[s.Name] = s
	}
	p := v.ensurePool(name)
	for _, g := range p.groups {
		v.dropUnwanted(g, wanted)
	}
	for _, s := range specs {
		v.addEngine(p, s)
	}
	if len(specs) == 0 {
		delete(v.pools, name)
	}
}

func (v *View) ensurePool(name string) *pool {
	p := v.pools[name]
	if p == nil {
		p = &pool{name: name, groups: map[string]*group{}}
		v.pools[name] = p
	}
	return p
}

func (p *pool) ensureGroup(domain string) *group {
	g := p.groups[domain]
	if g == nil {
		g = &group{pool: p.name, domain: domain, prefixes: newPrefixIndex()}
		p.groups[domain] = g
	}
	return g
}

func (v *View) dropUnwanted(g *group, wanted map[string]Spec) {
	g.engines = slices.DeleteFunc(g.engines, func(e *Engine) bool {
		if wanted[e.spec.Name] == e.spec {
			return false
		}
		v.forget(e)
		return true
	})
	g.ranked = false
}

// forget removes everything known of an engine except its entry in the group.
func (v *View) forget(e *Engine) {
	e.clearCache()
	for id, f := range v.flights {
		if f.engine == e {
			delete(v.flights, id)
		}
	}
	delete(v.engines, e.spec.Name)
}

func (v *View) addEngine(p *pool, s Spec) {
	old := v.engines[s.Name]
	if old != nil && old.group.pool == p.name && old.spec == s {
		return
	}
	if old != nil {
		old.group.remove(old)
		v.forget(old)
	}
	g := p.ensureGroup(s.Domain)
	e := newEngine(s, g)
	at, _ := slices.BinarySearchFunc(g.engines, e, byName)
	g.engines = slices.Insert(g.engines, at, e)
	g.ranked = false
	v.engines[s.Name] = e
}

func (g *group) remove(e *Engine) {
	g.engines = slices.DeleteFunc(g.engines, func(x *Engine) bool { return x == e })
	g.ranked = false
}

func byName(a, b *Engine) int {
	return cmp.Compare(a.spec.Name, b.spec.Name)
}

// Engine returns what is known of the upstream with the given name, or nil when no pool
// has it.
func (v *View) Engine(name string) *Engine {
	return v.engines[name]
}

// Engines returns the upstreams of a pool, ordered by domain and name, or nil for an
// unknown pool.
func (v *View) Engines(poolName string) []*Engine {
	p := v.pools[poolName]
	if p == nil {
		return nil
	}
	var all []*Engine
	for _, g := range p.groups {
		all = append(all, g.engines...)
	}
	slices.SortFunc(all, func(a, b *Engine) int {
		return cmp.Or(cmp.Compare(a.spec.Domain, b.spec.Domain), byName(a, b))
	})
	return all
}

// SetState sets the state of an upstream. It returns false for an unknown name. When an
// upstream dies, its cached prefixes and its last report are dropped.
func (v *View) SetState(name string, s State) bool {
	e := v.engines[name]
	if e == nil {
		return false
	}
	if e.state == s {
		return true
	}
	e.state = s
	e.group.ranked = false
	if s == Dead {
		e.reset()
	}
	return true
}

// ApplyReport applies a load report. It returns false, and changes nothing, for
// an unknown name and for a report that is not newer than the last.
func (v *View) ApplyReport(name string, r Report) bool {
	e := v.engines[name]
	if e == nil || !e.isNewer(&r) {
		return false
	}
	if e.cacheIncarnation != r.Incarnation {
		e.clearCache()
		e.cacheIncarnation = r.Incarnation
	}
	if e.report.Leaving != r.Leaving {
		e.group.ranked = false
	}
	e.report = r
	e.reported = true
	e.removeReported(r.Taken.Add(-v.opts.ReportSlack))
	return true
}

// ApplyCacheEvents applies cache events, which may be in any order and have gaps. It
// returns the number of missing events, whose changes stay unknown. An event that is not
// later than the last applied one is ignored.
func (v *View) ApplyCacheEvents(name, incarnation string, events []CacheEvent) (missed int64) {
	e := v.engines[name]
	if e == nil || e.state == Dead {
		return 0
	}
	if e.cacheIncarnation != incarnation {
		e.clearCache()
		e.cacheIncarnation = incarnation
	}
	ordered := slices.SortedFunc(slices.Values(events), func(a, b CacheEvent) int {
		return cmp.Compare(a.Seq, b.Seq)
	})
	for _, ev := range ordered {
		missed += e.applyCacheEvent(ev, v.opts.PrefixBlocks)
	}
	return missed
}

// rankLive ranks the live engines by rendezvous hashing of their names, so that all
// fronts that know the same engines agree on the order without communication, and adding
// or removing an engine does not reorder the others.
func (g *group) rankLive() {
	if g.ranked {
		return
	}
	live := make([]*Engine, 0, len(g.engines))
	for _, e := range g.engines {
		e.rank = unranked
		if e.acceptsWork() {
			live = append(live, e)
		}
	}
	slices.SortFunc(live, func(a, b *Engine) int {
		return cmp.Or(cmp.Compare(a.score, b.score), byName(a, b))
	})
	for i, e := range live {
		e.rank = i
	}
	g.live = live
	g.ranked = true
}

// enginesInState returns the engines to check for a state: the live ones by rank for Live,
// all engines of the group for any other state.
func (g *group) enginesInState(s State) []*Engine {
	if s == Live {
		return g.live
	}
	return g.engines
}

func rendezvousScore(pool, engine string) uint64 {
	return xxhash.Sum64String(pool + "\x00" + engine)
}

// modelStats holds the learnt means of one model.
type modelStats struct {
	tokensPerByte mean
	answerShare   mean
}

func (v *View) ensureModel(name string) *modelStats {
	m := v.models[name]
	if m == nil {
		m = &modelStats{}
		v.models[name] = m
	}
	return m
}

// NotePrompt updates the tokens per byte of a model from a prompt whose tokens an
// engine has counted.
func (v *View) NotePrompt(model string, bytes, tokens int, now time.Time) {
	if bytes <= 0 || tokens <= 0 {
		return
	}
	ratio := float64(tokens) / float64(bytes)
	v.ensureModel(model).tokensPerByte.observe(ratio, now, v.opts.RateHalfLife)
}

// TokensPerByte returns the expected number of tokens per byte of a prompt. prior is the
// value from the settings; zero or less means that of the options.
func (v *View) TokensPerByte(model string, prior float64, now time.Time) float64 {
	if prior <= 0 {
		prior = v.opts.TokensPerByte
	}
	m := v.models[model]
	if m == nil {
		return prior
	}
	return m.tokensPerByte.value(prior, now, v.opts.RateHalfLife)
}
