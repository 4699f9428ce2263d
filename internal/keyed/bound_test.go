package keyed

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/rpc"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// behavior is how a source behaves towards the daemon under test.
type behavior int

const (
	sound  behavior = iota
	mute            // accepts requests and never answers
	slow            // answers after a delay
	behind          // answers at once with the data of the moment at which it fell behind
	refusing
	behaviors
)

// boundCase is a drawn case of TestChangesApplyWithinBound.
type boundCase struct {
	within   time.Duration
	hosts    int
	position int  // rank of the daemon under test
	anchor   bool // the store always answers; else one other daemon always does
	seed     uint64
}

// boundWorld is a group of daemons of which one, the daemon under test, is real. The others answer
// from the copy of a daemon whose store always answers, or misbehave.
type boundWorld struct {
	boundCase
	rng   *rand.Rand
	store *fakeStore
	up    *Feed // of the daemon whose store always answers
	list  []membership.Member

	mu       sync.Mutex
	behavior map[string]behavior
	fell     map[string]SinceReply // what daemons that are behind answer, with Age unset
	fellAt   map[string]time.Time
	written  []time.Time
	applied  []time.Time
	calls    int // of peers by the daemon under test
	reads    int // of the store by it
}

const storeName = "store"

func newBoundWorld(c boundCase) *boundWorld {
	w := &boundWorld{
		boundCase: c, rng: rand.New(rand.NewPCG(c.seed, 0)), store: &fakeStore{era: 1},
		behavior: map[string]behavior{}, fell: map[string]SinceReply{}, fellAt: map[string]time.Time{},
	}
	for i := range c.hosts {
		h := fmt.Sprintf("h%03d", i)
		w.list = append(w.list, membership.Member{Identity: membership.Identity{Host: h, Address: h}, State: membership.Live})
	}
	w.up = NewFeed("up", w)
	w.up.add("s", New(w.options(&boundStore{w: w, of: "up"}, nil, func(Batch) {})))
	return w
}

// options returns the options that a daemon uses for a stream whose changes must be in force within
// a time.
func (w *boundWorld) options(store platform.Keyed, feed *Feed, apply func(Batch)) Options {
	log := logrus.New()
	log.SetOutput(io.Discard)
	part := func(fraction float64) time.Duration { return time.Duration(fraction * float64(w.within)) }
	return Options{
		Store: store, Stream: "s", ReadInterval: part(0.15), LongPoll: part(0.25), Timeout: 600 * time.Millisecond,
		Within: w.within, PeerTimeout: part(0.25), PeerHold: part(0.3), PeerReadInterval: 100 * time.Millisecond,
		RewriteTime: 10 * time.Second, DoubtTime: 10 * time.Second, Feed: feed, Apply: apply, Log: logrus.NewEntry(log),
	}
}

func (w *boundWorld) self() string { return w.list[w.position].Host }

// anchorHost is the daemon that always answers if the store does not.
func (w *boundWorld) anchorHost() string {
	if w.anchor {
		return storeName
	}
	return w.list[(w.position+1+int(w.seed%uint64(w.hosts-1)))%w.hosts].Host
}

// misbehave changes how a share of the sources behave, at once or one after the other.
func (w *boundWorld) misbehave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	share := w.rng.Float64() * 1.3
	kind := behavior(w.rng.IntN(int(behaviors)))
	mixed := w.rng.IntN(2) == 0
	for _, m := range append(slices.Clone(w.list), membership.Member{Identity: membership.Identity{Host: storeName}}) {
		if w.rng.Float64() > share || m.Host == w.anchorHost() {
			continue
		}
		if mixed {
			kind = behavior(w.rng.IntN(int(behaviors)))
		}
		if m.Host == storeName && kind == behind {
			continue // the store's answers are linearizable
		}
		w.behavior[m.Host] = kind
		if kind == behind {
			var reply SinceReply
			_ = w.up.RPC().Since(&SinceRequest{Stream: "s", From: allKeys}, &reply) // fails before the first read
			w.fell[m.Host], w.fellAt[m.Host] = reply, time.Now()
		}
	}
}

// pause draws the time between two disturbances.
func (w *boundWorld) pause() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.rng.Float64() * 4 * float64(time.Second))
}

