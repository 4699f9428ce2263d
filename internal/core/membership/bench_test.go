package membership

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"io"
	"testing"
	"time"
)

// domainsOf splits a site's hosts as they are planned: 60 a domain.
func domainsOf(hosts int) []int {
	const most = 60
	var sizes []int
	for ; hosts > 0; hosts -= most {
		sizes = append(sizes, min(hosts, most))
	}
	return sizes
}

// settled returns two hosts of one domain that know a whole site.
func settled(b *testing.B, hosts int) (s *site, one, two *Members) {
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

// BenchmarkExchange runs a whole exchange between two hosts of which each has
// missed some beats of the others. Bytes are those of gob without type
// descriptions, which a connection carries once.
func BenchmarkExchange(b *testing.B) {
	for _, hosts := range []int{8, 60, 420} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			s, one, two := settled(b, hosts)
			enc := gob.NewEncoder(io.Discard)
			size := func(v any) int {
				var w bytes.Buffer
				e := gob.NewEncoder(&w)
				_ = e.Encode(v)
				first := w.Len()
				_ = e.Encode(v)
				return w.Len() - first
			}
			var request, answer int
			b.ReportAllocs()
			for b.Loop() {
				s.now = s.now.Add(time.Millisecond)
				for _, m := range s.hosts[2:] {
					// Half of the news is known to either side.
					if l := one.byHost[m.Self().Host]; l != nil && one.local(l) {
						l.beat()
					}
				}
				req := one.exchange(two.Self().Address, s.rng).Request
				s.must(enc.Encode(req))
				resp, err := two.HandleRequest(s.now, req, s.rng)
				s.must(err)
				s.must(enc.Encode(resp))
				push, err := one.HandleResponse(s.now, resp)
				s.must(err)
				if push != nil {
					s.must(enc.Encode(push))
					s.must(two.HandlePush(s.now, push))
				}
				if request == 0 {
					request, answer = size(req), size(resp)
				}
			}
			b.ReportMetric(float64(request), "request-B")
			b.ReportMetric(float64(answer), "answer-B")
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, hosts := range []int{8, 60, 420} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			s, one, _ := settled(b, hosts)
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
			s, one, _ := settled(b, hosts)
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
			s, one, _ := settled(b, hosts)
			view := one.View(s.now)
			b.ReportAllocs()
			for b.Loop() {
				Owner("engine-7", view)
			}
		})
	}
}

// BenchmarkSite reports the bytes that a host sends a second, by gob alone, in a
// site of the full size. Each message's gob here carries its type descriptions,
// so they are taken out.
func BenchmarkSite(b *testing.B) {
	for _, hosts := range []int{8, 60, 420} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			s, _, _ := settled(b, hosts)
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
			local, remote := oldest(s)
			b.ReportMetric(local.Seconds(), "oldest-local-s")
			b.ReportMetric(remote.Seconds(), "oldest-remote-s")
		})
	}
}

// oldest returns for how long the longest unheard host of the same and of
// another domain was not heard.
func oldest(s *site) (local, remote time.Duration) {
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
