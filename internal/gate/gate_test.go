package gate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/admission"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

const testPool = "lists"

// freePlaces is the number of free places of a pool.
type freePlaces struct{ free atomic.Int64 }

func (p *freePlaces) tryPlace(*request.Request) bool {
	for {
		n := p.free.Load()
		if n <= 0 {
			return false
		}
		if p.free.CompareAndSwap(n, n-1) {
			return true
		}
	}
}

var ids atomic.Int64

func newRequest(customer string, priority request.Priority, within time.Duration) *request.Request {
	now := time.Now()
	return &request.Request{ID: fmt.Sprint(ids.Add(1)), Customer: customer, Target: "m", Priority: priority, PromptTokens: 100, MaxTokens: 10, Arrived: now, Deadline: now.Add(within)}
}

func newGate(free int64, o PoolOptions) (*Gate, *freePlaces) {
	p := &freePlaces{}
	p.free.Store(free)
	o.TryPlace = p.tryPlace
	// The poll interval exceeds any test: a request leaves the queue only when an
	// event causes the queue to be processed.
	g := New(Options{Seed: 1, PollInterval: time.Hour, Limits: admission.LimiterOptions{Host: "a", Domain: "hal-a"}})
	g.SetPool(testPool, o)
	return g, p
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for limit := time.Now().Add(30 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("timed out waiting: %s", what)
		}
	}
}

// admitAsync calls Admit in a goroutine and returns the channel of its refusal, nil
// when admitted. The customers of admitted requests are sent to order.
func admitAsync(ctx context.Context, g *Gate, r *request.Request, order chan<- string) <-chan *request.Refusal {
	end := make(chan *request.Refusal, 1)
	go func() {
		_, refusal := g.Admit(ctx, r, nil, 1, testPool)
		if refusal == nil {
			order <- r.Customer
		}
		end <- refusal
	}()
	return end
}

func TestQueuedEnterInOrder(t *testing.T) {
	g, p := newGate(0, PoolOptions{})
	order := make(chan string, 3)
	for i, r := range []*request.Request{
		newRequest("bulk", request.Bulk, time.Hour),
		newRequest("normal", request.Normal, time.Hour),
		newRequest("urgent", request.Urgent, time.Hour),
	} {
		admitAsync(context.Background(), g, r, order)
		waitFor(t, "queued", func() bool { return g.Stats(testPool).Requests == i+1 })
	}
	for _, want := range []string{"urgent", "normal", "bulk"} {
		p.free.Store(1)
		g.RetryQueued(testPool)
		if got := <-order; got != want {
			t.Errorf("%s was admitted, want %s", got, want)
		}
	}
}

func TestPlaceGoesToTheFirstInOrder(t *testing.T) {
	g, p := newGate(1, PoolOptions{})
	order := make(chan string, 3)
	ticket, refusal := g.Admit(context.Background(), newRequest("first", 0, time.Hour), nil, 1, testPool)
	if refusal != nil {
		t.Fatal(refusal)
	}
	for i, customer := range []string{"second", "third"} {
		admitAsync(context.Background(), g, newRequest(customer, 0, time.Hour), order)
		waitFor(t, "queued", func() bool { return g.Stats(testPool).Requests == i+1 })
	}
	p.free.Store(1)
	ticket.Done(request.Complete, 1)
	if got := <-order; got != "second" {
		t.Errorf("Done admitted %s, want second", got)
	}
	p.free.Store(1) // without RetryQueued: the next request to arrive processes the queue
	admitAsync(context.Background(), g, newRequest("bulk", request.Bulk, time.Hour), order)
	if got := <-order; got != "third" {
		t.Errorf("%s was admitted, want third", got)
	}
}

