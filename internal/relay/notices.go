package relay

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/notice"
)

// Heard takes in what an answer of an upstream, to what was sent at a time, says of it.
type Heard func(upstream string, n notice.Notice, sent time.Time)

// Notices is what upstreams have said of themselves. It is safe for concurrent use.
type Notices struct {
	spread func(notice.Limit)
	log    *logrus.Entry

	mu      sync.Mutex
	tracker *notice.Tracker
	told    map[string]time.Time // when the limit of an upstream was last spread
}

// NewNotices returns Notices that have heard nothing. spread tells the limits that they hear
// to those who plan for all.
func NewNotices(spread func(notice.Limit), log *logrus.Entry) *Notices {
	return &Notices{spread: spread, log: log, tracker: notice.New(), told: map[string]time.Time{}}
}

// tellAgain is after how long a limit that stands is spread again, so that a wrong word of
// its end is soon set right.
const tellAgain = time.Second

var (
	limitsNamed  = metrics.GetOrCreateCounter(`buckthorndock_upstream_limit_changes_total`)
	limitedSends = metrics.GetOrCreateCounter(`buckthorndock_sends_to_limited_total`)
)

// Heard implements the type Heard.
func (n *Notices) Heard(upstream string, said notice.Notice, sent time.Time) {
	if l, tell := n.hear(upstream, said, sent); tell {
		n.spread(l)
	}
}

// hear returns the limit of the upstream and whether it is to be spread.
func (n *Notices) hear(upstream string, said notice.Notice, sent time.Time) (l notice.Limit, tell bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	changed := n.tracker.Heard(upstream, said, sent, now)
	if changed {
		limitsNamed.Inc()
		n.log.WithFields(logrus.Fields{
			"upstream": upstream, "limited": said.Limited, "limit_per_s": said.Limit, "sent_ms_ago": now.Sub(sent).Milliseconds(),
		}).Info("upstream_limit")
	}
	l, limited := n.tracker.LimitOf(upstream)
	tell = changed || limited && now.Sub(n.told[upstream]) >= tellAgain
	if tell {
		n.told[upstream] = now
	}
	return l, tell
}

// Limits returns all limits that were heard, those that were taken back among them.
func (n *Notices) Limits() []notice.Limit {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tracker.Limits()
}

// limitOf returns the limit that an upstream has named.
func (n *Notices) limitOf(upstream string) (notice.Limit, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tracker.LimitOf(upstream)
}

// Keep forgets the upstreams that are not listed.
func (n *Notices) Keep(list *fleet.Snapshot) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tracker.Keep(func(id string) bool {
		_, listed := list.Get(id)
		if !listed {
			delete(n.told, id)
		}
		return listed
	})
}

// noteLimited writes a line for a request that goes to an upstream with a limit.
func (g *run) noteLimited(to fleet.Upstream) {
	l, limited := g.relay.opts.Notices.limitOf(to.ID)
	if !limited {
		return
	}
	limitedSends.Inc()
	g.relay.log.WithFields(logrus.Fields{
		"request": g.req.ID, "attempt": g.attempt, "upstream": to.ID, "plan": g.plan,
		"limit_per_s": l.PerSecond, "heard_ms_ago": time.Since(l.At).Milliseconds(),
	}).Info("sent_to_limited")
}
