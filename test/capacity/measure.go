package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"
)

// clockTicks is the unit of processor time in /proc, a constant of Linux.
const clockTicks = 100

// sample is what a daemon has used since its start.
type sample struct {
	at       time.Time
	cpu      float64 // seconds
	rss      float64 // MiB
	sent     map[string]float64
	received map[string]float64
	appends  float64
	offset   float64            // of the settings
	counters map[string]float64 // counters without their labels, but for those of bytes
}

// measureSite starts a site, lets it settle, and measures its daemons.
func measureSite(ctx context.Context, o options, n int) (result, error) {
	s, err := startSite(ctx, o, n)
	if err != nil {
		return result{}, err
	}
	defer s.stop()
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	if o.rate > 0 {
		for _, d := range s.daemons {
			go newCallers(o, d.address).run(loadCtx)
		}
	}
	if err := pause(ctx, o.settle); err != nil {
		return result{}, err
	}
	before, err := s.sample()
	if err != nil {
		return result{}, err
	}
	took, err := s.during(ctx, o)
	if err != nil {
		return result{}, err
	}
	after, err := s.sample()
	if err != nil {
		return result{}, err
	}
	r := summarize(before, after)
	r.ChangeLatency = timesOf(took)
	if r.Replacements, err = s.replaceDaemons(ctx, o); err != nil {
		return result{}, err
	}
	r.Daemons = n
	r.Domains = o.domains
	r.Engines = n * o.engines
	r.RatePerDaemon = o.rate
	r.Prompt = o.prompt
	r.Answer = o.answer
	r.StepMs = o.step.Seconds() * 1000
	r.Customers = o.customers
	r.UnservedUpstreams = o.others
	r.Keyed = o.keyed
	r.Changes = o.changes
	return r, nil
}

// during lets the time to measure pass, with changes of the settings if wanted.
func (s *site) during(ctx context.Context, o options) ([]time.Duration, error) {
	if o.changes == 0 {
		return nil, pause(ctx, o.measure)
	}
	span, cancel := context.WithTimeout(ctx, o.measure)
	defer cancel()
	took, err := s.changeSettings(span, o)
	if err != nil {
		return nil, err
	}
	return took, ctx.Err()
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *site) sample() ([]sample, error) {
	var samples []sample
	for _, d := range s.daemons {
		sm, err := d.sample()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", d.name, err)
		}
		samples = append(samples, sm)
	}
	return samples, nil
}

func (d *daemon) sample() (sample, error) {
	sm := sample{at: time.Now(), sent: map[string]float64{}, received: map[string]float64{}, counters: map[string]float64{}}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.pid))
	if err != nil {
		return sm, err
	}
	// The name in brackets may hold blanks; the fields are counted after it.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	const userTime, systemTime, residentPages = 11, 12, 21
	sm.cpu = (number(fields[userTime]) + number(fields[systemTime])) / clockTicks
	sm.rss = number(fields[residentPages]) * float64(os.Getpagesize()) / (1 << 20)
	resp, err := http.Get("http://" + d.address + "/metrics")
	if err != nil {
		return sm, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return sm, err
	}
	sm.read(string(text))
	return sm, nil
}

// read takes the byte counters out of a daemon's metrics.
func (sm *sample) read(text string) {
	for line := range strings.Lines(text) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), " ")
		if !ok {
			continue
		}
		kind, labels, _ := strings.Cut(name, "{")
		purpose := labelValue(labels)
		switch kind {
		case "buckthorndock_peer_sent_bytes_total":
			sm.sent["peer:"+purpose] += number(value)
		case "buckthorndock_peer_received_bytes_total":
			sm.received["peer:"+purpose] += number(value)
		case "buckthorndock_control_sent_bytes_total":
			sm.sent[purpose] += number(value)
		case "buckthorndock_control_received_bytes_total":
			sm.received[purpose] += number(value)
		case "buckthorndock_claim_appends_total":
			sm.appends += number(value)
		case "buckthorndock_settings_offset":
			sm.offset = number(value)
		}
		if strings.HasPrefix(kind, "buckthorndock_") && strings.HasSuffix(kind, "_total") && !strings.HasSuffix(kind, "_bytes_total") {
			sm.counters[kind] += number(value)
		}
	}
}

// labelValue returns the value of a single label, as in purpose="log"}.
func labelValue(labels string) string {
	_, v, _ := strings.Cut(labels, `"`)
	v, _, _ = strings.Cut(v, `"`)
	return v
}

func number(s string) float64 {
	f, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0
	}
	return f
}

func summarize(before, after []sample) result {
	var r result
	purposes := map[string]float64{}
	for i := range after {
		a, b := after[i], before[i]
		span := a.at.Sub(b.at).Seconds()
		r.CPUPercent.add((a.cpu - b.cpu) / span * 100)
		r.RSSMiB.add(a.rss)
		r.SentBytes.add((total(a.sent) - total(b.sent)) / span)
		r.ReceivedBytes.add((total(a.received) - total(b.received)) / span)
		r.LogAppends += (a.appends - b.appends) / span
		for p := range a.sent {
			purposes[p] += (a.sent[p] - b.sent[p] + a.received[p] - b.received[p]) / span
		}
	}
	n := float64(len(after))
	r.Counters = events(before, after)
	for _, s := range []*spread{&r.CPUPercent, &r.RSSMiB, &r.SentBytes, &r.ReceivedBytes} {
		s.Mean /= n
	}
	for p, v := range purposes {
		r.Purposes = append(r.Purposes, line{Purpose: p, Bytes: v / n})
	}
	sort.Slice(r.Purposes, func(i, j int) bool { return r.Purposes[i].Purpose < r.Purposes[j].Purpose })
	return r
}

// events returns how fast the counters rose, the mean of the daemons.
func events(before, after []sample) (rates []event) {
	sums := map[string]float64{}
	for i := range after {
		span := after[i].at.Sub(before[i].at).Seconds()
		for name, v := range after[i].counters {
			sums[name] += (v - before[i].counters[name]) / span
		}
	}
	for name, v := range sums {
		if v != 0 {
			rates = append(rates, event{Name: name, Rate: v / float64(len(after))})
		}
	}
	sort.Slice(rates, func(i, j int) bool { return rates[i].Name < rates[j].Name })
	return rates
}

// add counts one daemon in; Mean holds the sum until the end.
func (s *spread) add(v float64) {
	s.Mean += v
	s.Max = max(s.Max, v)
}

func total(m map[string]float64) (sum float64) {
	for _, v := range m {
		sum += v
	}
	return sum
}
