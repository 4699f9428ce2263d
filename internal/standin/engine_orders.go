package standin

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
)

// orderBook is what the engine was ordered to be.
type orderBook struct {
	fence    int64 // of the last order that was obeyed
	role     string
	models   []string
	adapters []string
	loading  map[loadItem]time.Time // when the load ends
}

// loadItem is a model or an adapter on its way.
type loadItem struct {
	name    string
	adapter bool
}

// settle takes in the loads that have ended by now.
func (o *orderBook) settle(now time.Time) *orderBook {
	for item, end := range o.loading {
		if end.After(now) {
			continue
		}
		delete(o.loading, item)
		if item.adapter {
			o.adapters = append(o.adapters, item.name)
		} else {
			o.models = append(o.models, item.name)
		}
	}
	return o
}

// serves tells whether a model, with its version or without, and an adapter are
// loaded.
func (o *orderBook) serves(model string, adapter engineapi.OptString) bool {
	o.settle(time.Now())
	loaded := slices.ContainsFunc(o.models, func(m string) bool {
		name, _, _ := strings.Cut(m, "@")
		return m == model || name == model
	})
	name := adapter.Or("")
	return loaded && (name == "" || slices.Contains(o.adapters, name))
}

func (o *orderBook) load(item loadItem, loaded []string, end time.Time) {
	if _, ok := o.loading[item]; ok || slices.Contains(loaded, item.name) {
		return
	}
	o.loading[item] = end
}

func (o *orderBook) state() *engineapi.OrderState {
	s := &engineapi.OrderState{
		Fence:    o.fence,
		Role:     o.role,
		Models:   append([]string{}, o.models...),
		Adapters: append([]string{}, o.adapters...),
		Loading:  []string{},
	}
	for item := range maps.Keys(o.loading) {
		s.Loading = append(s.Loading, item.name)
	}
	slices.Sort(s.Loading)
	return s
}

// Order implements engineapi.Handler.
func (e *Engine) Order(_ context.Context, req *engineapi.Order) (engineapi.OrderRes, error) {
	if no := checkOrder(req); no != nil {
		return no, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	checks := e.opts.ChecksFencing && !e.faults.isOn(FaultIgnoreFencing)
	if checks && req.Fence < e.orders.fence {
		return refusal(engineapi.RefusalCodeStaleFence, fmt.Sprintf("fence %d after %d", req.Fence, e.orders.fence)), nil
	}
	now := time.Now()
	e.orders.settle(now)
	e.orders.fence = req.Fence
	e.obey(req, now)
	e.noteLoad()
	return e.orders.state(), nil
}

func checkOrder(req *engineapi.Order) *engineapi.RefusalStatusCode {
	needed := map[engineapi.OrderKind]string{
		engineapi.OrderKindLoadModel:     req.Model.Or(""),
		engineapi.OrderKindUnloadModel:   req.Model.Or(""),
		engineapi.OrderKindLoadAdapter:   req.Adapter.Or(""),
		engineapi.OrderKindUnloadAdapter: req.Adapter.Or(""),
		engineapi.OrderKindSetRole:       req.Role.Or(""),
	}
	if needed[req.Kind] == "" {
		return refusal(engineapi.RefusalCodeBadRequest, string(req.Kind)+" does not say what")
	}
	return nil
}

func (e *Engine) obey(req *engineapi.Order, now time.Time) {
	o := &e.orders
	model := loadItem{name: req.Model.Or("")}
	if v := req.Version.Or(""); v != "" {
		model.name += "@" + v
	}
	adapter := loadItem{name: req.Adapter.Or(""), adapter: true}
	end := now.Add(e.opts.LoadTime)
	switch req.Kind {
	case engineapi.OrderKindLoadModel:
		o.load(model, o.models, end)
	case engineapi.OrderKindUnloadModel:
		e.unloadModel(model)
	case engineapi.OrderKindLoadAdapter:
		o.load(adapter, o.adapters, end)
	case engineapi.OrderKindUnloadAdapter:
		delete(o.loading, adapter)
		o.adapters = slices.DeleteFunc(o.adapters, func(a string) bool { return a == adapter.name })
	case engineapi.OrderKindSetRole:
		o.role = req.Role.Or("")
	}
}

// unloadModel takes a model away from new requests, and with it the cache.
func (e *Engine) unloadModel(model loadItem) {
	delete(e.orders.loading, model)
	n := len(e.orders.models)
	e.orders.models = slices.DeleteFunc(e.orders.models, func(m string) bool { return m == model.name })
	if len(e.orders.models) < n {
		e.cache.clear()
	}
}

// GetOrderState implements engineapi.Handler.
func (e *Engine) GetOrderState(context.Context) (engineapi.GetOrderStateRes, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.settle(time.Now()).state(), nil
}
