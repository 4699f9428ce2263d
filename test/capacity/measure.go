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
			go load(loadCtx, d.address, o.rate)
		}
	}
	if err := pause(ctx, o.settle); err != nil {
		return result{}, err
	}
	before, err := s.sample()
	if err != nil {
		return result{}, err
	}
	if err := pause(ctx, o.measure); err != nil {
		return result{}, err
	}
	after, err := s.sample()
	if err != nil {
		return result{}, err
	}
	r := summarize(before, after)
	r.Daemons = n
	r.Domains = o.domains
	r.Engines = n * o.engines
	r.RatePerDaemon = o.rate
	return r, nil
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
	sm := sample{at: time.Now(), sent: map[string]float64{}, received: map[string]float64{}}
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
		r.Appends += (a.appends - b.appends) / span
		for p := range a.sent {
			purposes[p] += (a.sent[p] - b.sent[p] + a.received[p] - b.received[p]) / span
		}
	}
	n := float64(len(after))
	for _, s := range []*spread{&r.CPUPercent, &r.RSSMiB, &r.SentBytes, &r.ReceivedBytes} {
		s.Mean /= n
	}
	for p, v := range purposes {
		r.Purposes = append(r.Purposes, line{Purpose: p, Bytes: v / n})
	}
	sort.Slice(r.Purposes, func(i, j int) bool { return r.Purposes[i].Purpose < r.Purposes[j].Purpose })
	return r
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

// load sends short completions at a steady rate, without waiting for answers.
func load(ctx context.Context, address string, rate float64) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	prompt := strings.Repeat("milk and eggs ", 300)
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":20,"stream":true}`, prompt)
	for {
		select {
		case <-ticker.C:
			go send(ctx, address, body)
		case <-ctx.Done():
			return
		}
	}
}

func send(ctx context.Context, address, body string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+customerToken)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
}
