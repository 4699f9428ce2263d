package claims

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/buckthorndock/buckthorndock/internal/api/platformapi"
	"github.com/buckthorndock/buckthorndock/internal/core/claim"
	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// BenchmarkCombiner acquires, as one operation, the distinct keys that one
// partition gets in 160 ms at a given number of claims per second. Waits are cut to
// a minimum, so the CPU time is that of a whole claim, from acquire to verdict.
func BenchmarkCombiner(b *testing.B) {
	for _, rate := range []int{10, 100, 500} {
		b.Run(fmt.Sprintf("%dps", rate), func(b *testing.B) {
			s := newSite(b, "a")
			h := s.hosts["a"]
			c := h.combiners[0]
			c.o.BatchEvery, c.o.BatchDelay, c.o.MaxKeys = 1, 1, 1<<30
			batch := max(1, rate*int(DefaultBatchEvery)/int(time.Second))
			before := cpuTime()
			for n := 0; n < b.N; n++ {
				var wg sync.WaitGroup
				for i := range batch {
					wg.Go(func() {
						cl := benchClaim(n, i)
						if reply := c.acquire(context.Background(), cl); reply.State != StateHolds {
							b.Error(reply.State)
						}
					})
				}
				wg.Wait()
			}
			claims := float64(b.N * batch)
			b.ReportMetric(claims/float64(s.log.appends), "claims/append")
			b.ReportMetric(float64(cpuTime()-before)/claims, "cpu-ns/claim")
		})
	}
}

// BenchmarkPaced runs a partition in real time with claims spread evenly over the
// second, and reports appends per second and the wait for a verdict.
func BenchmarkPaced(b *testing.B) {
	for _, rate := range []int{10, 100, 500} {
		b.Run(fmt.Sprintf("%dps", rate), func(b *testing.B) {
			log := newMemLog()
			ctx, cancel := context.WithCancel(context.Background())
			var wg, calls sync.WaitGroup
			c := newCombiner(Options{Host: "a"}.withDefaults(), log, ctx, &wg, 0)
			c.ensureReady(ctx)
			var waited atomic.Int64
			b.ResetTimer()
			before, began := cpuTime(), time.Now()
			for n := 0; n < b.N; n++ {
				time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / time.Duration(rate))))
				calls.Go(func() {
					started := time.Now()
					if reply := c.acquire(ctx, benchClaim(n, 0)); reply.State != StateHolds {
						b.Error(reply.State)
					}
					waited.Add(int64(time.Since(started)))
				})
			}
			calls.Wait()
			b.StopTimer()
			seconds := time.Since(began).Seconds()
			b.ReportMetric(float64(log.appends)/seconds, "appends/s")
			b.ReportMetric(float64(waited.Load())/float64(b.N)/1e6, "wait-ms")
			b.ReportMetric(float64(cpuTime()-before)/float64(b.N), "cpu-ns/claim")
			cancel()
			wg.Wait()
		})
	}
}

