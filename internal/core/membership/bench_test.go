package membership

import (
	"fmt"
	"testing"
	"time"
)

// domainsOf splits a site's hosts into domains of 60, as planned.
func domainsOf(hosts int) []int {
	const most = 60
	var sizes []int
	for ; hosts > 0; hosts -= most {
		sizes = append(sizes, min(hosts, most))
	}
	return sizes
}

// settledSite returns a site whose hosts all know each other, and two hosts of one domain.
func settledSite(b *testing.B, hosts int) (s *site, one, two *Members) {
	b.Helper()
	s = newSite(b, 1)
	for i, size := range domainsOf(hosts) {
		s.addDomain(fmt.Sprint("domain-", i), size)
	}
	s.run(90 * time.Second)
	for _, m := range s.hosts {
		if got := len(Rank("", m.View(s.now), hosts)); got != hosts {
			b.Fatalf("%s sees %d of %d hosts live", m.Self().Host, got, hosts)
		}
	}
	return s, s.hosts[0], s.hosts[1]
}

// BenchmarkExchange runs complete exchanges between two hosts that know a site,
// including the encoding. Before each, the opener gets a heartbeat of every other
// host of the domain, which the answerer lacks. Bytes are those of gob.
func BenchmarkExchange(b *testing.B) {
	for _, hosts := range []int{8, 60, 420} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			s, one, two := settledSite(b, hosts)
			w := newWire()
			b.ReportAllocs()
			for b.Loop() {
				s.now = s.now.Add(time.Millisecond)
				for _, e := range one.order {
					if one.isLocal(e) && e.id.Host != two.Self().Host {
						e.advanceHeartbeat()
					}
				}
				exchangeOnce(s, w, one, two)
			}
			b.ReportMetric(float64(w.sent[one.Self().Host])/float64(b.N), "opener-B")
			b.ReportMetric(float64(w.sent[two.Self().Host])/float64(b.N), "answerer-B")
		})
	}
}

func exchangeOnce(s *site, w *wire, one, two *Members) {
	req := one.exchange(two.Self().Address, s.rng).Request
	w.count(one.Self().Host, req)
	resp, err := two.HandleRequest(s.now, req, s.rng)
	s.must(err)
	w.count(two.Self().Host, resp)
	push, err := one.HandleResponse(s.now, resp)
	s.must(err)
	if push != nil {
		w.count(one.Self().Host, push)
		s.must(two.HandlePush(s.now, push))
	}
}

func BenchmarkTick(b *testing.B) {
	for _, hosts := range []int{8, 60, 420} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			s, one, _ := settledSite(b, hosts)
			b.ReportAllocs()
			for b.Loop() {
				one.Tick(s.now, s.rng)
			}
		})
	}
}

func BenchmarkView(b *testing.B) {
	for _, hosts := range []int{8, 60, 420} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			s, one, _ := settledSite(b, hosts)
			b.ReportAllocs()
			for b.Loop() {
				one.View(s.now)
			}
		})
	}
}

func BenchmarkOwner(b *testing.B) {
	for _, hosts := range []int{8, 60, 420} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			s, one, _ := settledSite(b, hosts)
			view := one.View(s.now)
			b.ReportAllocs()
			for b.Loop() {
				Owner("engine-7", view)
			}
		})
	}
}

func BenchmarkLocalOwner(b *testing.B) {
	for _, hosts := range []int{8, 60, 420} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			s, one, _ := settledSite(b, hosts)
			view := one.View(s.now)
			domain := view[0].Domain
			b.ReportAllocs()
			for b.Loop() {
				LocalOwner("engine-7", domain, view)
			}
		})
	}
}

// BenchmarkSite reports the gob bytes that a host sends per second, without type
// descriptions, which a connection carries only once.
func BenchmarkSite(b *testing.B) {
	for _, hosts := range []int{8, 60, 420} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			s, _, _ := settledSite(b, hosts)
			s.wire = newWire()
			const span = 30 * time.Second
			for b.Loop() {
				s.wire.sent = make(map[string]int)
				s.run(span)
			}
			total, most := 0, 0
			for _, n := range s.wire.sent {
				total += n
				most = max(most, n)
			}
			b.ReportMetric(float64(total)/float64(hosts)/span.Seconds(), "mean-B/s")
			b.ReportMetric(float64(most)/span.Seconds(), "most-B/s")
			local, remote := longestSilence(s)
			b.ReportMetric(local.Seconds(), "oldest-local-s")
			b.ReportMetric(remote.Seconds(), "oldest-remote-s")
		})
	}
}

// longestSilence returns the longest time for which a host of the viewer's own
// domain, and of another domain, was not heard from.
func longestSilence(s *site) (local, remote time.Duration) {
	for _, m := range s.hosts {
		for _, v := range m.View(s.now) {
			silence := s.now.Sub(v.LastHeard)
			if v.Domain == m.Self().Domain {
				local = max(local, silence)
			} else {
				remote = max(remote, silence)
			}
		}
	}
	return local, remote
}
