package membership

import (
	"fmt"
	"testing"
	"time"
)

// sentPerHost returns the mean number of bytes that a host of a region sends per second once all
// hosts know each other.
func sentPerHost(s *site, span time.Duration) float64 {
	s.wire = newWire()
	s.run(span)
	total := 0
	for _, n := range s.wire.sent {
		total += n
	}
	s.wire = nil
	return float64(total) / float64(len(s.hosts)) / span.Seconds()
}

// TestBytesPerHostDoNotGrowWithTheRegion guards against exchanges that cover all hosts as often as
// in a small region: the bytes that each host sends would grow with the number of hosts.
func TestBytesPerHostDoNotGrowWithTheRegion(t *testing.T) {
	t.Parallel()
	sent := map[int]float64{}
	for _, each := range []int{20, 40} {
		s := newRegion(t, 5, each, placeSection)
		s.run(15 * time.Second)
		if wrong := s.mismatch("region", "region", Live); wrong != "" {
			t.Fatal(wrong)
		}
		sent[5*each] = sentPerHost(s, 10*time.Second)
	}
	if sent[200] > 1.3*sent[100] {
		t.Errorf("bytes a second by hosts: %v", sent)
	}
}

// TestSilenceOfLiveHostsStaysBelowTheSuspectLimit guards against live hosts being suspected in a
// large region, where heartbeats spread more slowly: the limit has to grow with the region.
func TestSilenceOfLiveHostsStaysBelowTheSuspectLimit(t *testing.T) {
	t.Parallel()
	for _, each := range []int{20, 40} {
		s := newRegion(t, 5, each, placeSection)
		s.run(30 * time.Second)
		silent, _ := longestSilence(s)
		suspect, _ := s.hosts[0].silenceLimits(s.hosts[1].self)
		if silent > suspect*9/10 {
			t.Errorf("%d hosts: one was not heard from for %s, and is suspect after %s", 5*each, silent, suspect)
		}
		if wrong := s.mismatch("region", "region", Live); wrong != "" {
			t.Error(wrong)
		}
	}
}

// TestDeadHostIsDetectedByAll checks that all hosts of a large region see a dead host as dead
// within the limit of a region of that size.
func TestDeadHostIsDetectedByAll(t *testing.T) {
	t.Parallel()
	s := newRegion(t, 5, 40, placeSection)
	s.run(30 * time.Second)
	dead := s.hosts[77]
	s.kill(dead)
	_, limit := s.hosts[0].silenceLimits(dead.self)
	s.run(2 * limit)
	for _, m := range s.hosts {
		if got, known := s.stateAt(m, dead.Self().Host); m != dead && known && got != Dead {
			t.Fatalf("%s sees the dead host as %s", m.Self().Host, got)
		}
	}
}

// TestNewHostOfALargeRegionIsKnownWithinSeconds guards against two hosts doing a task that one is
// to do for all, because some do not know the new host, which ranks first. Its sections spread
// along with it.
func TestNewHostOfALargeRegionIsKnownWithinSeconds(t *testing.T) {
	t.Parallel()
	s := newRegion(t, 5, 40, placeSection)
	s.run(30 * time.Second)
	m := New(Config{Self: testIdentity("new", "region", 1), LocalitySection: placeSection}, s.now)
	s.must(m.Publish(s.now, placeSection, []byte("place-0"), false))
	m.AddSeeds([]string{s.hosts[0].Self().Address})
	s.hosts = append(s.hosts, m)
	s.at[m.Self().Address] = m
	s.run(2 * time.Second)
	unknown := 0
	for _, o := range s.hosts[:200] {
		if e := o.byHost["new"]; e == nil || len(e.sections) == 0 {
			unknown++
		}
	}
	if unknown > 2 { // pushes may miss a host, which an exchange updates later
		t.Errorf("%d of 200 hosts do not know the new host after 2 s", unknown)
	}
}

// TestHostsThatStartTogetherDiscoverEachOtherSoon guards against a slow start of a large region:
// its hosts have to exchange as often as in a small one until they know each other.
func TestHostsThatStartTogetherDiscoverEachOtherSoon(t *testing.T) {
	t.Parallel()
	s := newRegion(t, 5, 60, placeSection)
	s.run(8 * time.Second)
	for _, m := range s.hosts {
		if n := len(m.order); n < len(s.hosts) {
			t.Fatalf("%s knows %d of %d hosts after 8 s", m.Self().Host, n, len(s.hosts))
		}
	}
}

// BenchmarkRegion reports the bytes sent per host, the longest silence and the silence limits, by
// the number of hosts of a region.
func BenchmarkRegion(b *testing.B) {
	for _, hosts := range []int{100, 300, 985, 1970} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			s := newRegion(b, 5, hosts/5, placeSection)
			s.run(60 * time.Second)
			const span = 20 * time.Second
			for b.Loop() {
				b.ReportMetric(sentPerHost(s, span), "sent-B/s")
			}
			silent, _ := longestSilence(s)
			suspect, dead := s.hosts[0].silenceLimits(s.hosts[1].self)
			b.ReportMetric(silent.Seconds(), "oldest-s")
			b.ReportMetric(suspect.Seconds(), "suspect-s")
			b.ReportMetric(dead.Seconds(), "dead-s")
			b.ReportMetric(farShare(s), "far-share")
		})
	}
}

// TestSectionsInALargeRegionSpreadWithinSeconds guards against urgent sections, such as evidence
// that a request crashes engines, waiting for the rare exchanges of a large region.
func TestSectionsInALargeRegionSpreadWithinSeconds(t *testing.T) {
	t.Parallel()
	const section = "evidence"
	s := newRegion(t, 5, 40, placeSection)
	s.run(30 * time.Second)
	for n := range 3 {
		one := s.hosts[50+n]
		s.must(one.Publish(s.now, section, []byte{byte(n)}, true))
		s.send(one, one.TakePushes(s.rng))
		s.run(2 * time.Second)
		unknown := 0
		for _, m := range s.hosts {
			if e := m.byHost[one.Self().Host]; e == nil || len(e.sections[section].Data) == 0 {
				unknown++
			}
		}
		if unknown > 2 { // pushes may miss a host, which an exchange updates later
			t.Errorf("%d of 200 hosts do not have the section after 2 s", unknown)
		}
	}
}
