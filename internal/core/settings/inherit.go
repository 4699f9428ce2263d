package settings

import (
	"cmp"
	"maps"
	"slices"
)

// scope holds the values in force at one path after inheritance.
type scope struct {
	routing  Routing
	requests Requests
	limits   []LimitNode
}

// tree gives the scope of each path. Only paths with a document have a scope of their own;
// all others have that of their nearest ancestor.
type tree struct {
	documents map[string]*Document
	scopes    map[string]*scope
}

func newTree(documents map[string]*Document) *tree {
	t := &tree{documents: documents, scopes: make(map[string]*scope, len(documents)+1)}
	paths := slices.SortedFunc(maps.Keys(documents), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(Lineage(a)), len(Lineage(b))), cmp.Compare(a, b))
	})
	for _, path := range paths {
		t.scopes[path] = t.derive(path, documents[path])
	}
	return t
}

// at returns the scope of a path: that of the nearest document at the path or above, or the
// defaults.
func (t *tree) at(path string) *scope {
	lineage := Lineage(path)
	for i := len(lineage) - 1; i >= 0; i-- {
		if s := t.scopes[lineage[i]]; s != nil {
			return s
		}
	}
	return &scope{routing: defaultRouting(), requests: defaultRequests()}
}

// derive returns the parent's scope with the document's own values applied.
func (t *tree) derive(path string, doc *Document) *scope {
	parent := t.at(path)
	own := &scope{
		routing:  parent.routing,
		requests: parent.requests,
		limits:   slices.Clip(parent.limits),
	}
	own.routing.overlay(doc.Routing)
	own.requests.overlay(doc.Requests)
	if doc.Limits != nil && *doc.Limits != (Limits{}) {
		own.limits = append(own.limits, LimitNode{Name: path, Limits: *doc.Limits})
	}
	return own
}

// set replaces an inherited value by an own one unless that is the zero value, which means
// unset.
func set[T comparable](inherited *T, own T) {
	var unset T
	if own != unset {
		*inherited = own
	}
}

func (r *Routing) overlay(own *Routing) {
	if own == nil {
		return
	}
	set(&r.Policy, own.Policy)
	set(&r.LongFromTokens, own.LongFromTokens)
	set(&r.Spill, own.Spill)
	set(&r.RetryBudget, own.RetryBudget)
	set(&r.QueueTokens, own.QueueTokens)
	set(&r.QueueRequests, own.QueueRequests)
	set(&r.IdleMs, own.IdleMs)
	set(&r.QuarantineCrashes, own.QuarantineCrashes)
	set(&r.QuarantineS, own.QuarantineS)
}

func (r *Requests) overlay(own *Requests) {
	if own == nil {
		return
	}
	set(&r.DeadlineMs, own.DeadlineMs)
	set(&r.MaxDeadlineMs, own.MaxDeadlineMs)
	set(&r.Priority, own.Priority)
	set(&r.HighestPriority, own.HighestPriority)
	set(&r.MaxTokens, own.MaxTokens)
	set(&r.MaxBodyBytes, own.MaxBodyBytes)
}
