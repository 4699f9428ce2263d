package front

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/notice"
	"github.com/buckthorndock/buckthorndock/internal/upstream"
)

// leavingBackOff is how long an upstream that refused work because it is leaving gets no
// work. After that its reports say that it is leaving, or it has restarted.
const leavingBackOff = 10 * time.Second

// notices holds the back-off times that upstreams asked for when they refused work. It is
// safe for concurrent use.
type notices struct {
	mu      sync.Mutex
	tracker *notice.Tracker
}

func newNotices() *notices { return &notices{tracker: notice.New()} }

// recordBackOff records the back-off time of a refusal. Other errors have no effect.
func (s *Server) recordBackOff(name string, err error) {
	var r *upstream.RefusedError
	if !errors.As(err, &r) {
		return
	}
	backOff := r.BackOff
	if r.Code == upstream.CodeLeaving {
		backOff = max(backOff, leavingBackOff)
	}
	now := time.Now()
	s.notices.mu.Lock()
	defer s.notices.mu.Unlock()
	if s.notices.tracker.Record(name, notice.Notice{BackOff: backOff}, now, now).BackOff {
		s.log.WithFields(logrus.Fields{
			"upstream": name, "code": r.Code, "back_off_ms": backOff.Milliseconds(),
		}).Info("upstream_back_off_requested")
	}
}

// barred returns the upstreams that must get no work now.
func (s *Server) barred() []string {
	s.notices.mu.Lock()
	defer s.notices.mu.Unlock()
	return s.notices.tracker.Barred(time.Now())
}

// isBarred reports whether an upstream must get no work now.
func (s *Server) isBarred(name string) bool { return slices.Contains(s.barred(), name) }
