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

// orderBook is the state that orders have given the engine.
type orderBook struct {
	fence    int64 // fencing number of the last executed order
	role     string
	models   []string
	adapters []string
	loading  map[loadItem]time.Time // time at which the load ends
}

// loadItem is a model or an adapter that is being loaded.
type loadItem struct {
	name    string
	adapter bool
}

// finishLoads marks the models and adapters whose load has ended as loaded.
func (o *orderBook) finishLoads(now time.Time) *orderBook {
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

// serves reports whether a model, given with or without its version, and an
// adapter, if any, are loaded.
func (o *orderBook) serves(model string, adapter engineapi.OptString) bool {
	o.finishLoads(time.Now())
	loaded := slices.ContainsFunc(o.models, func(m string) bool {
		name, _, _ := strings.Cut(m, "@")
		return m == model || name == model
	})
	name := adapter.Or("")
	return loaded && (name == "" || slices.Contains(o.adapters, name))
}

// load starts to load an item, unless it is loaded or being loaded.
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
	if refusal := checkOrder(req); refusal != nil {
		return refusal, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	checks := e.opts.ChecksFencing && !e.faults.isOn(FaultIgnoreFencing)
	if checks && req.Fence < e.orders.fence {
		return newRefusal(engineapi.RefusalCodeStaleFence, fmt.Sprintf("fence %d is lower than %d", req.Fence, e.orders.fence)), nil
	}
	now := time.Now()
	e.orders.finishLoads(now)
	e.orders.fence = req.Fence
	e.applyOrder(req, now)
	e.recordLoad()
	return e.orders.state(), nil
}

// checkOrder checks that an order names what its kind needs.
func checkOrder(req *engineapi.Order) *engineapi.RefusalStatusCode {
	needed := map[engineapi.OrderKind]string{
		engineapi.OrderKindLoadModel:     req.Model.Or(""),
		engineapi.OrderKindUnloadModel:   req.Model.Or(""),
		engineapi.OrderKindLoadAdapter:   req.Adapter.Or(""),
		engineapi.OrderKindUnloadAdapter: req.Adapter.Or(""),
		engineapi.OrderKindSetRole:       req.Role.Or(""),
	}
	if needed[req.Kind] == "" {
		return newRefusal(engineapi.RefusalCodeBadRequest, string(req.Kind)+" names no model, adapter or role")
	}
	return nil
}

// applyOrder executes an order. Loads take LoadTime from now.
func (e *Engine) applyOrder(req *engineapi.Order, now time.Time) {
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

// unloadModel makes a model unavailable to new requests and clears the prefix cache.
func (e *Engine) unloadModel(model loadItem) {
	delete(e.orders.loading, model)
	n := len(e.orders.models)
	e.orders.models = slices.DeleteFunc(e.orders.models, func(m string) bool { return m == model.name })
	if len(e.orders.models) < n {
		e.cache.removeAll()
	}
}

// GetOrderState implements engineapi.Handler.
func (e *Engine) GetOrderState(context.Context) (engineapi.GetOrderStateRes, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.finishLoads(time.Now()).state(), nil
}
