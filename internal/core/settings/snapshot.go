package settings

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"maps"
	"slices"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// Snapshot holds the compiled settings in force at one time. It is immutable and safe for
// concurrent use, and so are the views that it returns.
type Snapshot struct {
	version   int64
	tree      *tree
	operators []*OperatorView
	customers map[string]*CustomerView
	pools     map[string]*PoolView
	upstreams map[string]*UpstreamView
	models    map[string]*ModelView
	services  map[string]*ServiceView
	evacuated []string // failure domains, sorted by name

	customerList []*CustomerView // the lists are sorted by name
	poolList     []*PoolView
	upstreamList []*UpstreamView
	modelList    []*ModelView
	serviceList  []*ServiceView
}

func newSnapshot() *Snapshot {
	return &Snapshot{
		customers: map[string]*CustomerView{},
		pools:     map[string]*PoolView{},
		upstreams: map[string]*UpstreamView{},
		models:    map[string]*ModelView{},
		services:  map[string]*ServiceView{},
	}
}

// sortLists fills the sorted lists from the maps.
func (s *Snapshot) sortLists() {
	s.customerList = sortedByName(s.customers, func(v *CustomerView) string { return v.Name })
	s.poolList = sortedByName(s.pools, func(v *PoolView) string { return v.Name })
	s.upstreamList = sortedByName(s.upstreams, func(v *UpstreamView) string { return v.Name })
	s.modelList = sortedByName(s.models, func(v *ModelView) string { return v.Name })
	s.serviceList = sortedByName(s.services, func(v *ServiceView) string { return v.Name })
	slices.Sort(s.evacuated)
	for _, p := range s.poolList {
		slices.SortFunc(p.Models, func(a, b *ModelView) int { return cmp.Compare(a.Name, b.Name) })
	}
}

func sortedByName[V any](m map[string]V, name func(V) string) []V {
	return slices.SortedFunc(maps.Values(m), func(a, b V) int { return cmp.Compare(name(a), name(b)) })
}

// Version returns the highest version among the documents, 0 when there are none.
func (s *Snapshot) Version() int64 { return s.version }

// CustomerByToken returns the customer with the bearer token.
func (s *Snapshot) CustomerByToken(token string) (*CustomerView, bool) {
	hash := sha256.Sum256([]byte(token))
	var found *CustomerView
	for _, c := range s.customerList {
		if matches(c.hashes, &hash) {
			found = c
		}
	}
	return found, found != nil
}

// OperatorByToken returns the operator with the bearer token.
func (s *Snapshot) OperatorByToken(token string) (*OperatorView, bool) {
	hash := sha256.Sum256([]byte(token))
	var found *OperatorView
	for _, o := range s.operators {
		if matches(o.hashes, &hash) {
			found = o
		}
	}
	return found, found != nil
}

// matches reports whether one of the hashes equals hash, in constant time. Callers compare all
// customers or operators, so that the time does not reveal either which of them matched.
func matches(hashes [][tokenHashBytes]byte, hash *[tokenHashBytes]byte) bool {
	equal := 0
	for i := range hashes {
		equal |= subtle.ConstantTimeCompare(hashes[i][:], hash[:])
	}
	return equal == 1
}

// Customer returns the customer of a name, nil when there is none.
func (s *Snapshot) Customer(name string) *CustomerView { return s.customers[name] }

// Customers returns all customers, sorted by name. The slice must not be changed.
func (s *Snapshot) Customers() []*CustomerView { return s.customerList }

// Pool returns the pool of a name, nil when there is none.
func (s *Snapshot) Pool(name string) *PoolView { return s.pools[name] }

// Pools returns all pools, sorted by name. The slice must not be changed.
func (s *Snapshot) Pools() []*PoolView { return s.poolList }

// Upstream returns the upstream of a name, nil when there is none.
func (s *Snapshot) Upstream(name string) *UpstreamView { return s.upstreams[name] }

// Upstreams returns all upstreams, sorted by name. The slice must not be changed.
func (s *Snapshot) Upstreams() []*UpstreamView { return s.upstreamList }

// EvacuatedDomains returns the failure domains whose upstreams are to get no new requests, sorted by
// name. The slice must not be changed.
func (s *Snapshot) EvacuatedDomains() []string { return s.evacuated }

// RoutingAt returns the routing in force at a path.
func (s *Snapshot) RoutingAt(path string) Routing { return s.tree.at(path).routing }

// LimitsAt returns the limits in force at a path, from the root down.
func (s *Snapshot) LimitsAt(path string) []LimitNode { return slices.Clone(s.tree.at(path).limits) }

// Model returns a model that the customer may use. The error is a
// *request.Refusal: CodeUnknownTarget when the model is not visible at the customer's path,
// CodeForbidden when the model is restricted to other customers.
func (s *Snapshot) Model(c *CustomerView, name string) (*ModelView, error) {
	m := s.models[name]
	if m == nil || !Contains(m.Path, c.Path) {
		return nil, request.Refuse(request.CodeUnknownTarget, 0, "no model %q for this customer", name)
	}
	if !allows(m.customers, c.Name) {
		return nil, request.Refuse(request.CodeForbidden, 0, "model %q is not for this customer", name)
	}
	return m, nil
}

// Models returns the models that the customer may use, sorted by name.
func (s *Snapshot) Models(c *CustomerView) []*ModelView {
	var visible []*ModelView
	for _, m := range s.modelList {
		if Contains(m.Path, c.Path) && allows(m.customers, c.Name) {
			visible = append(visible, m)
		}
	}
	return visible
}

// AllModels returns all models, sorted by name. The slice must not be changed.
func (s *Snapshot) AllModels() []*ModelView { return s.modelList }

// AllServices returns all services, sorted by name. The slice must not be changed.
func (s *Snapshot) AllServices() []*ServiceView { return s.serviceList }

// Operation returns an operation that the customer may call. The errors are those of Model, and
// CodeUnknownTarget when the service has no such operation.
func (s *Snapshot) Operation(c *CustomerView, name, operation string) (*OperationView, error) {
	v := s.services[name]
	if v == nil || !Contains(v.Path, c.Path) {
		return nil, request.Refuse(request.CodeUnknownTarget, 0, "no service %q for this customer", name)
	}
	if !allows(v.customers, c.Name) {
		return nil, request.Refuse(request.CodeForbidden, 0, "service %q is not for this customer", name)
	}
	for _, o := range v.Operations {
		if o.Name == operation {
			return &OperationView{Operation: o, Service: v}, nil
		}
	}
	return nil, request.Refuse(request.CodeUnknownTarget, 0, "service %q has no operation %q", name, operation)
}

func allows(customers map[string]bool, name string) bool {
	return len(customers) == 0 || customers[name]
}