func TestRefusalsAreFinalAndHoldNothing(t *testing.T) {
	ctx := context.Background()
	g, p := newGate(0, PoolOptions{Queue: admission.QueueOptions{MaxRequests: 2}, MinServiceTime: func(*request.Request) time.Duration { return time.Second }})
	chain := []admission.Node{{Name: "c", Limits: settings.Limits{RequestsInFlight: 1, PromptTokensInFlight: 500}}}
	want := func(refusal *request.Refusal, code request.Code, wantRetry bool) {
		t.Helper()
		if refusal == nil || refusal.Code != code || refusal.Outcome != request.NotRun || (refusal.RetryAfter > 0) != wantRetry {
			t.Fatalf("got %+v, want %s, with RetryAfter %v", refusal, code, wantRetry)
		}
	}
	_, refusal := g.Admit(ctx, newRequest("c", 0, 500*time.Millisecond), chain, 1, testPool)
	want(refusal, request.CodeDeadline, true)
	_, refusal = g.Admit(ctx, newRequest("c", 0, time.Hour), chain, 1, "none")
	want(refusal, request.CodeNoUpstream, true)
	archive := newRequest("c", 0, time.Hour)
	archive.PromptTokens = 501
	_, refusal = g.Admit(ctx, archive, chain, 1, testPool)
	want(refusal, request.CodeLimit, false)

	gone, cancel := context.WithCancel(ctx)
	order := make(chan string, 1)
	waiting := admitAsync(gone, g, newRequest("other", 0, time.Hour), order)
	waitFor(t, "queued", func() bool { return g.Stats(testPool).Requests == 1 })
	_, refusal = g.Admit(ctx, newRequest("c", request.Bulk, time.Hour), chain, 1, testPool)
	want(refusal, request.CodeQueueFull, true)
	cancel()
	want(<-waiting, request.CodeCallerGone, false)

	expiring := admitAsync(ctx, g, newRequest("other", 0, 1100*time.Millisecond), order)
	want(<-expiring, request.CodeDeadline, true)

	removed := admitAsync(ctx, g, newRequest("other", 0, time.Hour), order)
	waitFor(t, "queued", func() bool { return g.Stats(testPool).Requests == 1 })
	g.RemovePool(testPool)
	want(<-removed, request.CodeNoUpstream, true)

	// None of the refused requests counts against the limit of one in flight.
	g.SetPool(testPool, PoolOptions{TryPlace: p.tryPlace})
	p.free.Store(2)
	ticket, refusal := g.Admit(ctx, newRequest("c", 0, time.Hour), chain, 1, testPool)
	if refusal != nil {
		t.Fatal(refusal)
	}
	_, refusal = g.Admit(ctx, newRequest("c", 0, time.Hour), chain, 1, testPool)
	want(refusal, request.CodeLimit, true)
	ticket.Done(request.Complete, 110)
	ticket.Done(request.Complete, 110) // counts once
	if _, refusal = g.Admit(ctx, newRequest("c", 0, time.Hour), chain, 1, testPool); refusal != nil {
		t.Fatal(refusal)
	}
	_, refusal = g.Admit(ctx, newRequest("c", 0, time.Hour), chain, 1, testPool)
	want(refusal, request.CodeLimit, true)
}

// A request whose expected wait, at the measured rate, exceeds its deadline is
// refused instead of queued.
func TestUnreachableDeadlineIsRefusedAtOnce(t *testing.T) {
	var now atomic.Int64
	begin := time.Now()
	now.Store(begin.UnixNano())
	p := &freePlaces{}
	g := New(Options{Seed: 1, Now: func() time.Time { return time.Unix(0, now.Load()) }})
	g.SetPool(testPool, PoolOptions{TryPlace: p.tryPlace})
	order := make(chan string, 20)
	for i := range 20 {
		admitAsync(context.Background(), g, newRequest("a", 0, time.Hour), order)
		waitFor(t, "queued", func() bool { return g.Stats(testPool).Requests == i+1 })
	}
	for range 10 { // one per second
		now.Add(int64(time.Second))
		p.free.Store(1)
		g.RetryQueued(testPool)
		<-order
	}
	if b := g.Stats(testPool).Backlog; b < 9*time.Second || b > 11*time.Second {
		t.Errorf("backlog of ten at one per second: %v", b)
	}
	_, refusal := g.Admit(context.Background(), newRequest("a", 0, 15*time.Second), nil, 1, testPool)
	if refusal == nil || refusal.Code != request.CodeDeadline || refusal.RetryAfter < 9*time.Second {
		t.Errorf("5 s left behind 10 s of backlog: %+v", refusal)
	}
	// Fair queueing puts another customer ahead of most of the backlog.
	admitAsync(context.Background(), g, newRequest("b", 0, 15*time.Second), order)
	waitFor(t, "queued", func() bool { return g.Stats(testPool).Requests == 11 })
}

func TestConcurrentCallers(t *testing.T) {
	const capacity, callers, each = 4, 48, 40
	g, p := newGate(capacity, PoolOptions{Queue: admission.QueueOptions{MaxRequests: 30}})
	chain := []admission.Node{{Name: "c", Limits: settings.Limits{RequestsInFlight: 40}}}
	var running, entered, refused atomic.Int64
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(c), 1))
			for range each {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rng.IntN(20000))*time.Microsecond)
				r := newRequest(fmt.Sprint(c%7), request.Priority(rng.IntN(3)), time.Duration(1+rng.IntN(15))*time.Millisecond)
				ticket, refusal := g.Admit(ctx, r, chain, 1, testPool)
				cancel()
				if (ticket == nil) == (refusal == nil) {
					t.Error("Admit did not return exactly one result")
				}
				if refusal != nil {
					refused.Add(1)
					continue
				}
				entered.Add(1)
				if n := running.Add(1); n > capacity {
					t.Errorf("%d running at once, capacity %d", n, capacity)
				}
				time.Sleep(time.Duration(rng.IntN(200)) * time.Microsecond)
				running.Add(-1)
				p.free.Add(1)
				ticket.Done(request.Complete, 100)
			}
		})
	}
	wg.Wait()
	if entered.Load()+refused.Load() != callers*each || entered.Load() == 0 || refused.Load() == 0 {
		t.Errorf("%d entered, %d refused of %d", entered.Load(), refused.Load(), callers*each)
	}
	if s := g.Stats(testPool); s.Requests != 0 || p.free.Load() != capacity {
		t.Errorf("left behind: %+v, %d places free", s, p.free.Load())
	}
	g.SetPool(testPool, PoolOptions{})
	for i := range 40 {
		if _, refusal := g.Admit(context.Background(), newRequest("x", 0, time.Hour), chain, 1, testPool); refusal != nil {
			t.Fatalf("limits were not released: request %d: %v", i, refusal)
		}
	}
}

