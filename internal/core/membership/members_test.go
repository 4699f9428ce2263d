package membership

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

func TestDomainsDiscoverEachOtherThroughOneSeed(t *testing.T) {
	s := newSite(t, 1)
	s.gob = true
	s.addDomain("a", 6)
	s.addDomain("b", 6)
	s.addDomain("c", 1)
	s.run(40 * time.Second)
	for _, viewers := range []string{"a", "b", "c"} {
		for _, domain := range []string{"a", "b", "c"} {
			if w := s.mismatch(viewers, domain, Live); w != "" {
				t.Error(w)
			}
		}
	}
}

// TestRunningHostsAreNeverSuspected runs a site of the planned number of domains,
// whose hosts all know one seed, and then checks all views for two minutes.
func TestRunningHostsAreNeverSuspected(t *testing.T) {
	s := newSite(t, 11)
	for i := range 12 {
		for _, domain := range []string{"a", "b", "c", "d", "e", "f", "g"} {
			s.add(fmt.Sprintf("host-%02d-%s", i, domain), domain, 1)
		}
	}
	s.run(time.Minute)
	for range 24 {
		s.run(5 * time.Second)
		for _, m := range s.hosts {
			view := m.View(s.now)
			if len(view) != len(s.hosts) {
				t.Fatalf("%s knows %d of %d hosts", m.Self().Host, len(view), len(s.hosts))
			}
			for _, v := range view {
				if v.State != Live {
					t.Fatalf("%s sees %s %s, heard %v ago", m.Self().Host, v.Host, v.State, s.now.Sub(v.LastHeard))
				}
			}
		}
	}
}

func TestSilentHostBecomesDeadAndRecovers(t *testing.T) {
	s := newSite(t, 2)
	s.addDomain("a", 8)
	s.run(20 * time.Second)
	lost := s.hosts[3]
	s.kill(lost)
	s.run(defaultSuspectAfter + 2*time.Second)
	if got, _ := s.stateAt(s.hosts[0], "a-03"); got != Suspect {
		t.Errorf("after the first limit the host is %s", got)
	}
	s.run(defaultDeadAfter)
	if got, _ := s.stateAt(s.hosts[0], "a-03"); got != Dead {
		t.Errorf("after the second limit the host is %s", got)
	}
	s.at["a-03:1"] = lost
	s.run(20 * time.Second)
	if w := s.mismatch("a", "a", Live); w != "" {
		t.Error(w)
	}
}

func TestPartitionedDomainKeepsWorkingAndRecovers(t *testing.T) {
	s := newSite(t, 3)
	s.gob = true
	s.addDomain("a", 4)
	s.addDomain("b", 4)
	s.addDomain("c", 4)
	s.run(40 * time.Second)
	s.cut = func(from, to string) bool { return from != to && (from == "c" || to == "c") }
	s.run(2 * time.Minute)
	for _, c := range []struct {
		viewers, domain string
		want            State
	}{{"a", "c", Dead}, {"c", "a", Dead}, {"c", "b", Dead}, {"c", "c", Live}, {"a", "b", Live}, {"a", "a", Live}} {
		if w := s.mismatch(c.viewers, c.domain, c.want); w != "" {
			t.Errorf("cut: %s", w)
		}
	}
	s.cut = func(string, string) bool { return false }
	s.run(40 * time.Second)
	for _, viewers := range []string{"a", "b", "c"} {
		for _, domain := range []string{"a", "b", "c"} {
			if w := s.mismatch(viewers, domain, Live); w != "" {
				t.Errorf("healed: %s", w)
			}
		}
	}
}

func TestPartitionBetweenTwoDomainsIsNotBridgedByAThird(t *testing.T) {
	s := newSite(t, 4)
	s.addDomain("a", 3)
	s.addDomain("b", 3)
	s.addDomain("c", 3)
	s.run(40 * time.Second)
	s.cut = func(from, to string) bool { return from+to == "ab" || from+to == "ba" }
	s.run(2 * time.Minute)
	if w := s.mismatch("a", "b", Dead); w != "" {
		t.Error(w)
	}
	if w := s.mismatch("c", "a", Live); w != "" {
		t.Error(w)
	}
}

