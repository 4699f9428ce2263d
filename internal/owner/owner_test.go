package owner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
	"github.com/buckthorndock/buckthorndock/internal/core/ledger"
	"github.com/buckthorndock/buckthorndock/internal/standin"
)

// TestHeldMemoryIsReleased guards against memory that stays held after a failure. Each
// case leaves memory held in another way, and only the owners may free it.
func TestHeldMemoryIsReleased(t *testing.T) {
	cases := []struct {
		name string
		run  func(s *site, front *testHost)
	}{
		{"front killed with streams open", func(s *site, front *testHost) {
			s.startStream(front, s.engines[0], "open")
			s.startStream(front, s.engines[1], "cut")()
			front.kill()
		}},
		{"front replaced by a new incarnation", func(s *site, front *testHost) {
			s.reserve(front, s.engines[0], "r", 500)
			front.kill()
			restarted := s.addHost(front.name, "2")
			s.reserve(restarted, s.engines[0], "s", 500)
			restarted.holder.End(s.engines[0], ledger.ID{Kind: ledger.Reservation, Name: "s"})
		}},
		{"gang half gathered, front killed", func(s *site, front *testHost) {
			blocker := s.hosts[1]
			s.reserve(blocker, s.engines[2], "blocker", memory)
			ctx, cancel := context.WithCancel(context.Background())
			var gathering sync.WaitGroup
			gathering.Go(func() { _, _ = front.holder.Gather(ctx, ledger.GatherOptions{}, s.gang("g", 6000), s.engines) })
			s.eventually("half a gang", func() bool { return s.countHoldings(ledger.Reservation) == 3 })
			front.kill()
			cancel()
			gathering.Wait()
			blocker.holder.End(s.engines[2], ledger.ID{Kind: ledger.Reservation, Name: "blocker"})
		}},
		{"gang half gathered, owner of a member killed", func(s *site, front *testHost) {
			blocker := s.hosts[2]
			s.reserve(blocker, s.engines[2], "blocker", memory)
			gathered := make(chan error, 1)
			go func() {
				_, err := front.holder.Gather(front.ctx, ledger.GatherOptions{}, s.gang("g", 6000), s.engines)
				gathered <- err
			}()
			s.eventually("half a gang", func() bool { return s.countHoldings(ledger.Reservation) == 3 })
			s.hosts[1].kill()
			blocker.holder.End(s.engines[2], ledger.ID{Kind: ledger.Reservation, Name: "blocker"})
			if err := <-gathered; err != nil {
				s.t.Errorf("the gang failed when an owner was killed: %v", err)
			}
			front.kill()
		}},
		{"owner killed", func(s *site, front *testHost) {
			s.reserve(front, s.engines[1], "r", 500)
			if !isOwnedBy(s.hosts[1], s.engines[1].Name) {
				s.t.Fatal("host 1 does not own engine 1")
			}
			s.hosts[1].kill()
			s.reserve(front, s.engines[1], "after", 500)
			if n := s.countHoldings(ledger.Reservation); n != 2 {
				s.t.Errorf("%d reservations after the change of owner, want 2", n)
			}
			front.holder.End(s.engines[1], ledger.ID{Kind: ledger.Reservation, Name: "r"})
			front.holder.End(s.engines[1], ledger.ID{Kind: ledger.Reservation, Name: "after"})
			if err := front.holder.Drain(context.Background()); err != nil {
				s.t.Error(err)
			}
			if n := s.countHoldings(0); n != 0 {
				s.t.Errorf("%d holdings after the front has drained", n)
			}
		}},
		{"owner and front killed", func(s *site, front *testHost) {
			s.reserve(front, s.engines[1], "r", 500)
			s.startStream(front, s.engines[1], "q")
			s.hosts[1].kill()
			front.kill()
		}},
		{"answers to the release lost", func(s *site, front *testHost) {
			s.reserve(front, s.engines[0], "r", 500)
			s.setFault(0, "/v1/release", standin.FaultDropAnswer, 4)
			front.holder.End(s.engines[0], ledger.ID{Kind: ledger.Reservation, Name: "r"})
		}},
		{"answer to the reserve call lost", func(s *site, front *testHost) {
			s.eventually("ready", func() bool { r, ok := s.owner(0).service.Room("e0"); return ok && r.Known })
			s.setFault(0, "/v1/reservations", standin.FaultDropAnswer, 1)
			req := ledger.ReserveRequest{Engine: "e0", ID: "r", Tokens: 500}
			reply, err := front.holder.Reserve(context.Background(), s.engines[0], req)
			if err != nil || reply.Granted || reply.Reason != ledger.AnswerLost {
				s.t.Errorf("a lost answer gave %+v, %v", reply, err)
			}
		}},
		{"KV export never imported", func(s *site, front *testHost) { s.export(front) }},
		{"caller gone before its request ends", func(s *site, front *testHost) {
			s.startStream(front, s.engines[0], "q")
			s.setFault(0, "/v1/cancel", standin.FaultRefuse, 3)
			front.holder.End(s.engines[0], ledger.ID{Kind: ledger.Running, Name: "q", Attempt: 1})
			s.eventually("confirmed", func() bool { all, _ := front.holder.Counts(); return all == 0 })
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 3, 4)
			c.run(s, s.hosts[0])
			s.waitForEmptyBooks()
		})
	}
}

