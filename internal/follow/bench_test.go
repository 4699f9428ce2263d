package follow

import (
	"context"
	"encoding/gob"
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

// Sizes of the site that the software is designed for.
const (
	siteHosts     = 420
	siteTailers   = 21 // three in each of seven domains
	siteTeams     = 21
	siteUpstreams = 880
)

// rootYAML returns a document that lists all upstreams and models of the site.
func rootYAML() string {
	var b strings.Builder
	b.WriteString("pools:\n")
	for i := range siteUpstreams {
		if i%110 == 0 {
			fmt.Fprintf(&b, "  - name: pool%d\n    kind: engine\n    upstreams:\n", i/110)
		}
		fmt.Fprintf(&b, "      - {name: u%d, address: \"10.0.%d.%d:80\", domain: d%d}\n", i, i/110, i%110+1, i%7)
	}
	b.WriteString("models:\n")
	for m := range 7 {
		fmt.Fprintf(&b, "  - {name: model%d, pool: pool%d}\n", m, m)
	}
	return b.String()
}

// teamYAML returns the document of a team, which lists ten customers.
func teamYAML(team int) string {
	text := "customers:\n"
	for c := range 10 {
		text += fmt.Sprintf("  - {name: c%d-%d, token_sha256: [%064x]}\n", team, c, team*10+c)
	}
	return text
}

// applySiteSettings applies the settings of a whole site to a follower and returns its offset.
func applySiteSettings(b *testing.B, f *Follower) int64 {
	put := func(path, yaml string) {
		offset := f.Offset()
		change := settings.Change{ID: path, CheckedOffset: offset, Edits: []settings.Edit{{Path: path, YAML: &yaml}}}
		f.apply(0, []Record{encodeRecord(b, change, offset+1)})
	}
	put("/", rootYAML())
	for team := range siteTeams {
		put(fmt.Sprintf("/team%d", team), teamYAML(team))
	}
	if n := len(f.Current().Upstreams()); n != siteUpstreams || len(f.Findings()) > 0 {
		b.Fatalf("%d upstreams, findings %v", n, f.Findings())
	}
	return f.Offset()
}

func encodeRecord(b *testing.B, change settings.Change, offset int64) Record {
	data, err := change.Encode()
	if err != nil {
		b.Fatal(err)
	}
	return Record{Offset: offset, Data: data}
}

// BenchmarkApplyChange measures the application of one team's change at a host that has the
// settings of a whole site.
func BenchmarkApplyChange(b *testing.B) {
	h := newSite(b).add(false)
	offset := applySiteSettings(b, h.Follower)
	yaml := teamYAML(0)
	base := h.state.Documents("/team0")[0].Version
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		change := settings.Change{ID: fmt.Sprint("x", offset), CheckedOffset: offset, Edits: []settings.Edit{{Path: "/team0", Base: base, YAML: &yaml}}}
		offset++
		record := encodeRecord(b, change, offset)
		h.apply(0, []Record{record})
		base = offset
		size = len(record.Data)
	}
	if h.Offset() != offset || h.state.Documents("/team0")[0].Version != offset {
		b.Fatal("a change was refused")
	}
	b.ReportMetric(float64(size), "B/change")
}

// countingWriter counts the bytes written to it.
type countingWriter int

func (w *countingWriter) Write(p []byte) (int, error) {
	*w += countingWriter(len(p))
	return len(p), nil
}

// gobBytes returns the encoded size of a value on a connection on which its type was already
// sent.
func gobBytes(b *testing.B, value any) float64 {
	var w countingWriter
	e := gob.NewEncoder(&w)
	for range 2 {
		w = 0
		if err := e.Encode(value); err != nil {
			b.Fatal(err)
		}
	}
	return float64(w)
}

// BenchmarkSnapshot measures packing and unpacking the state of a whole site, and reports the
// sizes of the peer messages in bytes.
func BenchmarkSnapshot(b *testing.B) {
	h := newSite(b).add(false)
	applySiteSettings(b, h.Follower)
	h.ready.Store(true)
	b.ReportAllocs()
	packed := 0
	for b.Loop() {
		data, _, err := h.exportState()
		if err != nil {
			b.Fatal(err)
		}
		if _, err := unpack(data); err != nil {
			b.Fatal(err)
		}
		packed = len(data)
	}
	var equal PullReply
	if err := h.RPC().Pull(&PullArgs{From: h.Offset() + 1}, &equal); err != nil {
		b.Fatal(err)
	}
	args, _ := h.pushArgs(h.Offset())
	b.ReportMetric(float64(packed), "B/snapshot")
	b.ReportMetric(gobBytes(b, PullArgs{From: h.Offset()})+gobBytes(b, equal), "B/pull")
	b.ReportMetric(gobBytes(b, args), "B/push")
}

// BenchmarkSpread420 measures, in one process and without network delay, how long an accepted
// change takes to come into force at all hosts of the site.
func BenchmarkSpread420(b *testing.B) {
	s := newSite(b)
	s.pull, s.poll = 3*time.Second, 4*time.Second
	for i := range siteHosts {
		s.run(i < siteTailers)
	}
	for _, h := range s.hosts {
		eventually(b, "ready", h.Ready)
	}
	var all []float64
	version := int64(0)
	for b.Loop() {
		start := time.Now()
		verdict, err := s.hosts[siteHosts-1].Change(context.Background(), edit(fmt.Sprint("x", version), "/t", version, 5))
		if err != nil || !verdict.Accepted() {
			b.Fatal(verdict.Reason(), err)
		}
		version = verdict.Offset
		all = append(all, s.spreadTimes(b, version, start)...)
	}
	sort.Float64s(all)
	b.ReportMetric(all[len(all)/2], "s-p50")
	b.ReportMetric(all[len(all)*95/100], "s-p95")
	b.ReportMetric(all[len(all)-1], "s-max")
	b.ReportMetric(s.lagP95(b), "s-lag-p95")
}

// lagSettleTime is how long the site runs without a change before the lags are read.
const lagSettleTime = 30 * time.Second

// lagP95 returns the 95th percentile of the lags of the hosts, in seconds.
func (s *site) lagP95(b *testing.B) float64 {
	time.Sleep(lagSettleTime)
	lags := make([]float64, len(s.hosts))
	for i, h := range s.hosts {
		lags[i] = h.Lag(time.Now()).Seconds()
		if lags[i] < 0 {
			b.Errorf("host %s does not know its lag", h.name)
		}
	}
	sort.Float64s(lags)
	return lags[len(lags)*95/100]
}

// spreadTimes waits until all hosts have reached the offset and returns the seconds from start
// until each was observed there.
func (s *site) spreadTimes(b *testing.B, offset int64, start time.Time) []float64 {
	times := make([]float64, 0, len(s.hosts))
	left := append([]*host(nil), s.hosts...)
	eventually(b, "all hosts have the change", func() bool {
		var behind []*host
		for _, h := range left {
			if h.Offset() < offset {
				behind = append(behind, h)
				continue
			}
			times = append(times, time.Since(start).Seconds())
		}
		left = behind
		return len(left) == 0
	})
	return times
}