func TestHostsDiscoverEachOtherThroughTheList(t *testing.T) {
	s := newSite(t, 5)
	var list []ListedHost
	for _, host := range []string{"x", "y", "z"} {
		s.at[host+":1"] = New(Config{Self: testIdentity(host, "a", 1)}, s.now)
		s.hosts = append(s.hosts, s.at[host+":1"])
		list = append(list, ListedHost{Host: host, Domain: "a", Address: host + ":1"})
	}
	s.hosts[1].ApplyHostList(s.now, list)
	s.run(20 * time.Second)
	if w := s.mismatch("a", "a", Live); w != "" {
		t.Error(w)
	}
}

// TestApplyHostList applies lists in turn at a host that hears from "b".
func TestApplyHostList(t *testing.T) {
	live := []ListedHost{{Host: "b", Domain: "a", Address: "b:1"}}
	leaving := []ListedHost{{Host: "b", Domain: "a", Address: "b:1", Leaving: true}}
	for _, c := range []struct {
		name  string
		lists [][]ListedHost
		newer bool // a newer incarnation is heard before the last list
		want  State
	}{
		{name: "no list was ever read", want: Live},
		{name: "absent from the list", lists: [][]ListedHost{nil}, want: Live},
		{name: "listed live", lists: [][]ListedHost{live}, want: Live},
		{name: "listed leaving", lists: [][]ListedHost{leaving}, want: Leaving},
		{name: "turned to leaving", lists: [][]ListedHost{live, leaving}, want: Leaving},
		{name: "leaving, then absent", lists: [][]ListedHost{leaving, nil}, want: Leaving},
		{name: "leaving withdrawn", lists: [][]ListedHost{leaving, live}, want: Live},
		{name: "stale mark of the previous incarnation", lists: [][]ListedHost{leaving, leaving}, newer: true, want: Live},
		{name: "new incarnation leaves too", lists: [][]ListedHost{live, leaving}, newer: true, want: Leaving},
		{name: "entries without a name", lists: [][]ListedHost{{{Leaving: true}}}, want: Live},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New(Config{Self: testIdentity("a", "a", 1)}, epoch)
			receivePush(t, m, testIdentity("b", "a", 1))
			for i, list := range c.lists {
				if c.newer && i == len(c.lists)-1 {
					receivePush(t, m, testIdentity("b", "a", 2))
				}
				m.ApplyHostList(epoch, list)
			}
			if got := m.View(epoch)[1].State; got != c.want {
				t.Errorf("state is %s, want %s", got, c.want)
			}
		})
	}
}

func receivePush(t *testing.T, m *Members, id Identity) {
	t.Helper()
	if err := m.HandlePush(m.clock, &Push{From: id}); err != nil {
		t.Fatal(err)
	}
}

func TestOwnPauseMarksNoHostDead(t *testing.T) {
	s := newSite(t, 6)
	s.addDomain("a", 4)
	s.run(20 * time.Second)
	s.now = s.now.Add(10 * time.Minute)
	for _, v := range s.hosts[0].View(s.now) {
		if v.State != Live {
			t.Errorf("%s is %s after a pause of this process", v.Host, v.State)
		}
	}
}

func TestNewerOwnIncarnationSupersedes(t *testing.T) {
	m := New(Config{Self: testIdentity("a", "a", 5)}, epoch)
	receivePush(t, m, testIdentity("a", "a", 4))
	if m.Superseded() {
		t.Error("superseded by an older incarnation")
	}
	receivePush(t, m, testIdentity("a", "a", 6))
	if !m.Superseded() {
		t.Error("not superseded by a newer incarnation")
	}
	if got := m.Self().Incarnation; got != 5 {
		t.Errorf("own incarnation is %d", got)
	}
}

func TestLeaveIsKnownEverywhereWithinSeconds(t *testing.T) {
	s := newSite(t, 7)
	s.addDomain("a", 30)
	s.addDomain("b", 30)
	s.run(40 * time.Second)
	s.hosts[7].Leave(s.now)
	s.send(s.hosts[7], s.hosts[7].TakePushes(s.rng))
	s.run(3 * time.Second)
	for _, m := range s.hosts {
		if got, _ := s.stateAt(m, "a-07"); got != Leaving {
			t.Errorf("%s sees the leaving host %s", m.Self().Host, got)
		}
	}
}