// owner returns the live host that owns an engine, or nil.
func (s *site) owner(engine int) *testHost {
	for _, h := range s.hosts {
		if h.alive && isOwnedBy(h, s.engines[engine].Name) {
			return h
		}
	}
	return nil
}

// export leaves a KV export behind whose front goes on renewing but does not claim it.
func (s *site) export(front *testHost) {
	e := s.engines[0]
	c, err := s.http.client(e.Address)
	if err != nil {
		s.t.Fatal(err)
	}
	blocks := []string{"00000000000000a1", "00000000000000a2"}
	req := &engineapi.GenerateRequest{
		RequestID: "q", Attempt: 1, Model: model, Prompt: strings.Repeat("word ", 64), PromptTokens: 64, PrefixBlocks: blocks, MaxTokens: 1,
		Holder: engineapi.Holder(front.holder.opts.Self),
	}
	stream := s.post(e, req)
	if _, err := io.Copy(io.Discard, stream); err != nil {
		s.t.Fatal(err)
	}
	_ = stream.Close()
	s.eventually("export", func() bool {
		x := &engineapi.KVExport{ID: "x", Holder: engineapi.Holder(front.holder.opts.Self), PrefixBlocks: blocks}
		res, err := c.ExportKV(context.Background(), x)
		_, ok := res.(*engineapi.KVExport)
		return err == nil && ok
	})
	s.reserve(front, e, "other", 100)
	s.eventually("export ended, the claimed reservation kept", func() bool {
		return s.countHoldings(ledger.Export) == 0 && s.countHoldings(ledger.Reservation) == 1
	})
	front.holder.End(e, ledger.ID{Kind: ledger.Reservation, Name: "other"})
}

// TestRenewedHoldingsOutliveTheTimeouts checks that a renewed reservation is kept
// when an unclaimed one, made after it, is ended.
func TestRenewedHoldingsOutliveTheTimeouts(t *testing.T) {
	s := newSite(t, 1, 2)
	s.reserve(s.hosts[0], s.engines[0], "r", 500)
	// When the reservation of an unknown holder ends, ledger.Options.SilentTimeout has
	// passed.
	stranger := ledger.ReserveRequest{Engine: "e0", ID: "s", Holder: ledger.Holder{Host: "stranger", Incarnation: "1"}, Tokens: 10}
	if err := s.http.Reserve(context.Background(), s.engines[0].Address, stranger); err != nil {
		t.Fatal(err)
	}
	s.eventually("the unknown holder's reservation ends", func() bool { return s.countHoldings(ledger.Reservation) == 1 })
	if name := s.books()[0].Items[0].Name; name != "r" {
		t.Errorf("kept %s, want r", name)
	}
}

// TestTwoOwnersAtOnceStayWithinMemory guards against overcommitted engines while
// every host acts as the owner of all of them.
func TestTwoOwnersAtOnceStayWithinMemory(t *testing.T) {
	s := newSite(t, 2, 3)
	s.mu.Lock()
	s.allOwnAll = true
	s.mu.Unlock()
	for _, h := range s.hosts {
		for _, e := range s.engines {
			s.waitForGrants(h, e)
		}
	}
	var asking sync.WaitGroup
	granted := make([]int, len(s.hosts))
	for i, h := range s.hosts {
		asking.Go(func() {
			for n := range 40 {
				e := s.engines[n%2]
				id := ledger.ID{Kind: ledger.Reservation, Name: fmt.Sprintf("%s-%d", h.name, n)}
				req := ledger.ReserveRequest{Engine: e.Name, ID: id.Name, Tokens: 1000 + rand.Int64N(6000)}
				reply, err := h.holder.Reserve(context.Background(), e, req)
				if err == nil && reply.Granted {
					granted[i]++
					if n%3 > 0 {
						h.holder.End(e, id)
					}
				}
			}
		})
	}
	asking.Wait()
	for i, b := range s.books() {
		var sum int64
		for _, it := range b.Items {
			sum += it.Tokens
		}
		if sum > memory {
			t.Errorf("engine %d holds %d of %d", i, sum, memory)
		}
	}
	if granted[0]+granted[1]+granted[2] == 0 {
		t.Error("nothing was granted")
	}
	for _, h := range s.hosts {
		h.kill()
	}
	s.mu.Lock()
	s.allOwnAll = false
	s.mu.Unlock()
	s.addHost("next", "1")
	s.waitForEmptyBooks()
}

