package conntable

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

const testCapacity = 1 << 20

var start = time.Unix(1_000_000, 0)

func fixedLimits(l Limits) func() Limits { return func() Limits { return l } }

var usualLimits = Limits{HeadBytes: 64 << 10, HeadTimeout: 5 * time.Second, IdleTimeout: 15 * time.Second}

// add adds a connection for which there is room.
func add(t *testing.T, g *Group, at time.Time) *Conn {
	t.Helper()
	c, evicted := g.Add(at)
	if c == nil || len(evicted) != 0 {
		t.Fatalf("no room: %v", evicted)
	}
	return c
}

// unfinished returns a head of n short lines without its end.
func unfinished(n int) []byte {
	return []byte("GET / HTTP/1.1\r\n" + strings.Repeat("a:b\r\n", n))
}

// TestLongestUnfinishedHeadGivesWayToOthers guards against a table that lets an ordinary request go for
// heads that have been held for longer.
func TestLongestUnfinishedHeadGivesWayToOthers(t *testing.T) {
	table := New(testCapacity)
	callers, ready := table.AddGroup(100, fixedLimits(usualLimits)), table.AddGroup(100, fixedLimits(usualLimits))
	const lines = 2000
	silent := add(t, callers, start.Add(-time.Second))
	oldest := add(t, ready, start)
	if evicted := oldest.Received(unfinished(lines), start); evicted != nil {
		t.Fatalf("the first head: %v", evicted)
	}
	second := add(t, callers, start.Add(time.Second))
	evicted := second.Received(unfinished(lines), start.Add(time.Second))
	if len(evicted) != 1 || evicted[0].Conn != oldest || evicted[0].Reason != HeadMemory || evicted[0].Age != time.Second {
		t.Fatalf("for the second head: %+v", evicted)
	}
	if ready.Open() != 0 || callers.Open() != 2 {
		t.Errorf("%d and %d are open", ready.Open(), callers.Open())
	}
	ordinary := add(t, callers, start.Add(2*time.Second))
	if evicted := ordinary.Received([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), start.Add(2*time.Second)); evicted != nil {
		t.Errorf("for an ordinary request: %+v", evicted)
	}
	if silent.state != reading {
		t.Error("a connection that holds no memory was let go for memory")
	}
}

// TestRequestsInProgressKeepTheirMemory guards against a request in progress that is let go, and against
// heads beyond the memory that such requests leave.
func TestRequestsInProgressKeepTheirMemory(t *testing.T) {
	table := New(testCapacity)
	g := table.AddGroup(100, fixedLimits(usualLimits))
	inProgress := add(t, g, start)
	inProgress.Received(append(unfinished(3500), "\r\n"...), start)
	inProgress.Serve(false, start)
	other := add(t, g, start)
	evicted := other.Received(unfinished(3500), start)
	if len(evicted) != 1 || evicted[0].Conn != other {
		t.Fatalf("%+v", evicted)
	}
	inProgress.Finish(start)
	if table.Held() != 0 {
		t.Errorf("%d bytes are held by no head", table.Held())
	}
}

// TestLimitsThatChangeApplyToOpenConnections guards against limits other than those in force.
func TestLimitsThatChangeApplyToOpenConnections(t *testing.T) {
	l := usualLimits
	table := New(testCapacity)
	g := table.AddGroup(100, func() Limits { return l })
	held, idle := add(t, g, start), add(t, g, start)
	idle.Received([]byte("GET / HTTP/1.1\r\n\r\n"), start)
	idle.Serve(false, start)
	idle.Finish(start)
	at := start.Add(4 * time.Second)
	if evicted := table.Expired(at); evicted != nil {
		t.Fatalf("within the limits: %+v", evicted)
	}
	if next, ok := table.NextExpiry(); !ok || !next.Equal(start.Add(5*time.Second)) {
		t.Errorf("the next one expires at %v, %v", next, ok)
	}
	l.HeadTimeout, l.IdleTimeout = time.Second, 2*time.Second
	evicted := table.Expired(at)
	if len(evicted) != 2 || evicted[0].Conn != held || evicted[0].Reason != HeadTimeout || evicted[1].Conn != idle || evicted[1].Reason != IdleTimeout {
		t.Fatalf("over the limits: %+v", evicted)
	}
	l.HeadBytes = 1000
	long := add(t, g, at)
	if evicted := long.Received(unfinished(600), at); evicted != nil {
		t.Errorf("within the limit and its slack: %+v", evicted)
	}
	if evicted := long.Received(unfinished(600), at); len(evicted) != 1 || evicted[0].Reason != HeadTooLong {
		t.Errorf("over the limit: %+v", evicted)
	}
}