func TestDeadHostIsForgottenAfterAnHour(t *testing.T) {
	s := newSite(t, 8)
	s.addDomain("a", 3)
	s.run(20 * time.Second)
	s.kill(s.hosts[2])
	s.run(defaultForgetAfter + time.Minute)
	if _, known := s.stateAt(s.hosts[0], "a-02"); known {
		t.Error("a host dead for longer than ForgetAfter is still known")
	}
}

func TestWideSectionsReachAllDomainsAndOthersTheirOwn(t *testing.T) {
	s := newSite(t, 9)
	s.gob = true
	s.addDomain("a", 4)
	s.addDomain("b", 4)
	s.run(40 * time.Second)
	published := s.now
	for _, data := range []string{"old", "new"} {
		s.must(s.hosts[1].Publish(s.now, "near", []byte(data), false))
		s.must(s.hosts[1].Publish(s.now, "far", []byte(data), true))
	}
	s.run(20 * time.Second)
	for _, m := range s.hosts {
		near, far := m.Sections(s.now, "near"), m.Sections(s.now, "far")
		if len(far) != 1 || string(far[0].Data) != "new" {
			t.Errorf("%s has wide sections %v", m.Self().Host, far)
			continue
		}
		if late := far[0].PublishedAt.Sub(published).Abs(); late > time.Second {
			t.Errorf("%s has the publication time of the section off by %v", m.Self().Host, late)
		}
		if want := m.Self().Domain == "a"; (len(near) == 1) != want {
			t.Errorf("%s has %d near sections", m.Self().Host, len(near))
		}
	}
	if err := s.hosts[0].Publish(s.now, "big", make([]byte, MaxSectionBytes+1), false); !errors.Is(err, ErrSectionTooLarge) {
		t.Errorf("large section: %v", err)
	}
}

// TestManyLargeSectionsArriveInBoundedMessages publishes more data than one
// message may hold.
func TestManyLargeSectionsArriveInBoundedMessages(t *testing.T) {
	s := newSite(t, 10)
	s.gob = true
	s.addDomain("a", 2)
	s.run(5 * time.Second)
	names := []string{"1", "2", "3", "4", "5", "6", "7"}
	for _, name := range names {
		s.must(s.hosts[0].Publish(s.now, name, make([]byte, MaxSectionBytes), false))
	}
	req := s.hosts[1].Tick(s.now, s.rng)[0].Request
	resp, err := s.hosts[0].HandleRequest(s.now, req, s.rng)
	s.must(err)
	for _, r := range resp.News.Records {
		if len(r.Sections) > 2 {
			t.Errorf("%d sections of 16 KiB in one message", len(r.Sections))
		}
	}
	s.run(10 * time.Second)
	for _, name := range names {
		if got := len(s.hosts[1].Sections(s.now, name)); got != 1 {
			t.Errorf("section %s: %d", name, got)
		}
	}
}

func TestMalformedMessagesAreRefused(t *testing.T) {
	m := New(Config{Self: testIdentity("a", "a", 1)}, epoch)
	from := testIdentity("b", "a", 1)
	uneven := Digest{Keys: []uint64{1}}
	if _, err := m.HandleRequest(epoch, &Request{From: from, Have: uneven}, nil); !errors.Is(err, ErrMalformed) {
		t.Errorf("uneven digest: %v", err)
	}
	if _, err := m.HandleRequest(epoch, &Request{}, nil); !errors.Is(err, ErrMalformed) {
		t.Errorf("no sender: %v", err)
	}
	if _, err := m.HandleResponse(epoch, &Response{From: from, Want: uneven}); !errors.Is(err, ErrMalformed) {
		t.Errorf("uneven want: %v", err)
	}
	nameless := Delta{Records: []Record{{ID: &Identity{}}}}
	if err := m.HandlePush(epoch, &Push{From: from, News: nameless}); !errors.Is(err, ErrMalformed) {
		t.Errorf("record without a host: %v", err)
	}
	if got := len(m.View(epoch)); got != 1 {
		t.Errorf("%d members after malformed messages", got)
	}
}
