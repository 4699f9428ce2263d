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
	if got := len(s.hosts[0].View(s.now)); got != hosts {
		b.Fatalf("%d of %d hosts known", got, hosts)
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
						l.version++
					}
				}
				req := one.exchange(two.Self().Address).Request
				s.must(enc.Encode(req))
				resp, err := two.HandleRequest(s.now, req)
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
		})
	}
}
