package standin

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/api/platformapi"
	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// platformClient returns the client that the daemons use, so that the tests check
// client and stand-in against each other.
func platformClient(t *testing.T, address string) *platform.HTTP {
	t.Helper()
	c, err := platform.NewHTTP(address, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func appendOne(t *testing.T, c *platform.HTTP, data string) int64 {
	t.Helper()
	first, err := c.Append(context.Background(), "s", [][]byte{[]byte(data)})
	if err != nil {
		t.Fatal(err)
	}
	return first
}

func read(t *testing.T, c *platform.HTTP, from int64, wait time.Duration) platform.Page {
	t.Helper()
	page, err := c.Read(context.Background(), "s", from, 100, wait)
	if err != nil {
		t.Fatal(err)
	}
	return page
}

func TestLogOffsets(t *testing.T) {
	c := platformClient(t, start(t, NewLog(LogOptions{})).Address)
	if page := read(t, c, 1, 0); page.FirstKept != 1 || page.EndOffset != 1 {
		t.Fatalf("empty: %+v", page)
	}
	if first := appendOne(t, c, "a"); first != 1 {
		t.Fatalf("first offset %d", first)
	}
	first, err := c.Append(context.Background(), "s", [][]byte{{0, 255}, {}, []byte("d")})
	if err != nil || first != 2 {
		t.Fatalf("offset %d, %v", first, err)
	}
	page := read(t, c, 2, 0)
	if len(page.Records) != 3 || page.EndOffset != 5 || page.Records[2].Offset != 4 {
		t.Fatalf("page %+v", page)
	}
	if !bytes.Equal(page.Records[0].Data, []byte{0, 255}) || string(page.Records[2].Data) != "d" {
		t.Fatalf("data %v", page.Records)
	}
}

func TestLogLongPoll(t *testing.T) {
	c := platformClient(t, start(t, NewLog(LogOptions{})).Address)
	pages := make(chan platform.Page, 1)
	go func() {
		page, err := c.Read(context.Background(), "s", 1, 100, 30*time.Second)
		if err != nil {
			t.Error(err)
		}
		pages <- page
	}()
	appendOne(t, c, "a")
	if page := <-pages; len(page.Records) != 1 {
		t.Fatalf("page %+v", page)
	}
	if page := read(t, c, 2, 10*time.Millisecond); len(page.Records) != 0 || page.EndOffset != 2 {
		t.Fatalf("after the wait time: %+v", page)
	}
}

func TestLogRetention(t *testing.T) {
	c := platformClient(t, start(t, NewLog(LogOptions{RetentionRecords: 3})).Address)
	for i := range 5 {
		appendOne(t, c, fmt.Sprint(i))
	}
	page := read(t, c, 1, 0)
	if page.FirstKept != 3 || page.EndOffset != 6 || len(page.Records) != 3 || page.Records[0].Offset != 3 {
		t.Fatalf("by count: %+v", page)
	}
	aged := platformClient(t, start(t, NewLog(LogOptions{Retention: 20 * time.Millisecond})).Address)
	appendOne(t, aged, "a")
	eventually(t, "trimmed by age", func() bool {
		page := read(t, aged, 1, 0)
		return page.FirstKept == 2 && page.EndOffset == 2
	})
	if first := appendOne(t, aged, "b"); first != 2 {
		t.Fatalf("offset after a trim: %d", first)
	}
}

func TestLogAppendRate(t *testing.T) {
	c := platformClient(t, start(t, NewLog(LogOptions{AppendRate: 0.1})).Address)
	appendOne(t, c, "a")
	if _, err := c.Append(context.Background(), "s", [][]byte{{1}}); err == nil {
		t.Fatal("a second append within ten seconds was accepted")
	}
	if page := read(t, c, 1, 0); page.EndOffset != 2 {
		t.Fatalf("next %d", page.EndOffset)
	}
}

func TestLogFaults(t *testing.T) {
	s := start(t, NewLog(LogOptions{}))
	c := platformClient(t, s.Address)

	setFault(t, s.Address, Fault{Kind: FaultDropAnswer, On: true, Count: 1})
	if _, err := c.Append(context.Background(), "s", [][]byte{{1}}); err == nil {
		t.Fatal("the answer was not dropped")
	}
	if page := read(t, c, 1, 0); page.EndOffset != 2 {
		t.Fatalf("the append had no effect: %+v", page)
	}

	setFault(t, s.Address, Fault{Kind: FaultDuplicate, On: true, Count: 1})
	if first := appendOne(t, c, "b"); first != 2 {
		t.Fatalf("first of two at %d", first)
	}
	if page := read(t, c, 2, 0); len(page.Records) != 2 || string(page.Records[1].Data) != "b" {
		t.Fatalf("not duplicated: %+v", page)
	}
	if first := appendOne(t, c, "c"); first != 4 {
		t.Fatalf("duplicated again: %d", first)
	}

	setFault(t, s.Address, Fault{Kind: FaultOutage, On: true})
	if _, err := c.Read(context.Background(), "s", 1, 1, 0); err == nil {
		t.Fatal("a read succeeded during an outage")
	}
	setFault(t, s.Address, Fault{Kind: FaultOutage})
	setFault(t, s.Address, Fault{Kind: FaultGarbage, On: true, Count: 1})
	if _, err := c.Read(context.Background(), "s", 1, 1, 0); err == nil {
		t.Fatal("a read accepted garbage")
	}
	setFault(t, s.Address, Fault{Kind: FaultRefuse, On: true, Count: 1})
	if _, err := c.Read(context.Background(), "s", 1, 1, 0); err == nil {
		t.Fatal("a read was not refused")
	}
	if page := read(t, c, 1, 0); page.EndOffset != 5 {
		t.Fatalf("after all faults: %+v", page)
	}
}

func TestOutageEndsLongPolls(t *testing.T) {
	l := NewLog(LogOptions{})
	c := platformClient(t, start(t, l).Address)
	failed := make(chan error, 1)
	go func() {
		_, err := c.Read(context.Background(), "s", 1, 1, 30*time.Second)
		failed <- err
	}()
	if err := l.SetFault(Fault{Kind: FaultOutage, On: true}); err != nil {
		t.Fatal(err)
	}
	if err := <-failed; err == nil {
		t.Fatal("the outage did not fail the long poll")
	}
}

func TestFrozenLogAppendsLater(t *testing.T) {
	l := NewLog(LogOptions{})
	c := platformClient(t, start(t, l).Address)
	if err := l.SetFault(Fault{Kind: FaultFreeze, On: true}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if _, err := c.Append(ctx, "s", [][]byte{[]byte("late")}); err == nil {
		t.Fatal("a frozen log answers")
	}
	if err := l.SetFault(Fault{Kind: FaultFreeze}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the late append", func() bool { return read(t, c, 1, 0).EndOffset == 2 })
}

func TestHostsLag(t *testing.T) {
	entry := platformapi.HostEntry{Name: "e1", Kind: "entry", Domain: "hal-a", Region: "be-central", Address: "127.0.0.1:1", State: "live"}
	h := NewHosts(HostsOptions{Lag: time.Hour, Initial: []platformapi.HostEntry{entry}})
	s := start(t, h)
	c := platformClient(t, s.Address)
	post := func(body string) int {
		res, err := http.Post("http://"+s.Address+"/standin/hosts", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		return res.StatusCode
	}
	if status := post(`[{"name":"x","kind":"engine"}]`); status != http.StatusBadRequest {
		t.Fatalf("bad entry: status %d", status)
	}
	if status := post(`[]`); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	hosts, err := c.List(context.Background())
	if err != nil || len(hosts) != 1 || hosts[0].Name != "e1" || hosts[0].State != platform.HostLive {
		t.Fatalf("within the lag: %+v, %v", hosts, err)
	}
	h.mu.Lock()
	h.lag = 0
	h.mu.Unlock()
	if hosts, err = c.List(context.Background()); err != nil || len(hosts) != 0 {
		t.Fatalf("after the lag: %+v, %v", hosts, err)
	}
}

func TestWeightPermitsAreSpread(t *testing.T) {
	c := platformClient(t, start(t, NewWeights(WeightsOptions{PermitRate: 0.1})).Address)
	last := time.Duration(-1)
	for range 3 {
		wait, err := c.TakePermit(context.Background(), "m")
		if err != nil || wait < last+5*time.Second && last >= 0 {
			t.Fatalf("wait %v after %v, %v", wait, last, err)
		}
		last = wait
	}
	if last < 15*time.Second {
		t.Fatalf("third permit after %v", last)
	}
}

// TestRestoreFaultReturnsToOlderCopy checks that the fault restore drops the records younger than
// the backup, increments the era and frees their offsets for reuse.
func TestRestoreFaultReturnsToOlderCopy(t *testing.T) {
	l := NewLog(LogOptions{})
	l.append("s", [][]byte{[]byte("a"), []byte("b")})
	if err := l.SetFault(Fault{Kind: FaultRestore, On: true, Count: 1, Ms: -1}); err == nil {
		t.Error("a negative backup age was accepted")
	}
	l.streams["s"].records[0].AtMs -= 2 * time.Minute.Milliseconds() // well within the log's retention
	if err := l.SetFault(Fault{Kind: FaultRestore, On: true, Count: 1, Ms: time.Minute.Milliseconds()}); err != nil {
		t.Fatal(err)
	}
	res, err := l.Read(t.Context(), platformapi.ReadParams{Stream: "s", From: 1})
	if err != nil || res.Era.Or(0) != 1 || res.Next != 2 || len(res.Records) != 1 {
		t.Errorf("got %+v, %v", res, err)
	}
	if first := l.append("s", [][]byte{[]byte("c")}); first != 2 {
		t.Errorf("appended at %d", first)
	}
}