// waitForGrants waits until the owner that a host calls has read an engine's books
// and so begins to grant reservations.
func (s *site) waitForGrants(h *testHost, e Engine) {
	n := 0
	s.eventually("the owner grants on "+e.Name, func() bool {
		n++
		id := ledger.ID{Kind: ledger.Reservation, Name: fmt.Sprintf("%s-%s-try-%d", h.name, e.Name, n)}
		reply, err := h.holder.Reserve(context.Background(), e, ledger.ReserveRequest{Engine: e.Name, ID: id.Name, Tokens: 1})
		if err != nil || !reply.Granted {
			return false
		}
		h.holder.End(e, id)
		return true
	})
}

// TestOverlappingGangsAllFinish guards against a deadlock of gangs that need the same
// engines.
func TestOverlappingGangsAllFinish(t *testing.T) {
	s := newSite(t, 3, 4)
	var all sync.WaitGroup
	for i, h := range s.hosts {
		all.Go(func() {
			id, err := h.holder.Gather(h.ctx, ledger.GatherOptions{}, s.gang(fmt.Sprintf("g%d", i), 6000), s.engines)
			if err != nil {
				t.Errorf("gang %d: %v", i, err)
				return
			}
			for j, b := range s.books() {
				if len(b.Items) != 1 || b.Items[0].Name != id {
					t.Errorf("gang %d: engine %d lists %+v", i, j, b.Items)
				}
			}
			for _, e := range s.engines {
				h.holder.End(e, ledger.ID{Kind: ledger.Reservation, Name: id})
			}
		})
	}
	all.Wait()
	s.waitForEmptyBooks()
}

func TestGangLargerThanMemoryReservesNothing(t *testing.T) {
	s := newSite(t, 2, 2)
	_, err := s.hosts[0].holder.Gather(s.hosts[0].ctx, ledger.GatherOptions{}, s.gang("g", memory+1), s.engines)
	var failed *GangError
	if !errors.As(err, &failed) || failed.Reason != ledger.TooLarge {
		t.Errorf("got %v, want %s", err, ledger.TooLarge)
	}
	s.waitForEmptyBooks()
}

func TestDigestShowsLoadAndOutages(t *testing.T) {
	s := newSite(t, 2, 1)
	h := s.hosts[0]
	s.startStream(h, s.engines[1], "q")
	s.eventually("a digest that shows the load", func() bool {
		s.mu.Lock()
		data := h.digest
		s.mu.Unlock()
		if data == nil {
			return false
		}
		d, err := DecodeDigest(data)
		if err != nil {
			t.Fatal(err)
		}
		if len(d.Engines) != 2 {
			return false
		}
		idle, busy := d.Engines[0].Load(), d.Engines[1].Load()
		return idle.Running == 0 && busy.Running == 1 && busy.MemoryTotal == memory
	})
	if err := s.standins[0].SetFault(standin.Fault{Kind: standin.FaultOutage, On: true}); err != nil {
		t.Fatal(err)
	}
	s.eventually("an engine that does not answer is left out", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		d, err := DecodeDigest(h.digest)
		return err == nil && len(d.Engines) == 1 && d.Engines[0].Name == "e1"
	})
}

// TestReadingCacheEventsKeepsUp guards against a reader that falls ever further behind
// an engine which makes more events than are read.
func TestReadingCacheEventsKeepsUp(t *testing.T) {
	s := New(Options{})
	p := newPoller(s, Engine{}, nil)
	// The engine makes ten times the events that one read takes.
	end, missed := int64(0), int64(0)
	for range 1000 {
		end += 10 * DefaultMaxCacheRead
		got := CacheEvents{Next: p.nextSeq}
		for got.Next < end && len(got.Events) < DefaultMaxCacheRead {
			got.Events = append(got.Events, CacheEvent{Seq: got.Next})
			got.Next++
		}
		p.nextSeq = p.nextCacheSeq(got)
		missed = max(missed, end-p.nextSeq)
	}
	if missed > 100*DefaultMaxCacheRead {
		t.Errorf("the reader fell %d events behind", missed)
	}
}
