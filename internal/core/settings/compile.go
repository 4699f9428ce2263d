package settings

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/buckthorndock/buckthorndock/internal/core/finding"
)

// Source is one parsed document that is in force.
type Source struct {
	Path     string
	Version  int64 // offset of the change that set it
	Document *Document
}

// Compile joins documents into one snapshot. The snapshot is always usable: an item that
// conflicts with another document is left out and reported. Of two items with the same name,
// address or token, the one in the document of the lower version is kept, so that a later
// change never takes over what is in force.
func Compile(sources []Source) (*Snapshot, finding.List) {
	c := newCompiler(sources)
	c.forEachSource(c.addTokenHolders)
	c.forEachSource(c.addPools)
	c.forEachSource(c.evacuate)
	c.forEachSource(c.addModels)
	c.forEachSource(c.addServices)
	c.forEachSource(c.checkRequestDefaults)
	c.snapshot.sortLists()
	c.findings.Sort()
	return c.snapshot, c.findings
}

// compiler holds the state of one call of Compile.
type compiler struct {
	sources  []Source // by version, then path
	tree     *tree
	snapshot *Snapshot
	findings finding.List

	addresses map[string]string               // name of the upstream by its address
	hashes    map[[tokenHashBytes]byte]string // owner of a token, for findings, by its hash
	operators map[string]bool
}

func newCompiler(sources []Source) *compiler {
	c := &compiler{
		snapshot:  newSnapshot(),
		addresses: map[string]string{},
		hashes:    map[[tokenHashBytes]byte]string{},
		operators: map[string]bool{},
	}
	documents := make(map[string]*Document, len(sources))
	for _, s := range sources {
		if !c.usable(s, documents) {
			continue
		}
		documents[s.Path] = s.Document
		c.sources = append(c.sources, s)
		c.snapshot.version = max(c.snapshot.version, s.Version)
	}
	slices.SortFunc(c.sources, func(a, b Source) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Path, b.Path))
	})
	c.tree = newTree(documents)
	c.snapshot.tree = c.tree
	return c
}

func (c *compiler) usable(s Source, documents map[string]*Document) bool {
	place := finding.Place{File: s.Path}
	switch {
	case !ValidPath(s.Path):
		c.findings.Addf(place, "invalid settings path")
	case s.Document == nil:
		c.findings.Addf(place, "has no document")
	case documents[s.Path] != nil:
		c.findings.Addf(place, "is listed twice")
	default:
		return true
	}
	return false
}

func (c *compiler) forEachSource(step func(Source)) {
	for _, s := range c.sources {
		step(s)
	}
}

func (c *compiler) addf(s Source, key, format string, args ...any) {
	place := finding.Place{File: s.Path, Line: lineFor(s.Document.lines, key), Key: key}
	c.findings.Addf(place, format, args...)
}

// addTokenHolders adds operators and customers in one step, so that of two with the same
// token the one in the older document keeps it, whichever kind it is.
func (c *compiler) addTokenHolders(s Source) {
	c.addOperators(s)
	c.addCustomers(s)
}

func (c *compiler) addOperators(s Source) {
	for i, o := range s.Document.Operators {
		key := fmt.Sprintf("operators[%d]", i)
		if c.operators[o.Name] {
			c.addf(s, key+".name", "operator %q exists already", o.Name)
			continue
		}
		c.operators[o.Name] = true
		view := &OperatorView{Name: o.Name, Path: s.Path}
		view.hashes = c.claimHashes(s, key, "operator "+o.Name, o.TokenSHA256)
		c.snapshot.operators = append(c.snapshot.operators, view)
	}
}

// claimHashes returns the hashes that no other operator or customer has, and reports the rest.
func (c *compiler) claimHashes(s Source, key, holder string, texts []string) [][tokenHashBytes]byte {
	var own [][tokenHashBytes]byte
	for i, text := range texts {
		hash, ok := decodeHash(text)
		if !ok {
			continue
		}
		if other := c.hashes[hash]; other != "" {
			c.addf(s, fmt.Sprintf("%s.token_sha256[%d]", key, i), "%s has the same token", other)
			continue
		}
		c.hashes[hash] = holder
		own = append(own, hash)
	}
	return own
}

func (c *compiler) addCustomers(s Source) {
	for i, u := range s.Document.Customers {
		key := fmt.Sprintf("customers[%d]", i)
		if other := c.snapshot.customers[u.Name]; other != nil {
			c.addf(s, key+".name", "customer %q exists already at %s", u.Name, other.Path)
			continue
		}
		view := c.newCustomerView(s.Path, u)
		view.hashes = c.claimHashes(s, key, "customer "+u.Name, u.TokenSHA256)
		c.snapshot.customers[u.Name] = view
	}
}

func (c *compiler) newCustomerView(path string, u Customer) *CustomerView {
	here := c.tree.at(path)
	view := &CustomerView{
		Name:     u.Name,
		Path:     path,
		Weight:   cmp.Or(u.Weight, DefaultWeight),
		Routing:  here.routing,
		Requests: here.requests,
		Limits:   slices.Clone(here.limits),
	}
	if u.Limits != nil && *u.Limits != (Limits{}) {
		view.Limits = append(view.Limits, LimitNode{Name: customerNode + u.Name, Limits: *u.Limits})
	}
	return view
}

