package membership

import (
	"fmt"
	"testing"
	"time"
)

// sentPerHost returns the bytes that a host of a region sends a second on average, all of them
// having met.
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

// TestBytesOfAHostDoNotGrowWithTheRegion guards against exchanges that tell of all hosts as
// often as in a small region: what each sends would grow as all together do.
func TestBytesOfAHostDoNotGrowWithTheRegion(t *testing.T) {
	t.Parallel()
	sent := map[int]float64{}
	for _, each := range []int{20, 40} {
		s := region(t, 5, each, placeSection)
		s.run(15 * time.Second)
		if wrong := s.wrong("region", "region", Live); wrong != "" {
			t.Fatal(wrong)
		}
		sent[5*each] = sentPerHost(s, 10*time.Second)
	}
	if sent[200] > 1.3*sent[100] {
		t.Errorf("bytes a second by hosts: %v", sent)
	}
}

// TestSilenceOfLivingHostsStaysUnderTheLimit: what makes a host suspect grows as news of it gets
// rarer, and no living host is suspect.
func TestSilenceOfLivingHostsStaysUnderTheLimit(t *testing.T) {
	t.Parallel()
	for _, each := range []int{20, 40} {
		s := region(t, 5, each, placeSection)
		s.run(30 * time.Second)
		silent, _ := oldest(s)
		suspect, _ := s.hosts[0].limits(s.hosts[1].self)
		if silent > suspect*9/10 {
			t.Errorf("%d hosts: one was not heard for %s, which makes it suspect after %s", 5*each, silent, suspect)
		}
		if wrong := s.wrong("region", "region", Live); wrong != "" {
			t.Error(wrong)
		}
	}
}

// TestDeadHostIsSeenByAll: later in a large region, within its own limit.
func TestDeadHostIsSeenByAll(t *testing.T) {
	t.Parallel()
	s := region(t, 5, 40, placeSection)
	s.run(30 * time.Second)
	dead := s.hosts[77]
	s.kill(dead)
	_, limit := s.hosts[0].limits(dead.self)
	s.run(2 * limit)
	for _, m := range s.hosts {
		if got, known := s.stateAt(m, dead.Self().Host); m != dead && known && got != Dead {
			t.Fatalf("%s sees it %s", m.Self().Host, got)
		}
	}
}

// TestNewHostOfALargeRegionIsKnownToAllAtOnce guards against tasks that two hosts do for all,
// because some do not know the one that comes first. Where it is told with what it publishes.
func TestNewHostOfALargeRegionIsKnownToAllAtOnce(t *testing.T) {
	t.Parallel()
	s := region(t, 5, 40, placeSection)
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
	if unknown > 2 { // a push may miss one, which an exchange tells
		t.Errorf("%d of 200 do not know it after 2 s", unknown)
	}
}

// TestManyHostsThatStartTogetherMeetSoon: they exchange as often as in a small region until
// they have met.
func TestManyHostsThatStartTogetherMeetSoon(t *testing.T) {
	t.Parallel()
	s := region(t, 5, 60, placeSection)
	s.run(8 * time.Second)
	for _, m := range s.hosts {
		if n := len(m.order); n < len(s.hosts) {
			t.Fatalf("%s knows %d of %d after 8 s", m.Self().Host, n, len(s.hosts))
		}
	}
}

// BenchmarkRegion tells what a host of a region sends and for how long the longest unheard one
// was not heard, by the number of hosts.
func BenchmarkRegion(b *testing.B) {
	for _, hosts := range []int{100, 300, 985, 1970} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			s := region(b, 5, hosts/5, placeSection)
			s.run(60 * time.Second)
			const span = 20 * time.Second
			for b.Loop() {
				b.ReportMetric(sentPerHost(s, span), "sent-B/s")
			}
			silent, _ := oldest(s)
			suspect, dead := s.hosts[0].limits(s.hosts[1].self)
			b.ReportMetric(silent.Seconds(), "oldest-s")
			b.ReportMetric(suspect.Seconds(), "suspect-s")
			b.ReportMetric(dead.Seconds(), "dead-s")
			b.ReportMetric(farShare(s), "far-share")
		})
	}
}

// TestWhatAHostOfALargeRegionPublishesReachesAllAtOnce: it may say that a request kills those
// who run it.
func TestWhatAHostOfALargeRegionPublishesReachesAllAtOnce(t *testing.T) {
	t.Parallel()
	const section = "evidence"
	s := region(t, 5, 40, placeSection)
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
		if unknown > 2 { // pushes may miss one, which an exchange tells
			t.Errorf("%d of 200 do not know it after 2 s", unknown)
		}
	}
}