// TestNewConnectionsTakeThePlaceOfOthers guards against a full table that turns ordinary clients away while
// others hold heads, idle, or send on behind their requests.
func TestNewConnectionsTakeThePlaceOfOthers(t *testing.T) {
	table := New(testCapacity)
	g := table.AddGroup(4, fixedLimits(usualLimits))
	request := []byte("GET / HTTP/1.1\r\n\r\n")
	serve := func() *Conn {
		c := add(t, g, start)
		c.Received(request, start)
		c.Serve(false, start)
		return c
	}
	pushing, idle, inProgress := serve(), serve(), serve()
	inProgress.Serve(true, start)
	inProgress.Received([]byte("the body"), start)
	pushing.Received([]byte("GET"), start)
	idle.Finish(start)
	young := add(t, g, start)
	replaced := func(at time.Time) *Conn {
		c, evicted := g.Add(at)
		if len(evicted) == 0 {
			if c != nil {
				t.Fatal("a connection more")
			}
			return nil
		}
		c.Received(request, at)
		c.Serve(true, at)
		if evicted[0].Reason != Room {
			t.Errorf("reason %q", evicted[0].Reason)
		}
		return evicted[0].Conn
	}
	order := []*Conn{replaced(start.Add(patience / 2)), replaced(start.Add(2 * patience)), replaced(start), replaced(start)}
	for i, want := range []*Conn{idle, young, pushing, nil} {
		if order[i] != want {
			t.Errorf("connection %d replaced another one", i)
		}
	}
	if inProgress.state != serving {
		t.Error("a request in progress was let go")
	}
}

// TestHeadsReadAheadAreCounted guards against heads whose lines arrive behind the request before, where
// net/http reads them into its buffer.
func TestHeadsReadAheadAreCounted(t *testing.T) {
	table := New(testCapacity)
	g := table.AddGroup(4, fixedLimits(usualLimits))
	c := add(t, g, start)
	c.Received([]byte("GET / HTTP/1.1\r\n\r\n"), start)
	c.Serve(false, start)
	c.Received(unfinished(800), start)
	c.Finish(start)
	c.Received([]byte("b"), start)
	if want := int64(800 * lineMemory / 2); table.Held() < want {
		t.Errorf("%d bytes are counted, less than %d", table.Held(), want)
	}
}

// TestInvariants drives a table with drawn steps and checks what must hold after each of them.
func TestInvariants(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 81))
		table := New(int64(1+rng.IntN(64)) << 12)
		l := Limits{HeadBytes: 8 << 10, HeadTimeout: time.Second, IdleTimeout: 2 * time.Second}
		groups := []*Group{table.AddGroup(1+rng.IntN(8), fixedLimits(l)), table.AddGroup(1+rng.IntN(8), fixedLimits(l))}
		var open []*Conn
		now := start
		for step := range 400 {
			now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
			inProgress := map[*Conn]bool{}
			for _, c := range open {
				inProgress[c] = c.state == serving && c.place == nil
			}
			var evicted []Eviction
			switch n := rng.IntN(6); {
			case n == 0 || len(open) == 0:
				var c *Conn
				if c, evicted = groups[rng.IntN(len(groups))].Add(now); c != nil {
					open = append(open, c)
				}
			case n == 5:
				evicted = table.Expired(now)
			default:
				evicted = drawnStep(rng, open[rng.IntN(len(open))], now)
			}
			for _, e := range evicted {
				if inProgress[e.Conn] {
					t.Fatalf("seed %d, step %d: a request in progress was let go: %s", seed, step, e.Reason)
				}
			}
			if err := check(table, groups, open); err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, step, err)
			}
		}
		for _, c := range open {
			c.Remove()
		}
		if table.Held() != 0 || table.reading.Len() != 0 {
			t.Errorf("seed %d: %d bytes are left", seed, table.Held())
		}
	}
}

// drawnStep has a connection do what its state allows.
func drawnStep(rng *rand.Rand, c *Conn, now time.Time) []Eviction {
	switch {
	case c.state == complete:
		c.Serve(rng.IntN(2) == 0, now)
	case c.state == serving && rng.IntN(2) == 0:
		c.EndBody()
		c.Finish(now)
	case rng.IntN(20) == 0:
		c.Remove()
	default:
		text := unfinished(rng.IntN(300))
		if rng.IntN(3) == 0 {
			text = append(text, "\r\n"...)
		}
		return c.Received(text, now)
	}
	return nil
}

// check compares the counts of a table with its connections.
func check(t *Table, groups []*Group, all []*Conn) error {
	var held int64
	open := map[*Group]int{}
	unfinishedHeads := 0
	for _, c := range all {
		held += c.held
		if c.state != gone {
			open[c.group]++
		}
		if c.state == reading {
			unfinishedHeads++
		}
	}
	if held != t.held || held > t.capacity {
		return fmt.Errorf("%d bytes held, %d counted, %d allowed", held, t.held, t.capacity)
	}
	if unfinishedHeads != t.reading.Len() {
		return fmt.Errorf("%d unfinished heads, %d listed", unfinishedHeads, t.reading.Len())
	}
	for _, g := range groups {
		if open[g] != g.open || g.open > g.maxOpen {
			return fmt.Errorf("%d open, %d counted, %d allowed", open[g], g.open, g.maxOpen)
		}
	}
	var last time.Time
	for e := t.reading.Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn)
		if c.since.Before(last) {
			return fmt.Errorf("the unfinished heads are out of order")
		}
		last = c.since
	}
	return nil
}