// play writes changes and returns the longest time that one took. disturb is called at random times.
func (w *boundWorld) play(t *testing.T, disturb func()) time.Duration {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	w.store.put("a", "0")
	up := w.up.follower("s")
	wg.Go(func() { _ = up.Run(ctx) })
	time.Sleep(w.within)
	feed := NewFeed(w.self(), w)
	feed.random = &lockedSource{source: rand.NewPCG(w.seed, 2)}
	tested := New(w.options(&boundStore{w: w, of: storeName}, feed, w.apply))
	wg.Go(func() { _ = tested.Run(ctx) })
	time.Sleep(w.within)
	wg.Go(func() {
		for ctx.Err() == nil {
			disturb()
			time.Sleep(w.pause())
		}
	})
	writes := rand.New(rand.NewPCG(w.seed, 1))
	for range 16 {
		time.Sleep(time.Duration((0.1 + 1.9*writes.Float64()) * float64(time.Second)))
		w.mu.Lock()
		w.written = append(w.written, time.Now())
		n := len(w.written)
		w.mu.Unlock()
		w.store.put("a", fmt.Sprint(n))
	}
	time.Sleep(2 * w.within)
	cancel()
	wg.Wait()
	longest := w.longest()
	time.Sleep(maxHold) // requests that are still held end
	return longest
}

// apply records when each value came, with all that it replaces.
func (w *boundWorld) apply(b Batch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range b.Records {
		var n int
		_, _ = fmt.Sscan(string(r.Value), &n) // all values are numbers
		for len(w.applied) < n {
			w.applied = append(w.applied, time.Now())
		}
	}
}

// longest returns the longest time from a write until the daemon under test had it.
func (w *boundWorld) longest() time.Duration {
	longest := time.Duration(0)
	for i, at := range w.written {
		if i >= len(w.applied) {
			return time.Since(at)
		}
		longest = max(longest, w.applied[i].Sub(at))
	}
	return longest
}

// lockedSource is a random source that is safe for concurrent use.
type lockedSource struct {
	mu     sync.Mutex
	source rand.Source
}

func (s *lockedSource) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.Uint64()
}

// Rank, Members, SameDomain and Call implement Peers.
func (w *boundWorld) Rank(_ string, n int) []membership.Member { return w.list[:min(n, len(w.list))] }

func (w *boundWorld) Members() []membership.Member { return w.list }

// SameDomain puts every third daemon into the failure domain of the daemon under test.
func (w *boundWorld) SameDomain(host string) bool {
	var i int
	_, _ = fmt.Sscanf(host, "h%d", &i) // all hosts have such names
	return i%3 == w.position%3
}

var errRefused = rpc.ServerError("refused")

