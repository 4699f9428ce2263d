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

// clockTicks is the number of CPU time units per second in /proc, a constant of Linux.
const clockTicks = 100

// sample holds the resource use of a daemon since its start.
type sample struct {
	at       time.Time
	cpu      float64            // seconds
	rss      float64            // MiB
	sent     map[string]float64 // bytes by purpose
	received map[string]float64 // bytes by purpose
	appends  float64            // appends to the claim log
	offset   float64            // settings offset applied
	counters map[string]float64 // values by metric name, summed over labels, without byte counters
}

// measureSite starts a site of n daemons, waits until it has settled, and measures the
// daemons.
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
			go newLoadGenerator(o, d.address).run(loadCtx)
		}
	}
	if err := sleep(ctx, o.settle); err != nil {
		return result{}, err
	}
	before, err := s.sampleAll()
	if err != nil {
		return result{}, err
	}
	took, err := s.runMeasurement(ctx, o)
	if err != nil {
		return result{}, err
	}
	after, err := s.sampleAll()
	if err != nil {
		return result{}, err
	}
	r := summarize(before, after)
	r.ChangeLatency = newDurationStats(took)
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
	r.UnservedUpstreams = o.unservedUpstreams
	r.Keyed = o.keyed
	r.Changes = o.changes
	return r, nil
}

// runMeasurement waits for the duration of the measurement. Meanwhile it publishes
// settings changes if the options ask for them, and returns how long each took.
func (s *site) runMeasurement(ctx context.Context, o options) ([]time.Duration, error) {
	if o.changes == 0 {
		return nil, sleep(ctx, o.measure)
	}
	span, cancel := context.WithTimeout(ctx, o.measure)
	defer cancel()
	took, err := s.changeSettings(span, o)
	if err != nil {
		return nil, err
	}
	return took, ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *site) sampleAll() ([]sample, error) {
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
	// The process name in parentheses may contain spaces; fields are counted after it.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	const userTime, systemTime, residentPages = 11, 12, 21
	sm.cpu = (parseNumber(fields[userTime]) + parseNumber(fields[systemTime])) / clockTicks
	sm.rss = parseNumber(fields[residentPages]) * float64(os.Getpagesize()) / (1 << 20)
	resp, err := http.Get("http://" + d.address + "/metrics")
	if err != nil {
		return sm, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return sm, err
	}
	sm.parseMetrics(string(text))
	return sm, nil
}

// parseMetrics reads the counters and the settings offset from a daemon's metrics text.
func (sm *sample) parseMetrics(text string) {
	for line := range strings.Lines(text) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), " ")
		if !ok {
			continue
		}
		kind, labels, _ := strings.Cut(name, "{")
		purpose := labelValue(labels)
		switch kind {
		case "buckthorndock_peer_sent_bytes_total":
			sm.sent["peer:"+purpose] += parseNumber(value)
		case "buckthorndock_peer_received_bytes_total":
			sm.received["peer:"+purpose] += parseNumber(value)
		case "buckthorndock_control_sent_bytes_total":
			sm.sent[purpose] += parseNumber(value)
		case "buckthorndock_control_received_bytes_total":
			sm.received[purpose] += parseNumber(value)
		case "buckthorndock_claim_appends_total":
			sm.appends += parseNumber(value)
		case "buckthorndock_settings_offset":
			sm.offset = parseNumber(value)
		}
		if strings.HasPrefix(kind, "buckthorndock_") && strings.HasSuffix(kind, "_total") && !strings.HasSuffix(kind, "_bytes_total") {
			sm.counters[kind] += parseNumber(value)
		}
	}
}

// labelValue returns the value of the first label in text such as purpose="log"}.
func labelValue(labels string) string {
	_, v, _ := strings.Cut(labels, `"`)
	v, _, _ = strings.Cut(v, `"`)
	return v
}

func parseNumber(s string) float64 {
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
		r.SentBytes.add((sumOf(a.sent) - sumOf(b.sent)) / span)
		r.ReceivedBytes.add((sumOf(a.received) - sumOf(b.received)) / span)
		r.LogAppends += (a.appends - b.appends) / span
		for p := range a.sent {
			purposes[p] += (a.sent[p] - b.sent[p] + a.received[p] - b.received[p]) / span
		}
	}
	n := float64(len(after))
	r.Counters = counterRates(before, after)
	for _, s := range []*meanMax{&r.CPUPercent, &r.RSSMiB, &r.SentBytes, &r.ReceivedBytes} {
		s.Mean /= n
	}
	for p, v := range purposes {
		r.Purposes = append(r.Purposes, purposeRate{Purpose: p, Bytes: v / n})
	}
	sort.Slice(r.Purposes, func(i, j int) bool { return r.Purposes[i].Purpose < r.Purposes[j].Purpose })
	return r
}

// counterRates returns the rates of the counters that changed, as the mean of the
// daemons.
func counterRates(before, after []sample) (rates []counterRate) {
	sums := map[string]float64{}
	for i := range after {
		span := after[i].at.Sub(before[i].at).Seconds()
		for name, v := range after[i].counters {
			sums[name] += (v - before[i].counters[name]) / span
		}
	}
	for name, v := range sums {
		if v != 0 {
			rates = append(rates, counterRate{Name: name, Rate: v / float64(len(after))})
		}
	}
	sort.Slice(rates, func(i, j int) bool { return rates[i].Name < rates[j].Name })
	return rates
}

// add adds the value of one daemon. Mean holds the sum until the caller divides it.
func (s *meanMax) add(v float64) {
	s.Mean += v
	s.Max = max(s.Max, v)
}

func sumOf(m map[string]float64) (sum float64) {
	for _, v := range m {
		sum += v
	}
	return sum
}
