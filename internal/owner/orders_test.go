package owner

import (
	"context"
	"net/http"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/order"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
	"github.com/buckthorndock/buckthorndock/internal/platform"
	"github.com/buckthorndock/buckthorndock/internal/standin"
)

// orderSite is a site whose hosts hold order leases in a stand-in log.
type orderSite struct {
	*site
	log     *standin.Log
	address string
	weights string
	orders  []*Orders
}

func newOrderSite(t *testing.T, lease time.Duration) *orderSite {
	s := &orderSite{site: newSite(t, 2, 2), log: standin.NewLog(standin.LogOptions{})}
	l, err := standin.Start(s.log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	w, err := standin.Start(standin.NewWeights(standin.WeightsOptions{PermitRate: 20, Burst: 1}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	s.address, s.weights = l.Address, w.Address
	for _, h := range s.hosts {
		s.addOrders(h, lease)
	}
	return s
}

func (s *orderSite) addOrders(h *testHost, lease time.Duration) {
	log, err := platform.NewHTTP(s.address, &http.Client{})
	if err != nil {
		s.t.Fatal(err)
	}
	weights, err := platform.NewHTTP(s.weights, &http.Client{})
	if err != nil {
		s.t.Fatal(err)
	}
	desired := order.Desired{Models: []order.Model{{Name: model, Version: "2", Urgent: true}, {Name: "other"}}}
	o := NewOrders(OrderOptions{
		Domain:    "d",
		Self:      order.Holder{Host: h.name, Incarnation: "1"},
		Log:       log,
		Weights:   weights,
		Engines:   s.http,
		Ownership: h,
		Pools: func() []OrderPool {
			return []OrderPool{{Name: "p", ChecksFencing: true, Desired: desired, Engines: s.engines}}
		},
		Logger:   s.logger,
		Lease:    order.Options{Lease: lease, RenewInterval: 200 * time.Millisecond, Margin: 100 * time.Millisecond, ReadBackTimeout: 300 * time.Millisecond},
		Plan:     order.PlanOptions{RetryEvery: 200 * time.Millisecond},
		Interval: 20 * time.Millisecond,
	})
	s.orders = append(s.orders, o)
	h.done.Go(func() { _ = o.Run(h.ctx) })
}

// desired reports whether both engines serve exactly the desired models, and returns
// the lowest fencing number that they have seen.
func (s *orderSite) desired() (ok bool, fence int64) {
	for i, e := range s.engines {
		st, err := s.http.OrderState(context.Background(), e.Address)
		if err != nil {
			return false, 0
		}
		slices.Sort(st.Models)
		if !slices.Equal(st.Models, []string{model + "@2", "other"}) {
			return false, 0
		}
		if i == 0 || st.Fence < fence {
			fence = st.Fence
		}
	}
	return true, fence
}

// TestOrdersReachAndRepairTheDesiredState checks that another host takes over the
// lease of a killed leader, with a higher fencing number, and repairs the engines.
func TestOrdersReachAndRepairTheDesiredState(t *testing.T) {
	s := newOrderSite(t, time.Second)
	s.eventually("the desired state", func() bool { ok, _ := s.desired(); return ok })
	_, first := s.desired()
	_, _, self := s.hosts[0].Owner(orderKey("p"))
	leader := s.hosts[1]
	if self {
		leader = s.hosts[0]
	}
	leader.kill()
	s.loadStrayModel()
	s.eventually("the next holder's repair", func() bool { ok, fence := s.desired(); return ok && fence > first })
}

// loadStrayModel loads a model that is not in the desired state on each engine, with
// the highest fencing number that the engine has seen.
func (s *orderSite) loadStrayModel() {
	s.t.Helper()
	for _, e := range s.engines {
		st, err := s.http.OrderState(context.Background(), e.Address)
		if err != nil {
			s.t.Fatal(err)
		}
		stray := order.Order{Engine: e.Name, Kind: order.LoadModel, Model: "stray"}
		if err := s.http.Order(context.Background(), e.Address, st.Fence, stray); err != nil {
			s.t.Fatal(err)
		}
	}
}

// TestNoOrdersWhileTheLogIsUnavailable checks that a leader whose lease is still
// valid sends no orders during an outage of the log.
func TestNoOrdersWhileTheLogIsUnavailable(t *testing.T) {
	s := newOrderSite(t, time.Minute) // longer than the test: only the log stops orders
	s.eventually("the desired state", func() bool { ok, _ := s.desired(); return ok })
	if err := s.log.SetFault(standin.Fault{Kind: standin.FaultOutage, On: true}); err != nil {
		t.Fatal(err)
	}
	// A step that read the log before the outage may repair the first time.
	const tries = 2
	repaired := 0
	for range tries {
		if s.repairsStrayModel() {
			repaired++
		}
	}
	if repaired == tries {
		t.Error("the state was repaired while the log was unavailable")
	}
	if err := s.log.SetFault(standin.Fault{Kind: standin.FaultOutage, On: false}); err != nil {
		t.Fatal(err)
	}
	s.eventually("repair after the outage", func() bool { ok, _ := s.desired(); return ok })
}

// repairsStrayModel loads a stray model and reports whether the engines return to
// the desired state within 50 steps of the leader.
func (s *orderSite) repairsStrayModel() bool {
	s.t.Helper()
	s.loadStrayModel()
	for range 50 {
		time.Sleep(20 * time.Millisecond)
		if ok, _ := s.desired(); ok {
			return true
		}
	}
	return false
}

func TestOrderPoolsOfSettings(t *testing.T) {
	pools := []settings.Pool{
		{Name: "p", Kind: settings.PoolEngine, MaxOrderMs: 3000, Upstreams: []settings.Upstream{
			{Name: "here", Address: "127.0.0.1:1", Domain: "d"}, {Name: "there", Domain: "x"},
		}},
		{Name: "empty", Kind: settings.PoolEngine, Upstreams: []settings.Upstream{{Name: "idle", Domain: "d"}}},
		{Name: "s", Kind: settings.PoolService, Upstreams: []settings.Upstream{{Name: "app", Domain: "d"}}},
	}
	models := []settings.Model{{Name: "m", Pool: "p", Version: "2", Adapters: []string{"a"}, Urgent: true}}
	got := OrderPoolsOf(pools, models, "d")
	want := []OrderPool{{
		Name: "p", MaxOrderTime: 3 * time.Second,
		Desired: order.Desired{Models: []order.Model{{Name: "m", Version: "2", Adapters: []string{"a"}, Urgent: true}}},
		Engines: []Engine{{Name: "here", Address: "127.0.0.1:1", Pool: "p"}},
	}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
