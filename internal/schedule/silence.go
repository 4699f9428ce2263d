package schedule

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/avoid"
)

// Daemons that did not answer are called again in the background, less and less often while they
// stay silent.
const (
	retryInitial    = time.Second
	retryMax        = 4 * time.Second
	retryResetAfter = 10 * time.Second
)

// silentHosts tracks the daemons that did not answer. Each counts as silent until it has answered
// a call that no request waits for: a call that times out would cost a request its time.
type silentHosts struct {
	backoff *avoid.Tracker // when to call again
	hosts   map[string]bool
}

func newSilentHosts() *silentHosts {
	return &silentHosts{
		backoff: avoid.New(avoid.Options{Initial: retryInitial, Max: retryMax, ResetAfter: retryResetAfter}),
		hosts:   map[string]bool{},
	}
}

// recordFailure records that a daemon did not answer, and returns for how long it is not called.
func (s *silentHosts) recordFailure(host string, now time.Time) time.Duration {
	s.hosts[host] = true
	return s.backoff.RecordFailure(host, now)
}

func (s *silentHosts) recordAnswer(host string, now time.Time) {
	delete(s.hosts, host)
	s.backoff.RecordSuccess(host, now)
}

// dueForRetry returns the silent daemons to call again now, and drops those that are no candidates.
func (s *silentHosts) dueForRetry(candidates []string, now time.Time) []string {
	maps.DeleteFunc(s.hosts, func(host string, _ bool) bool { return !slices.Contains(candidates, host) })
	avoided := s.backoff.Avoided(now)
	var due []string
	for host := range s.hosts {
		if !slices.Contains(avoided, host) {
			due = append(due, host)
		}
	}
	return due
}

// probeSilent calls the silent candidates that are due again, to find out whether they answer now.
func (s *Service) probeSilent(ctx context.Context) {
	s.mu.Lock()
	now := time.Now()
	candidates := s.candidates()
	var hosts []string
	for _, m := range candidates {
		hosts = append(hosts, m.Host)
	}
	due := s.silent.dueForRetry(hosts, now)
	s.mu.Unlock()
	for _, m := range candidates {
		if !slices.Contains(due, m.Host) || s.behindCut(m.Host) {
			continue
		}
		go func() {
			err := s.call(ctx, m, "Notify", notifyTimeout, &NotifyRequest{From: s.self()}, &NotifyReply{})
			s.mu.Lock()
			defer s.mu.Unlock()
			if err == nil {
				s.silent.recordAnswer(m.Host, time.Now())
			} else if ctx.Err() == nil {
				s.silent.recordFailure(m.Host, time.Now())
			}
		}()
	}
}