func (w *boundWorld) Call(ctx context.Context, address, _ string, args, reply any) error {
	w.mu.Lock()
	w.calls++
	how, fell, fellAt := w.behavior[address], w.fell[address], w.fellAt[address]
	delay := time.Duration(w.rng.Float64() * float64(w.within))
	w.mu.Unlock()
	answer := reply.(*SinceReply)
	switch how {
	case mute:
		<-ctx.Done()
		return ctx.Err()
	case refusing:
		return errRefused
	case behind:
		*answer = fell
		answer.Age += time.Since(fellAt)
		return nil
	case slow:
		if !sleepUntil(ctx, delay) {
			return ctx.Err()
		}
	}
	done := make(chan error, 1)
	var got SinceReply
	go func() { done <- w.up.RPC().Since(args.(*SinceRequest), &got) }()
	select {
	case err := <-done:
		*answer = got
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// sleepUntil sleeps, and reports whether the context lives on.
func sleepUntil(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// boundStore is the store as one daemon sees it.
type boundStore struct {
	w  *boundWorld
	of string
}

const (
	storeLatency = 4 * time.Millisecond
	storePoll    = 5 * time.Millisecond
)

// answers waits for the store's answer, and reports whether there is one.
func (s *boundStore) answers(ctx context.Context) error {
	s.w.mu.Lock()
	how := s.w.behavior[s.of]
	if s.of == storeName {
		s.w.reads++
	}
	s.w.mu.Unlock()
	delay := storeLatency
	switch how {
	case mute:
		<-ctx.Done()
	case refusing:
		return platform.ErrBusy
	case slow:
		delay = s.w.within
	}
	if !sleepUntil(ctx, delay) {
		return ctx.Err()
	}
	return nil
}

func (s *boundStore) Newest(ctx context.Context, stream string) (platform.KeyedPage, error) {
	if err := s.answers(ctx); err != nil {
		return platform.KeyedPage{}, err
	}
	return s.w.store.Newest(ctx, stream)
}

func (s *boundStore) Since(ctx context.Context, stream string, from int64, wait time.Duration) (platform.KeyedPage, error) {
	if err := s.answers(ctx); err != nil {
		return platform.KeyedPage{}, err
	}
	until := time.Now().Add(wait)
	for {
		page, err := s.w.store.Since(ctx, stream, from, 0)
		if err != nil || len(page.Records) > 0 || !time.Now().Before(until) {
			return page, err
		}
		if !sleepUntil(ctx, storePoll) {
			return page, ctx.Err()
		}
	}
}

func (s *boundStore) Put(context.Context, string, string, []byte) error { return nil }

// TestChangesApplyWithinBound guards against waits on silent sources that add up (404 on a route
// that was added, at few of 59 hosts): as long as the store or one other daemon answers, each change
// is in force within the bound, however many others are mute, slow, behind or refuse.
func TestChangesApplyWithinBound(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(66)
	parameters.MinSuccessfulTests = 150
	sizes := []int{8, 59, 300, 985}
	positions := []func(hosts int) int{
		func(int) int { return 0 }, func(int) int { return 2 },
		func(hosts int) int { return hosts / 2 }, func(hosts int) int { return hosts - 1 },
	}
	properties := gopter.NewProperties(parameters)
	properties.Property("every change is in force within the bound", prop.ForAll(
		func(within, size, position int, anchor bool, seed uint64) string {
			c := boundCase{
				within: time.Duration(within) * time.Second, hosts: sizes[size],
				position: positions[position](sizes[size]), anchor: anchor, seed: seed,
			}
			var broken strings.Builder
			synctest.Test(t, func(t *testing.T) {
				w := newBoundWorld(c)
				if longest := w.play(t, w.misbehave); longest > c.within {
					fmt.Fprintf(&broken, "%+v: a change took %v", c, longest)
				}
			})
			return broken.String()
		},
		gen.IntRange(2, 5), gen.IntRange(0, len(sizes)-1), gen.IntRange(0, len(positions)-1), gen.Bool(), gen.UInt64(),
	))
	properties.TestingRun(t)
}

// TestTwoSilentSourcesInARowDoNotDelayChanges guards against a route that was added and is refused
// (404) by a daemon whose first two sources are silent: each cost its whole timeout, one after the other.
func TestTwoSilentSourcesInARowDoNotDelayChanges(t *testing.T) {
	for _, within := range []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			w := newBoundWorld(boundCase{within: within, hosts: 59, position: 58, anchor: true})
			for _, m := range w.firstSources(2) {
				w.behavior[m.Host] = mute
			}
			if longest := w.play(t, func() {}); longest > within {
				t.Errorf("a change that must be in force within %v took %v", within, longest)
			}
		})
	}
}

// firstSources returns the first n daemons that the daemon under test reads from.
func (w *boundWorld) firstSources(n int) []membership.Member {
	return NewFeed(w.self(), w).sources().before[:n]
}

// TestDaemonThatStoodStillAsksOneByOne guards against requests to all daemons, and a connection to
// each, when a daemon goes on after it stood still: all steps of its read are due then.
func TestDaemonThatStoodStillAsksOneByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newBoundWorld(boundCase{within: 3 * time.Second, hosts: 59, position: 58, anchor: true})
		f := New(w.options(&boundStore{w: w, of: storeName}, NewFeed(w.self(), w), w.apply))
		r := &hedgedRead{f: f, ctx: t.Context(), asked: map[string]bool{}}
		for i := range 5 {
			r.steps = append(r.steps, step{peers: peersOnly(), due: time.Now().Add(time.Duration(i+1) * f.part(gapFraction))})
		}
		time.Sleep(4 * time.Second)
		r.beginDue(nil)
		if len(r.steps) != 4 {
			t.Errorf("%d of 5 steps begin at once", 5-len(r.steps))
		}
	})
}