func TestExchangeDividesLimits(t *testing.T) {
	chain := []admission.Node{{Name: "c", Limits: settings.Limits{RequestsInFlight: 10}}}
	gates := [2]*Gate{}
	for i, host := range []string{"a", "b"} {
		gates[i] = New(Options{Seed: 1, Limits: admission.LimiterOptions{Host: host, Domain: "hal-a"}})
		gates[i].SetExpectedHosts(2)
		gates[i].SetPool(testPool, PoolOptions{})
	}
	ownA, _ := gates[0].ExchangeUsage(nil)
	ownB, _ := gates[1].ExchangeUsage([]admission.Usage{ownA})
	if _, sum := gates[0].ExchangeUsage([]admission.Usage{ownB}); sum.Hosts != 2 {
		t.Errorf("the domain's sum counts %d hosts", sum.Hosts)
	}
	entered := 0
	for range 20 {
		for _, g := range gates {
			if _, refusal := g.Admit(context.Background(), newRequest("c", 0, time.Hour), chain, 1, testPool); refusal == nil {
				entered++
			}
		}
	}
	if entered != 10 {
		t.Errorf("two hosts admitted %d under a limit of 10", entered)
	}
	gates[0].RemoveHost("hal-a", "b")
	gates[0].ExchangeUsage(nil)
	if _, refusal := gates[0].Admit(context.Background(), newRequest("c", 0, time.Hour), chain, 1, testPool); refusal != nil {
		t.Errorf("after the other host has left: %v", refusal)
	}
}

func BenchmarkEnterDone(b *testing.B) {
	g, _ := newGate(1<<40, PoolOptions{})
	chain := []admission.Node{{Name: "/"}, {Name: "/a"}, {Name: "c", Limits: settings.Limits{RequestsInFlight: 1000, PromptTokensInFlight: 1e9, TokensPerSecond: 1e12}}}
	r := newRequest("c", 0, time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		t, refusal := g.Admit(context.Background(), r, chain, 1, testPool)
		if refusal != nil {
			b.Fatal(refusal)
		}
		t.Done(request.Complete, 100)
	}
}

// BenchmarkRefuseQueueFull measures a refusal while 2000 requests of 210 customers
// are queued.
func BenchmarkRefuseQueueFull(b *testing.B) {
	g, p := newGate(0, PoolOptions{Queue: admission.QueueOptions{MaxRequests: 2000}})
	order := make(chan string, 2000)
	for i := range 2000 {
		admitAsync(context.Background(), g, newRequest(fmt.Sprint("customer-", i%210), 0, time.Hour), order)
	}
	for g.Stats(testPool).Requests < 1990 {
		time.Sleep(time.Millisecond)
	}
	r := newRequest("late", request.Bulk, time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		if _, refusal := g.Admit(context.Background(), r, nil, 1, testPool); refusal == nil {
			b.Fatal("admitted with a full queue")
		}
	}
	b.StopTimer()
	p.free.Store(1 << 40)
	g.RetryQueued(testPool)
}

// A request with less time left than MaxPlacedWait starts when a place is free, and is
// refused at once when it would have to queue.
func TestMaxPlacedWaitAppliesOnlyToQueued(t *testing.T) {
	g, p := newGate(1, PoolOptions{MaxPlacedWait: func(*request.Request) time.Duration { return time.Hour }})
	if _, refusal := g.Admit(context.Background(), newRequest("a", 0, time.Minute), nil, 1, testPool); refusal != nil {
		t.Fatalf("a place was free: %v", refusal)
	}
	_, refusal := g.Admit(context.Background(), newRequest("a", 0, time.Minute), nil, 1, testPool)
	if refusal == nil || refusal.Code != request.CodeDeadline || refusal.RetryAfter == 0 {
		t.Errorf("without a free place: %+v", refusal)
	}
	if n := g.Stats(testPool).Requests; n != 0 || p.free.Load() != 0 {
		t.Errorf("%d queued, %d places free", n, p.free.Load())
	}
}
