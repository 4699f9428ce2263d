package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"syscall"
	"time"
)

// Poll interval and waits of a replacement.
const (
	readyPollInterval = 5 * time.Millisecond
	readyTimeout      = time.Minute
	joinWait          = 10 * time.Second // wait until the joined values are sampled
)

// joinCost holds the time and resources that a new daemon needs to become ready in a
// running site.
type joinCost struct {
	ReadySeconds  float64 `json:"ready_seconds"`
	CPUSeconds    float64 `json:"cpu_seconds"`
	SentBytes     float64 `json:"sent_bytes"`
	ReceivedBytes float64 `json:"received_bytes"`
	// The same joinWait later, when it also knows its peers and the engines.
	JoinedCPUSeconds    float64 `json:"joined_cpu_seconds"`
	JoinedSentBytes     float64 `json:"joined_sent_bytes"`
	JoinedReceivedBytes float64 `json:"joined_received_bytes"`
}

// replaceDaemons kills daemons one after another and starts a new one with another
// name in place of each.
func (s *site) replaceDaemons(ctx context.Context, o options) ([]joinCost, error) {
	var starts []joinCost
	for i := range o.replace {
		st, err := s.replaceOne(ctx, o, i)
		if err != nil {
			return starts, fmt.Errorf("replacement %d: %w", i, err)
		}
		starts = append(starts, st)
	}
	return starts, nil
}

func (s *site) replaceOne(ctx context.Context, o options, i int) (joinCost, error) {
	at := i % len(s.daemons)
	old := s.daemons[at]
	if err := s.kill(old); err != nil {
		return joinCost{}, err
	}
	d, err := s.startDaemon(o, fmt.Sprintf("r%d", i), old.domain)
	if err != nil {
		return joinCost{}, err
	}
	began := time.Now()
	s.daemons[at] = d
	if err := s.setHostList(); err != nil {
		return joinCost{}, err
	}
	if err := d.awaitReady(ctx); err != nil {
		return joinCost{}, err
	}
	st := joinCost{ReadySeconds: time.Since(began).Seconds()}
	ready, err := d.sample()
	if err != nil {
		return st, err
	}
	st.CPUSeconds, st.SentBytes, st.ReceivedBytes = ready.cpu, sumOf(ready.sent), sumOf(ready.received)
	if err := sleep(ctx, joinWait); err != nil {
		return st, err
	}
	joined, err := d.sample()
	st.JoinedCPUSeconds, st.JoinedSentBytes, st.JoinedReceivedBytes = joined.cpu, sumOf(joined.sent), sumOf(joined.received)
	return st, err
}

// kill ends a daemon by SIGKILL, as a host failure does.
func (s *site) kill(d *daemon) error {
	if err := d.process.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	_, err := d.process.Wait()
	s.processes = withoutProcess(s.processes, d)
	return err
}

func withoutProcess(all []*exec.Cmd, d *daemon) []*exec.Cmd {
	var kept []*exec.Cmd
	for _, p := range all {
		if p.Process != d.process {
			kept = append(kept, p)
		}
	}
	return kept
}

// awaitReady waits until the daemon reports that it is ready, at most for readyTimeout.
func (d *daemon) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		if d.ready() {
			return nil
		}
		if err := sleep(ctx, readyPollInterval); err != nil {
			return fmt.Errorf("%s is not ready: %w", d.name, err)
		}
	}
}

func (d *daemon) ready() bool {
	resp, err := http.Get("http://" + d.address + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}
