package peer

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
)

// BenchmarkIdleSite runs nodes with the default timings over loopback and reports
// what an idle node uses: bytes on the wire including TLS, processor time, memory,
// and open outgoing connections. One iteration takes 20 s, after up to a minute for
// the site to converge.
func BenchmarkIdleSite(b *testing.B) {
	for _, c := range []struct{ domains, hosts int }{{1, 3}, {3, 4}, {3, 8}, {1, 60}, {7, 60}} {
		b.Run(fmt.Sprintf("domains=%d/hosts=%d", c.domains, c.hosts), func(b *testing.B) {
			nodes := idleSite(b, c.domains, c.hosts)
			const span = 20 * time.Second
			for b.Loop() {
				sent, received := trafficOf(nodes)
				busiest := trafficEach(nodes)
				used := processorTime(b)
				time.Sleep(span)
				sent2, received2 := trafficOf(nodes)
				used2 := processorTime(b)
				for i, bytes := range trafficEach(nodes) {
					busiest[i] = bytes - busiest[i]
				}
				perNode := 1 / span.Seconds() / float64(len(nodes))
				b.ReportMetric(float64(sent2-sent)*perNode, "sent-B/s")
				b.ReportMetric(float64(received2-received)*perNode, "received-B/s")
				b.ReportMetric(float64(slices.Max(busiest))/span.Seconds(), "busiest-both-B/s")
				b.ReportMetric((used2-used).Seconds()*perNode*100, "core-%")
			}
			var mem runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&mem)
			b.ReportMetric(float64(mem.HeapInuse+mem.StackInuse)/float64(len(nodes))/1024, "memory-KiB")
			links := 0
			for _, n := range nodes {
				links += openLinks(n)
			}
			b.ReportMetric(float64(links)/float64(len(nodes)), "links")
		})
	}
}

func idleSite(b *testing.B, domains, hosts int) []*Node {
	b.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	var nodes []*Node
	b.Cleanup(func() {
		cancel()
		for _, n := range nodes {
			n.Close()
		}
	})
	for i := range domains * hosts {
		o := Options{
			Host: fmt.Sprintf("entry-host-%03d", i), Domain: fmt.Sprint("domain-", i%domains), Region: "region",
			Incarnation: uint64(time.Now().UnixMilli()), Listen: "127.0.0.1:0", Key: testKey, Logger: logrus.NewEntry(log),
		}
		if i > 0 {
			o.Seeds = []string{nodes[0].Addr()}
		}
		n, err := New(o)
		if err != nil {
			b.Fatal(err)
		}
		nodes = append(nodes, n)
		go func() { _ = n.Run(ctx) }()
	}
	waitAllLive(b, nodes)
	return nodes
}

func waitAllLive(b *testing.B, nodes []*Node) {
	b.Helper()
	for range 600 {
		missing := 0
		for _, n := range nodes {
			for _, m := range n.Members() {
				if m.State == membership.Live {
					missing--
				}
			}
			missing += len(nodes)
		}
		if missing == 0 {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	b.Fatal("not all nodes see each other live after 60 s")
}

func trafficOf(nodes []*Node) (sent, received uint64) {
	for _, n := range nodes {
		s, r := n.Traffic()
		sent += s
		received += r
	}
	return sent, received
}

// trafficEach returns the bytes sent and received by each node.
func trafficEach(nodes []*Node) []uint64 {
	each := make([]uint64, len(nodes))
	for i, n := range nodes {
		sent, received := n.Traffic()
		each[i] = sent + received
	}
	return each
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
