package membership

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const tickEvery = 500 * time.Millisecond

// site simulates several hosts in one goroutine.
type site struct {
	t     testing.TB
	now   time.Time
	rng   *rand.Rand
	hosts []*Members
	next  map[*Members]time.Time     // next tick of each host
	at    map[string]*Members        // running hosts by address
	cut   func(from, to string) bool // whether messages between two domains are lost
	// cutHosts reports whether messages between two hosts are lost; nil: none are.
	cutHosts func(from, to *Members) bool
	gob      bool  // messages are encoded and decoded, as between daemons
	wire     *wire // counts bytes when it is not nil
}

// wire counts the gob bytes that each host sends, without type descriptions,
// which a connection carries only once.
type wire struct {
	buffer bytes.Buffer
	enc    *gob.Encoder
	sent   map[string]int // by host
}

func newWire() *wire {
	w := &wire{sent: make(map[string]int)}
	w.enc = gob.NewEncoder(&w.buffer)
	for _, v := range []any{&Request{}, &Response{}, &Push{}} {
		_ = w.enc.Encode(v)
	}
	return w
}

func (w *wire) count(host string, v any) {
	w.buffer.Reset()
	_ = w.enc.Encode(v)
	w.sent[host] += w.buffer.Len()
}

func newSite(t testing.TB, seed uint64) *site {
	return &site{
		t:    t,
		now:  epoch,
		rng:  rand.New(rand.NewPCG(seed, 1)),
		at:   make(map[string]*Members),
		next: make(map[*Members]time.Time),
		cut:  func(string, string) bool { return false },
	}
}

func testIdentity(host, domain string, incarnation uint64) Identity {
	return Identity{Host: host, Domain: domain, Region: "r", Address: host + ":1", Incarnation: incarnation}
}

// add starts a host whose seed is the first host.
func (s *site) add(host, domain string, incarnation uint64) *Members {
	m := New(Config{Self: testIdentity(host, domain, incarnation)}, s.now)
	if len(s.hosts) > 0 {
		m.AddSeeds([]string{s.hosts[0].Self().Address})
	}
	s.hosts = append(s.hosts, m)
	s.at[m.Self().Address] = m
	return m
}

func (s *site) addDomain(domain string, n int) {
	for i := range n {
		s.add(fmt.Sprintf("%s-%02d", domain, i), domain, 1)
	}
}

// kill stops a host without a leave.
func (s *site) kill(m *Members) {
	delete(s.at, m.Self().Address)
}

func (s *site) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(tickEvery)
		for _, m := range s.hosts {
			if s.at[m.Self().Address] == m && !s.now.Before(s.next[m]) {
				s.send(m, m.Tick(s.now, s.rng))
				s.next[m] = s.now.Add(time.Duration(float64(tickEvery) * m.ExchangeIntervalFactor()))
			}
		}
	}
}

func (s *site) send(from *Members, out []Outgoing) {
	for _, o := range out {
		to := s.at[o.Address]
		if to == nil || s.cut(from.Self().Domain, to.Self().Domain) || s.cutHosts != nil && s.cutHosts(from, to) {
			from.DeliveryFailed(s.now, o.Address)
			continue
		}
		if o.Request == nil {
			s.push(from, to, o.Push)
			continue
		}
		resp, err := to.HandleRequest(s.now, transmit(s, from, o.Request), s.rng)
		s.must(err)
		push, err := from.HandleResponse(s.now, transmit(s, to, resp))
		s.must(err)
		if push != nil {
			s.push(from, to, push)
		}
		s.send(from, from.TakePushes(s.rng))
		s.send(to, to.TakePushes(s.rng))
	}
}

func (s *site) push(from, to *Members, push *Push) {
	s.must(to.HandlePush(s.now, transmit(s, from, push)))
	s.send(to, to.TakePushes(s.rng))
}

// transmit returns a message as its receiver gets it.
func transmit[T any](s *site, from *Members, sent *T) *T {
	if s.wire != nil {
		s.wire.count(from.Self().Host, sent)
	}
	if !s.gob {
		return sent
	}
	var b bytes.Buffer
	s.must(gob.NewEncoder(&b).Encode(sent))
	arrived := new(T)
	s.must(gob.NewDecoder(&b).Decode(arrived))
	return arrived
}

func (s *site) must(err error) {
	if err != nil {
		s.t.Fatal(err)
	}
}

// stateAt returns the state of a host as m sees it; ok is false when m does not
// know it.
func (s *site) stateAt(m *Members, host string) (state State, ok bool) {
	for _, v := range m.View(s.now) {
		if v.Host == host {
			return v.State, true
		}
	}
	return 0, false
}

// mismatch describes the first running host of a domain whose state, as seen by the
// running hosts of the viewers' domain, is not want. It is empty when there is none.
func (s *site) mismatch(viewers, domain string, want State) string {
	for _, m := range s.hosts {
		if m.Self().Domain != viewers || s.at[m.Self().Address] != m {
			continue
		}
		for _, o := range s.hosts {
			if o.Self().Domain != domain || s.at[o.Self().Address] != o {
				continue
			}
			if got, ok := s.stateAt(m, o.Self().Host); !ok || got != want {
				return fmt.Sprintf("%s sees %s %s (known %t), want %s", m.Self().Host, o.Self().Host, got, ok, want)
			}
		}
	}
	return ""
}
