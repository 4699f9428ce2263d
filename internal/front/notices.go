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

// leavingBackOff is how long an upstream that refuses work because it leaves is left alone
// before it is asked again: by then its reports tell, or it has started anew.
const leavingBackOff = 10 * time.Second

// notices is what upstreams that refused work have asked for. It is safe for concurrent use.
type notices struct {
	mu      sync.Mutex
	tracker *notice.Tracker
}

func newNotices() *notices { return &notices{tracker: notice.New()} }

// noteRefusal keeps what a refusal asks for.
func (s *Server) noteRefusal(name string, err error) {
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
		}).Info("upstream_backs_off")
	}
}

// barred returns the upstreams that are to get nothing now.
func (s *Server) barred() []string {
	s.notices.mu.Lock()
	defer s.notices.mu.Unlock()
	return s.notices.tracker.Barred(time.Now())
}

// isBarred reports whether an upstream is to get nothing now.
func (s *Server) isBarred(name string) bool { return slices.Contains(s.barred(), name) }