func (c *compiler) addPools(s Source) {
	for i, p := range s.Document.Pools {
		key := fmt.Sprintf("pools[%d]", i)
		if other := c.snapshot.pools[p.Name]; other != nil {
			c.addf(s, key+".name", "pool %q exists already at %s", p.Name, other.Path)
			continue
		}
		view := &PoolView{
			Name:          p.Name,
			Kind:          p.Kind,
			Path:          s.Path,
			ChecksFencing: p.ChecksFencing,
			MaxOrderTime:  milliseconds(cmp.Or(p.MaxOrderMs, DefaultMaxOrderMs)),
			Routing:       c.tree.at(s.Path).routing,
		}
		c.snapshot.pools[p.Name] = view
		for j, u := range p.Upstreams {
			c.addUpstream(s, fmt.Sprintf("%s.upstreams[%d]", key, j), view, u)
		}
	}
}

func (c *compiler) addUpstream(s Source, key string, pool *PoolView, u Upstream) {
	if other := c.snapshot.upstreams[u.Name]; other != nil {
		c.addf(s, key+".name", "upstream %q exists already in pool %q", u.Name, other.Pool.Name)
		return
	}
	if other := c.addresses[u.Address]; other != "" {
		c.addf(s, key+".address", "upstream %q has the same address", other)
		return
	}
	view := &UpstreamView{
		Name:    u.Name,
		Address: u.Address,
		Domain:  u.Domain,
		Leaving: u.State == StateLeaving,
		Pool:    pool,
	}
	c.addresses[u.Address] = u.Name
	c.snapshot.upstreams[u.Name] = view
	pool.Upstreams = append(pool.Upstreams, view)
}

// evacuate marks the upstreams of the failure domain that the document evacuates.
func (c *compiler) evacuate(s Source) {
	domain := s.Document.Evacuate
	if domain == "" {
		return
	}
	known := false
	for _, u := range c.snapshot.upstreams {
		if u.Domain == domain {
			u.Evacuated, known = true, true
		}
	}
	if !known {
		c.addf(s, "evacuate", "no upstream is in the failure domain %q", domain)
		return
	}
	c.snapshot.evacuated = append(c.snapshot.evacuated, domain)
}

func (c *compiler) addModels(s Source) {
	for i, m := range s.Document.Models {
		key := fmt.Sprintf("models[%d]", i)
		if other := c.snapshot.models[m.Name]; other != nil {
			c.addf(s, key+".name", "model %q exists already at %s", m.Name, other.Path)
			continue
		}
		pool := c.poolFor(s, key, m.Pool, PoolEngine)
		if pool == nil {
			continue
		}
		view := &ModelView{
			Name:          m.Name,
			Path:          s.Path,
			Version:       m.Version,
			Adapters:      slices.Clone(m.Adapters),
			BytesPerToken: cmp.Or(m.BytesPerToken, DefaultBytesPerToken),
			Urgent:        m.Urgent,
			Routing:       c.tree.at(s.Path).routing,
			Pool:          pool,
			customers:     c.restriction(s, key, m.Customers),
		}
		c.snapshot.models[m.Name] = view
		pool.Models = append(pool.Models, view)
	}
}

// poolFor returns the pool of a name if it has the wanted kind and is visible at the source's
// path. Otherwise it reports why not and returns nil.
func (c *compiler) poolFor(s Source, key, name, kind string) *PoolView {
	pool := c.snapshot.pools[name]
	switch {
	case pool == nil:
		c.addf(s, key+".pool", "no pool %q", name)
	case !Contains(pool.Path, s.Path):
		c.addf(s, key+".pool", "pool %q of %s is not on the way to the root", name, pool.Path)
	case pool.Kind != kind:
		c.addf(s, key+".pool", "pool %q is of kind %s, not %s", name, pool.Kind, kind)
	default:
		return pool
	}
	return nil
}

// restriction returns the names of the customers that may use an item, nil when all may. An
// unknown customer is reported and kept: without it an empty list could open the item to all.
func (c *compiler) restriction(s Source, key string, names []string) map[string]bool {
	if len(names) == 0 {
		return nil
	}
	allowed := make(map[string]bool, len(names))
	for i, name := range names {
		customer := c.snapshot.customers[name]
		if customer == nil || !Contains(s.Path, customer.Path) {
			c.addf(s, fmt.Sprintf("%s.customers[%d]", key, i), "no customer %q at or below %s", name, s.Path)
		}
		allowed[name] = true
	}
	return allowed
}

func (c *compiler) addServices(s Source) {
	for i, v := range s.Document.Services {
		key := fmt.Sprintf("services[%d]", i)
		if other := c.snapshot.services[v.Name]; other != nil {
			c.addf(s, key+".name", "service %q exists already at %s", v.Name, other.Path)
			continue
		}
		pool := c.poolFor(s, key, v.Pool, PoolService)
		if pool == nil {
			continue
		}
		c.snapshot.services[v.Name] = &ServiceView{
			Name:       v.Name,
			Path:       s.Path,
			Routing:    c.tree.at(s.Path).routing,
			Pool:       pool,
			Operations: slices.Clone(v.Operations),
			customers:  c.restriction(s, key, v.Customers),
		}
	}
}

// checkRequestDefaults reports default deadlines and priorities that exceed the bounds in
// force at the same path.
func (c *compiler) checkRequestDefaults(s Source) {
	here := c.tree.at(s.Path).requests
	if here.DeadlineMs > here.MaxDeadlineMs {
		c.addf(s, "requests", "deadline_ms %d is above max_deadline_ms %d", here.DeadlineMs, here.MaxDeadlineMs)
	}
	for i, v := range s.Document.Services {
		for j, o := range v.Operations {
			if o.DeadlineMs > here.MaxDeadlineMs {
				key := fmt.Sprintf("services[%d].operations[%d].deadline_ms", i, j)
				c.addf(s, key, "is above max_deadline_ms %d", here.MaxDeadlineMs)
			}
		}
	}
	if here.DefaultPriority() < here.MaxPriority() {
		c.addf(s, "requests", "priority %s is more urgent than highest_priority %s", here.Priority, here.HighestPriority)
	}
}
