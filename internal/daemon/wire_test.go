package daemon

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"github.com/buckthorndock/buckthorndock/internal/core/admission"
	"github.com/buckthorndock/buckthorndock/internal/core/placement"
	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// fullUsage returns the digest of a busy front: 64 of 210 customers.
func fullUsage() admission.Usage {
	rng := rand.New(rand.NewPCG(1, 2))
	u := admission.Usage{Hosts: 1}
	for i := range 64 {
		u.Nodes = append(u.Nodes, admission.NodeUsage{
			Node: admission.NodeID(fmt.Sprint("customer-", i)), Requests: 1 + rng.Uint32N(1000), Tokens: rng.Uint32N(100_000)})
	}
	slices.SortFunc(u.Nodes, func(a, b admission.NodeUsage) int { return int(int64(a.Node) - int64(b.Node)) })
	return u
}

func TestUsageKeepsAllNumbers(t *testing.T) {
	for _, u := range []admission.Usage{{Hosts: 1}, {Hosts: 60}, fullUsage()} {
		data, err := encodeUsage(u)
		if err != nil {
			t.Fatal(err)
		}
		if len(data) > 800 {
			t.Errorf("%d bytes for %d nodes", len(data), len(u.Nodes))
		}
		got, err := decodeUsage(data)
		if err != nil || !reflect.DeepEqual(got, u) {
			t.Errorf("%+v came back as %+v, %v", u, got, err)
		}
	}
}

func TestWorkIsKeptButForRounding(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	pools := map[string]placement.Work{}
	for i := range 7 {
		var w placement.Work
		for band := range w[:placement.NumBands-2] {
			w[band] = rng.Float64() * 1e7
		}
		pools[fmt.Sprint("pool-", i)] = w
	}
	data, err := encodeWork(pools)
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > 400 {
		t.Errorf("%d bytes for %d pools", len(data), len(pools))
	}
	got, err := decodeWork(data)
	if err != nil || len(got) != len(pools) {
		t.Fatalf("%d pools came back, %v", len(got), err)
	}
	for name, w := range pools {
		for band, v := range w {
			if math.Abs(got[name][band]-v) > 0.032*v {
				t.Errorf("%s band %d: %g came back as %g", name, band, v, got[name][band])
			}
		}
	}
}

func TestBrokenDigestsAreRefused(t *testing.T) {
	usage, err := encodeUsage(fullUsage())
	if err != nil {
		t.Fatal(err)
	}
	work, err := encodeWork(map[string]placement.Work{"p": {1, 2}})
	if err != nil {
		t.Fatal(err)
	}
	for _, data := range [][]byte{nil, {1}, usage[:len(usage)/2], work} {
		if u, err := decodeUsage(data); err == nil {
			t.Errorf("usage of %d bytes read as %+v", len(data), u)
		}
	}
	for _, data := range [][]byte{nil, {1}, work[:len(work)-1], usage} {
		if w, err := decodeWork(data); err == nil {
			t.Errorf("work of %d bytes read as %+v", len(data), w)
		}
	}
}

// countedHosts is a platform.Hosts that counts its reads.
type countedHosts struct {
	hosts []platform.Host
	reads int
}

func (c *countedHosts) List(context.Context) ([]platform.Host, error) {
	c.reads++
	return c.hosts, nil
}

func TestLongListIsReadLessOften(t *testing.T) {
	for _, c := range []struct{ hosts, reads int }{{0, 2}, {1300, 1}} {
		source := &countedHosts{hosts: make([]platform.Host, c.hosts)}
		l := &hostList{source: source}
		for range 2 {
			if hosts, err := l.List(context.Background()); err != nil || len(hosts) != c.hosts {
				t.Fatalf("%d hosts, %v", len(hosts), err)
			}
		}
		if source.reads != c.reads {
			t.Errorf("%d hosts: %d reads, want %d", c.hosts, source.reads, c.reads)
		}
	}
}
