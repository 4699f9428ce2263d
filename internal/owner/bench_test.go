package owner

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
	"github.com/buckthorndock/buckthorndock/internal/core/ledger"
)

// renewalItems is the number of holdings that the front in benchRenew renews.
const renewalItems = 50

func benchClaims() (ledger.Holder, []ledger.Claim, ledger.Books) {
	h := ledger.Holder{Host: "hal-a-entry-07", Incarnation: "1796237520000000000"}
	b := ledger.Books{Engine: "hal-a-gpu-011", Total: 1 << 20}
	var claims []ledger.Claim
	for range renewalItems {
		id := ledger.ID{Kind: ledger.Running, Name: uuid.NewString(), Attempt: 1}
		claims = append(claims, ledger.Claim{Engine: b.Engine, ID: id})
		b.Items = append(b.Items, ledger.Item{ID: id, Holder: h, Tokens: 100})
	}
	return h, claims, b
}

// countingConn counts the bytes in both directions.
type countingConn struct {
	net.Conn
	bytes atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// benchRenew renews all claims once over net/rpc, size of them in each message.
func benchRenew(b *testing.B, size int) {
	h, claims, books := benchClaims()
	s := New(Options{})
	s.ledger.Own(books.Engine)
	s.ledger.ApplyBooks(books, time.Now())
	server := rpc.NewServer()
	if err := server.RegisterName(ServiceName, s.RPC(context.Background())); err != nil {
		b.Fatal(err)
	}
	clientEnd, serverEnd := net.Pipe()
	go server.ServeConn(serverEnd)
	conn := &countingConn{Conn: clientEnd}
	client := rpc.NewClient(conn)
	defer client.Close()
	seq := uint64(0)
	for b.Loop() {
		for from := 0; from < len(claims); from += size {
			seq++
			r := ledger.Renewal{Holder: h, Seq: seq, Held: claims[from : from+size]}
			if err := client.Call(methodRenew, r, &ledger.RenewalReply{}); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(conn.bytes.Load())/float64(b.N), "bytes/op")
	b.ReportMetric(float64(len(claims)/size), "messages/op")
}

func BenchmarkRenewBatched(b *testing.B) { benchRenew(b, renewalItems) }
func BenchmarkRenewPerItem(b *testing.B) { benchRenew(b, 1) }

func benchDigest(engines, events int) Digest {
	var d Digest
	for i := range engines {
		e := EngineDigest{
			Name: fmt.Sprintf("hal-a-gpu-%03d", i), IncarnationHash: 0x9e3779b9, Seq: 123456, AgeMs: 321, StepUs: 21500,
			Prefill: 19876, Decode: 4211, Queued: 7, QueuedTokens: 45678, Running: 31, Total: 400000, Used: 312345,
			Block: 512, Models: "assistant@2026-11 lists@7", Role: "mixed", ReservedMs: 800, ReservedTokens: 250000,
		}
		var list []CacheEvent
		for j := range events {
			list = append(list, CacheEvent{Seq: int64(100000 + j), Block: 0x9e3779b97f4a7c15 * uint64(j+1)})
		}
		e.setEvents(list)
		d.Engines = append(d.Engines, e)
	}
	return d
}

func BenchmarkDigest(b *testing.B) {
	for _, engines := range []int{2, 16} {
		for _, events := range []int{0, DefaultCacheWindow} {
			d := benchDigest(engines, events)
			b.Run(fmt.Sprintf("engines=%d/events=%d", engines, events), func(b *testing.B) {
				var data []byte
				for b.Loop() {
					var err error
					if data, err = d.Encode(); err != nil {
						b.Fatal(err)
					}
				}
				text, err := json.Marshal(d)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "gob-bytes")
				b.ReportMetric(float64(len(text)), "json-bytes")
				b.ReportMetric(float64(len(data))/float64(engines), "gob-bytes/engine")
			})
		}
	}
}

func FuzzDecodeDigest(f *testing.F) {
	for _, d := range []Digest{{}, benchDigest(2, 4)} {
		data, err := d.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := DecodeDigest(data)
		if err != nil {
			return
		}
		for _, e := range d.Engines {
			if got := len(e.Events()); got != len(e.Cache)/2 {
				t.Errorf("%d events of %d numbers", got, len(e.Cache))
			}
		}
	})
}

// TestDigestKeepsEvents checks that cache events with gaps in their sequence numbers
// survive encoding and decoding.
func TestDigestKeepsEvents(t *testing.T) {
	want := []CacheEvent{{Seq: 7, Kind: BlockStored, Block: 1}, {Seq: 9, Kind: BlockEvicted, Block: 1 << 63}, {Seq: 10, Kind: CacheCleared}}
	var e EngineDigest
	e.setEvents(want)
	data, err := Digest{Engines: []EngineDigest{e}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	d, err := DecodeDigest(data)
	if err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprint(d.Engines[0].Events()); got != fmt.Sprint(want) {
		t.Errorf("got %s, want %v", got, want)
	}
}

// BenchmarkBooks decodes the books of an engine with 57 running requests and applies
// them to a ledger. 57 is the mean at the design size when a request takes 8 s.
func BenchmarkBooks(b *testing.B) {
	const running = 57
	books := engineapi.Books{Incarnation: uuid.NewString(), MemoryTotalTokens: 400_000}
	for range running {
		books.Running = append(books.Running, engineapi.Running{
			RequestID: uuid.NewString(), Attempt: 1, Tokens: 12345, Phase: engineapi.RunningPhaseDecode, Priority: 1,
			Holder: engineapi.Holder{Host: "hal-a-entry-07", Incarnation: "1796237520000000000"},
		})
	}
	data, err := books.MarshalJSON()
	if err != nil {
		b.Fatal(err)
	}
	l := ledger.New(ledger.Options{})
	l.Own("e")
	for b.Loop() {
		var got engineapi.Books
		if err := got.UnmarshalJSON(data); err != nil {
			b.Fatal(err)
		}
		now := time.Now()
		in := booksOf(&got, now)
		in.Engine = "e"
		l.ApplyBooks(in, now)
	}
	b.ReportMetric(float64(len(data)), "bytes/op")
	b.ReportMetric(float64(len(data))/running, "bytes/running")
}
