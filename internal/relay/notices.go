package relay

import (
	"maps"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/notice"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// NoticeFunc takes in what an answer of an upstream, to what was sent at a time, says of it.
type NoticeFunc func(upstream string, n notice.Notice, sent time.Time)

// Listeners are told what upstreams say, for those who plan for all daemons.
type Listeners struct {
	OnLimit func(notice.Limit)
	// OnCold tells for how long an upstream says that it stays cold. It may be nil.
	OnCold func(upstream string, left time.Duration)
}

// Notices is what upstreams have said of themselves. It is safe for concurrent use.
type Notices struct {
	listeners Listeners
	log       *logrus.Entry

	mu      sync.Mutex
	tracker *notice.Tracker
	told    map[string]time.Time // when the limit of an upstream was last spread
}

// NewNotices returns Notices that have heard nothing.
func NewNotices(listeners Listeners, log *logrus.Entry) *Notices {
	return &Notices{listeners: listeners, log: log, tracker: notice.New(), told: map[string]time.Time{}}
}

// tellAgain is after how long a limit that stands is spread again, so that a wrong word of
// its end is soon set right.
const tellAgain = time.Second

var (
	limitsNamed  = metrics.GetOrCreateCounter(`buckthorndock_upstream_limit_changes_total`)
	leavingTold  = metrics.GetOrCreateCounter(`buckthorndock_upstreams_leaving_by_answer_total`)
	backOffsTold = metrics.GetOrCreateCounter(`buckthorndock_upstream_back_offs_total`)
	limitedSends = metrics.GetOrCreateCounter(`buckthorndock_sends_to_limited_total`)
	barredSends  = metrics.GetOrCreateCounter(`buckthorndock_sends_to_barred_total`)
)

// Record implements the type Heard.
func (n *Notices) Record(upstream string, said notice.Notice, sent time.Time) {
	if l, tell := n.hear(upstream, said, sent); tell {
		n.listeners.OnLimit(l)
	}
	if said.Cold > 0 && n.listeners.OnCold != nil {
		n.listeners.OnCold(upstream, said.Cold)
	}
}

// hear returns the limit of the upstream and whether it is to be spread.
func (n *Notices) hear(upstream string, said notice.Notice, sent time.Time) (l notice.Limit, tell bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	change := n.tracker.Record(upstream, said, sent, now)
	n.note(upstream, said, change, now.Sub(sent))
	l, limited := n.tracker.Limit(upstream)
	tell = change.Limit || limited && now.Sub(n.told[upstream]) >= tellAgain
	if tell {
		n.told[upstream] = now
	}
	return l, tell
}

// note counts and logs what an answer, to what was sent some time ago, has changed.
func (n *Notices) note(upstream string, said notice.Notice, change notice.Change, age time.Duration) {
	if change == (notice.Change{}) {
		return
	}
	log := n.log.WithFields(logrus.Fields{"upstream": upstream, "sent_ms_ago": age.Milliseconds()})
	if change.Limit {
		limitsNamed.Inc()
		log.WithFields(logrus.Fields{"limited": said.Limited, "limit_per_s": said.Limit}).Info("upstream_limit")
	}
	if change.Leaving {
		leavingTold.Inc()
		log.Info("upstream_says_leaving")
	}
	if change.BackOff {
		backOffsTold.Inc()
		log.WithField("back_off_ms", said.BackOff.Milliseconds()).Info("upstream_backs_off")
	}
}

// limited returns the upstreams whose limits stand.
func (n *Notices) limited() []string {
	var ids []string
	for _, l := range n.Limits() {
		if l.Limited {
			ids = append(ids, l.Upstream)
		}
	}
	return ids
}

// barOf returns why an upstream is to get nothing now.
func (n *Notices) barOf(upstream string) (notice.Bar, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tracker.Bar(upstream, time.Now())
}

// barred returns the upstreams that are to get nothing now.
func (n *Notices) barred() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tracker.Barred(time.Now())
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
	return n.tracker.Limit(upstream)
}

// Inherit gives the next life of an upstream what it has said before it was listed.
func (n *Notices) Inherit(next, former fleet.Upstream) {
	n.mu.Lock()
	n.tracker.Inherit(next.ID, former.ID, time.UnixMilli(next.Born))
	l, limited := n.tracker.Limit(next.ID)
	n.mu.Unlock()
	if limited {
		n.listeners.OnLimit(l)
	}
}

// RetainListed forgets what upstreams have said that are not listed any more.
func (n *Notices) RetainListed(list *fleet.Snapshot) {
	n.mu.Lock()
	defer n.mu.Unlock()
	listed := func(id string) bool {
		_, ok := list.Get(id)
		return ok
	}
	n.tracker.RetainListed(listed, time.Now())
	maps.DeleteFunc(n.told, func(id string, _ time.Time) bool { return !listed(id) })
}

// noneTakes refuses a request for which no upstream of its service takes work: those that are
// left are evacuated, or have said that they leave or want nothing for a while.
func (g *run) noneTakes(what string) *request.Refusal {
	service := g.req.Service.Name
	comeBack, barred, evacuated := time.Duration(0), 0, 0
	for _, u := range g.relay.opts.Upstreams().Upstreams {
		if u.Service != service || u.Leaving {
			continue
		}
		if u.Evacuated {
			evacuated++
			continue
		}
		b, ok := g.relay.opts.Notices.barOf(u.ID)
		if !ok {
			continue
		}
		barred++
		if left := time.Until(b.Until); !b.Leaving && (comeBack == 0 || left < comeBack) {
			comeBack = left
		}
	}
	if barred+evacuated == 0 {
		return request.Refuse(request.CodeNoUpstream, retryAfterNone, "no %s of %s is known to live", what, service)
	}
	return request.Refuse(request.CodeNoUpstream, max(comeBack, retryAfterNone), "no %s of %s takes requests now: %d have said so, %d are evacuated", what, service, barred, evacuated)
}

// noteSend writes a line for a request that goes to an upstream which has named a limit, or
// wants none.
func (g *run) noteSend(to fleet.Upstream) {
	l, limited := g.relay.opts.Notices.limitOf(to.ID)
	b, barred := g.relay.opts.Notices.barOf(to.ID)
	if !limited && !barred {
		return
	}
	log := g.relay.log.WithFields(logrus.Fields{
		"request": g.req.ID, "attempt": g.attempt, "upstream": to.ID, "plan": g.plan,
	})
	if limited {
		limitedSends.Inc()
		log.WithFields(logrus.Fields{
			"limit_per_s": l.PerSecond, "heard_ms_ago": time.Since(l.At).Milliseconds(),
		}).Info("sent_to_limited")
	}
	if barred {
		barredSends.Inc()
		log.WithFields(logrus.Fields{
			"leaving": b.Leaving, "heard_ms_ago": time.Since(b.At).Milliseconds(),
		}).Warn("sent_to_barred")
	}
}
