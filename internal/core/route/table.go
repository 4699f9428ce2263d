package route

import (
	"crypto/sha256"
	"fmt"
	"strings"

	"github.com/buckthorndock/buckthorndock/internal/core/finding"
)

// Spec is a table before validation.
type Spec struct {
	Version   int64 // increases with each change
	Routes    []Route
	Services  []Service
	Customers []CustomerKeys // empty: no route requires a key
	Limits    Limits
}

// CustomerKeys is a customer with its keys in plain text.
type CustomerKeys struct {
	Customer
	Keys []string
}

// Table is a validated, immutable route table.
//
// Invariants: each target of a route names a service of the table; the prefixes of a
// host are unique; keys are stored and looked up only as hashes, so that the time of
// a lookup reveals nothing about other keys.
type Table struct {
	version      int64
	hosts        map[string]map[string]*Route // by host and prefix
	services     map[string]*Service
	keys         map[[sha256.Size]byte]*Customer
	hasCustomers bool // there are customers, so routes require keys unless anonymous
	limits       Limits
	routes       int
}

// NewTable returns the table of a spec. The findings list the faults with their places;
// a route with a fault is left out of the table.
func NewTable(s Spec) (*Table, finding.List) {
	t := &Table{
		version:      s.Version,
		hosts:        map[string]map[string]*Route{},
		services:     make(map[string]*Service, len(s.Services)),
		keys:         map[[sha256.Size]byte]*Customer{},
		hasCustomers: len(s.Customers) > 0,
		limits:       s.Limits,
	}
	var found finding.List
	for i := range s.Services {
		t.services[s.Services[i].Name] = &s.Services[i]
	}
	for i := range s.Routes {
		t.addRoute(&s.Routes[i], fmt.Sprintf("routes[%d]", i), &found)
	}
	for i := range s.Customers {
		c := &s.Customers[i]
		for _, key := range c.Keys {
			t.keys[sha256.Sum256([]byte(key))] = &c.Customer
		}
	}
	return t, found
}

func (t *Table) addRoute(r *Route, key string, found *finding.List) {
	at := finding.Place{File: "routes", Key: key}
	r.Host = strings.ToLower(r.Host)
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		found.Addf(at, "prefix %q must begin and end with a slash", r.Prefix)
		return
	}
	if len(r.Targets) == 0 {
		found.Addf(at, "route %s leads to no service", r.Name)
		return
	}
	for _, target := range r.Targets {
		if t.services[target.Service] == nil {
			found.Addf(at, "unknown service %q", target.Service)
			return
		}
	}
	r.MaxAttempts = max(r.MaxAttempts, 1)
	prefixes := t.hosts[r.Host]
	if prefixes == nil {
		prefixes = map[string]*Route{}
		t.hosts[r.Host] = prefixes
	}
	prefixes[r.Prefix] = r
	t.routes++
}

// Version returns the version of the spec.
func (t *Table) Version() int64 { return t.version }

// Len returns the number of routes.
func (t *Table) Len() int { return t.routes }

// Limits returns the limits on what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Match returns the route of a host with the longest prefix of the path, or nil. The
// host may include a port.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	prefixes := t.hosts[strings.ToLower(host)]
	if prefixes == nil {
		return nil
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r := prefixes[path[:slash+1]]; r != nil {
			return r
		}
		end = slash
	}
	return nil
}

// NeedsKey reports whether a request on the route must have a known key.
func (t *Table) NeedsKey(r *Route) bool { return t.hasCustomers && !r.Anonymous }

// CustomerOf returns the customer that owns a key, or nil for an unknown key.
func (t *Table) CustomerOf(key string) *Customer {
	if key == "" {
		return nil
	}
	return t.keys[sha256.Sum256([]byte(key))]
}
