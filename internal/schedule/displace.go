package schedule

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
)

// scheduleDisplace moves the decodes that a booked attempt makes late, when its prefill starts.
func (s *Service) scheduleDisplace(attempt string, p booking.Plan) {
	if p.Verdict == booking.Booked && !p.Short() {
		time.AfterFunc(p.Wait, func() { s.displace(attempt) })
	}
}

func (s *Service) displace(attempt string) {
	s.mu.Lock()
	byHost := map[string][]string{}
	for _, d := range s.book.Displace(attempt, time.Now()) {
		byHost[d.Host] = append(byHost[d.Host], d.Attempt)
	}
	s.mu.Unlock()
	for host, attempts := range byHost {
		s.log.WithFields(logrus.Fields{"for": attempt, "from": host, "attempts": attempts}).Info("attempts_displaced")
		if host == s.opts.Host {
			s.move(attempts)
			continue
		}
		go s.requestMove(host, attempts)
	}
}

func (s *Service) move(attempts []string) int {
	if s.opts.Move == nil {
		return 0
	}
	return s.opts.Move(attempts)
}

// requestMove asks another daemon to move attempts. A daemon that is not reached leaves them where
// they are, which costs their callers a pause and nothing else.
func (s *Service) requestMove(host string, attempts []string) {
	for _, m := range s.opts.Peers.Rank(keeperKey, allMembers) {
		if m.Host != host {
			continue
		}
		err := s.call(context.Background(), m, "Move", placeTimeout, &MoveRequest{Attempts: attempts}, &MoveReply{})
		if err != nil {
			s.log.WithError(err).WithFields(logrus.Fields{"to": host, "attempts": attempts}).Info("move_request_failed")
		}
	}
}
