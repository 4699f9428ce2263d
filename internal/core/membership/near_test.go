package membership

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const placeSection = "place"

// newRegion returns a site with one domain, whose hosts are spread evenly over places and publish
// their place.
func newRegion(t testing.TB, places, each int, nearBy string) *site {
	s := newSite(t, 1)
	for p := range places {
		for i := range each {
			place := fmt.Sprint("place-", p)
			host := fmt.Sprintf("%s-%02d", place, i)
			m := New(Config{Self: testIdentity(host, "region", 1), LocalitySection: nearBy}, s.now)
			s.must(m.Publish(s.now, placeSection, []byte(place), false))
			if len(s.hosts) > 0 {
				m.AddSeeds([]string{s.hosts[0].Self().Address})
			}
			s.hosts = append(s.hosts, m)
			s.at[m.Self().Address] = m
		}
	}
	return s
}

// farShare returns the fraction of all hosts' partners that are in other places.
func farShare(s *site) float64 {
	far, all := 0, 0
	for _, m := range s.hosts {
		place := string(m.self.sections[placeSection].Data)
		for _, host := range m.partners {
			all++
			if string(m.byHost[host].sections[placeSection].Data) != place {
				far++
			}
		}
	}
	return float64(far) / float64(all)
}

// TestMostPartnersAreNear runs a region with many hosts in a few failure domains: most exchanges
// stay inside one, and heartbeats of all hosts still reach every other host in time.
func TestMostPartnersAreNear(t *testing.T) {
	s := newRegion(t, 5, 20, placeSection)
	s.run(20 * time.Second)
	if share := farShare(s); share > 0.3 || share < 0.1 {
		t.Errorf("%.2f of the partners are far", share)
	}
	if wrong := s.mismatch("region", "region", Live); wrong != "" {
		t.Error(wrong)
	}
	local, _ := longestSilence(s)
	if most := defaultSuspectAfter; local >= most {
		t.Errorf("some host was not heard from for %s, which makes it suspect", local)
	}
}

// TestFarHostsFillPartnersWhereFewAreNear guards against hosts with few or no near hosts having
// too few partners.
func TestFarHostsFillPartnersWhereFewAreNear(t *testing.T) {
	for _, each := range []int{1, 3} {
		s := newRegion(t, 10, each, placeSection)
		s.run(10 * time.Second)
		for _, m := range s.hosts {
			if n := len(m.partners); n != defaultPartners {
				t.Fatalf("%d a place: %s has %d partners", each, m.Self().Host, n)
			}
		}
	}
}

// TestPartitionedPlaceKeepsWorkingAndRecovers guards against hosts of a partitioned place that
// lose each other, or do not find the others again after the partition.
func TestPartitionedPlaceKeepsWorkingAndRecovers(t *testing.T) {
	s := newRegion(t, 3, 10, placeSection)
	s.run(15 * time.Second)
	place := func(address string) string { return string(s.at[address].self.sections[placeSection].Data) }
	s.cutHosts = func(from, to *Members) bool {
		a, b := place(from.Self().Address), place(to.Self().Address)
		return a != b && (a == "place-0" || b == "place-0")
	}
	s.run(10 * time.Second)
	for _, m := range s.hosts[:10] {
		for _, o := range s.hosts[:10] {
			if got, _ := s.stateAt(m, o.Self().Host); got != Live {
				t.Fatalf("in the partitioned place %s sees %s %s", m.Self().Host, o.Self().Host, got)
			}
		}
	}
	s.cutHosts = nil
	s.run(40 * time.Second) // longer than failureBackoff
	if wrong := s.mismatch("region", "region", Live); wrong != "" {
		t.Error(wrong)
	}
}

// BenchmarkNearPartners reports the bytes sent per host, in total and between places, and the
// longest silence, in a region of 300 hosts in five places.
func BenchmarkNearPartners(b *testing.B) {
	for _, c := range []struct{ name, nearBy string }{{"any", ""}, {"near", placeSection}} {
		b.Run(c.name, func(b *testing.B) {
			s := newRegion(b, 5, 60, c.nearBy)
			s.run(30 * time.Second)
			s.wire = newWire()
			const span = 10 * time.Second
			for b.Loop() {
				s.wire.sent = map[string]int{}
				s.run(span)
			}
			total := 0
			for _, n := range s.wire.sent {
				total += n
			}
			local, _ := longestSilence(s)
			share := farShare(s)
			b.ReportMetric(float64(total)/float64(len(s.hosts))/span.Seconds(), "sent-B/s")
			b.ReportMetric(share*float64(total)/float64(len(s.hosts))/span.Seconds(), "far-B/s")
			b.ReportMetric(local.Seconds(), "oldest-s")
		})
	}
}

func TestTopAndNearby(t *testing.T) {
	var ranked []Member
	for _, host := range []string{"far-1", "near-1", "far-2", "near-2", "far-3", "near-3"} {
		ranked = append(ranked, Member{Identity: Identity{Host: host}})
	}
	near := func(host string) bool { return strings.HasPrefix(host, "near") }
	cases := []struct {
		n, maxNear int
		want       string
	}{
		{1, 2, "far-1 near-1 near-2"},
		{2, 1, "far-1 near-1 near-2"},
		{2, 9, "far-1 near-1 near-2 near-3"},
		{9, 2, "far-1 near-1 far-2 near-2 far-3 near-3"},
		{0, 1, "near-1"},
		{1, 0, "far-1"},
	}
	for _, c := range cases {
		var got []string
		for _, m := range TopAndNearby(ranked, c.n, c.maxNear, near) {
			got = append(got, m.Host)
		}
		if s := strings.Join(got, " "); s != c.want {
			t.Errorf("first %d and %d near: %s, want %s", c.n, c.maxNear, s, c.want)
		}
	}
}