func benchClaim(n, i int) claim.Claim {
	return claim.Claim{
		Customer: "frigolijst", Key: fmt.Sprintf("%030d-%05d", n, i), ID: claim.ID(uuid.New()), Host: "hal-a-3", Incarnation: 1764700000000,
		Fingerprint: 0x9e3779b97f4a7c15,
		NotAfterMs:  time.Now().Add(time.Minute).UnixMilli(), LifeMs: claim.DefaultKeyLife.Milliseconds(),
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// countingConn counts the bytes read and written.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// httpLog serves a memLog in the platform's wire format.
type httpLog struct {
	platformapi.UnimplementedHandler
	log *memLog
}

func (h httpLog) Append(ctx context.Context, r *platformapi.AppendRequest, p platformapi.AppendParams) (*platformapi.AppendResult, error) {
	first, err := h.log.Append(ctx, p.Stream, r.Records)
	return &platformapi.AppendResult{FirstOffset: first}, err
}

func (h httpLog) Read(ctx context.Context, p platformapi.ReadParams) (*platformapi.ReadResult, error) {
	wait := time.Duration(p.WaitMs.Or(0)) * time.Millisecond
	page, err := h.log.Read(ctx, p.Stream, p.From, p.Max.Or(pageRecords), wait)
	res := &platformapi.ReadResult{FirstKept: page.FirstKept, Next: page.EndOffset, Records: []platformapi.Record{}}
	for _, r := range page.Records {
		res.Records = append(res.Records, platformapi.Record{Offset: r.Offset, AtMs: r.At.UnixMilli(), Data: r.Data})
	}
	return res, err
}

// BenchmarkLogBytes runs a partition in real time over HTTP and counts the bytes
// between combiner and log. 315 claims per second are 39 for each of 8 partitions
// and 10 for each of 32; both make at most 200 appends per second in total.
func BenchmarkLogBytes(b *testing.B) {
	for _, load := range []struct {
		rate int
		pace time.Duration
	}{{39, 40 * time.Millisecond}, {10, 160 * time.Millisecond}, {1, 160 * time.Millisecond}} {
		rate := load.rate
		b.Run(fmt.Sprintf("%dps/%v", rate, load.pace), func(b *testing.B) {
			var bytes atomic.Int64
			log := overHTTP(b, &bytes)
			ctx, cancel := context.WithCancel(context.Background())
			var wg, calls sync.WaitGroup
			c := newCombiner(Options{Host: "a", BatchEvery: load.pace}.withDefaults(), log, ctx, &wg, 0)
			c.ensureReady(ctx)
			bytes.Store(0)
			var waited atomic.Int64
			before, began := cpuTime(), time.Now()
			for n := 0; n < b.N; n++ {
				time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / time.Duration(rate))))
				calls.Go(func() {
					started := time.Now()
					if reply := c.acquire(ctx, benchClaim(n, 0)); reply.State != StateHolds {
						b.Error(reply.State)
					}
					waited.Add(int64(time.Since(started)))
				})
			}
			calls.Wait()
			b.ReportMetric(float64(bytes.Load())/time.Since(began).Seconds(), "B/s")
			b.ReportMetric(float64(waited.Load())/float64(b.N)/1e6, "wait-ms")
			b.ReportMetric(float64(cpuTime()-before)/float64(b.N), "cpu-ns/claim")
			cancel()
			wg.Wait()
		})
	}
}

func overHTTP(b *testing.B, bytes *atomic.Int64) platform.Log {
	handler, err := platformapi.NewServer(httpLog{log: newMemLog()})
	if err != nil {
		b.Fatal(err)
	}
	server := httptest.NewServer(handler)
	b.Cleanup(server.Close)
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, network, address)
		return countingConn{conn, bytes}, err
	}}
	b.Cleanup(transport.CloseIdleConnections)
	log, err := platform.NewHTTP(server.Listener.Addr().String(), &http.Client{Transport: transport})
	if err != nil {
		b.Fatal(err)
	}
	return log
}

// BenchmarkAcquireCall counts the bytes of one net/rpc call to a combiner and its
// reply on an open connection.
func BenchmarkAcquireCall(b *testing.B) {
	s := newSite(b, "a")
	server := rpc.NewServer()
	if err := server.RegisterName(ServiceName, s.hosts["a"].RPC()); err != nil {
		b.Fatal(err)
	}
	clientConn, serverConn := net.Pipe()
	go server.ServeConn(serverConn)
	var bytes atomic.Int64
	client := rpc.NewClient(countingConn{clientConn, &bytes})
	defer func() { _ = client.Close() }()
	call := func(n int) {
		var reply AcquireReply
		args := AcquireArgs{Claim: benchClaim(0, n), Wait: time.Second}
		if err := client.Call(ServiceName+".Acquire", args, &reply); err != nil || reply.State != StateHolds {
			b.Fatal(reply.State, err)
		}
	}
	call(0) // gob sends type descriptions once per connection
	bytes.Store(0)
	b.ResetTimer()
	for n := 1; n <= b.N; n++ {
		call(n)
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/call")
}
