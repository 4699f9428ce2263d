package schedule

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/avoid"
)

// Daemons that did not answer are asked again in the background, ever more rarely while they
// stay silent.
const (
	downFirst  = time.Second
	downMost   = 4 * time.Second
	downForget = 10 * time.Second
)

// silence is the daemons that did not answer. Each counts as silent until it has answered a
// question that no request waits for: in vain, such a question costs a caller its time.
type silence struct {
	tracker *avoid.Tracker // when to ask again
	hosts   map[string]bool
}

func newSilence() *silence {
	return &silence{
		tracker: avoid.New(avoid.Options{Initial: downFirst, Max: downMost, ResetAfter: downForget}),
		hosts:   map[string]bool{},
	}
}

// failed notes that a daemon did not answer, and returns for how long it is not asked.
func (s *silence) failed(host string, now time.Time) time.Duration {
	s.hosts[host] = true
	return s.tracker.RecordFailure(host, now)
}

func (s *silence) answered(host string, now time.Time) {
	delete(s.hosts, host)
	s.tracker.RecordSuccess(host, now)
}

// due returns the daemons to ask again now, and forgets those that are not to be asked at all.
func (s *silence) due(candidates []string, now time.Time) []string {
	maps.DeleteFunc(s.hosts, func(host string, _ bool) bool { return !slices.Contains(candidates, host) })
	avoided := s.tracker.Avoided(now)
	var due []string
	for host := range s.hosts {
		if !slices.Contains(avoided, host) {
			due = append(due, host)
		}
	}
	return due
}

// askSilent asks daemons that did not answer, and come before the one that is asked in their
// place, whether they do now.
func (s *Service) askSilent(ctx context.Context) {
	s.mu.Lock()
	now := time.Now()
	candidates := s.candidates()
	var hosts []string
	for _, m := range candidates {
		hosts = append(hosts, m.Host)
	}
	due := s.down.due(hosts, now)
	s.mu.Unlock()
	for _, m := range candidates {
		if !slices.Contains(due, m.Host) || s.behind(m.Host) {
			continue
		}
		go func() {
			err := s.call(ctx, m, "Notify", notifyWait, &NotifyRequest{From: s.self()}, &NotifyReply{})
			s.mu.Lock()
			defer s.mu.Unlock()
			if err == nil {
				s.down.answered(m.Host, time.Now())
			} else if ctx.Err() == nil {
				s.down.failed(m.Host, time.Now())
			}
		}()
	}
}
