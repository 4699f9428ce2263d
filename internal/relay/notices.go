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

// NoticeFunc takes in the notice n in the answer of an upstream to a request sent at the
// given time.
type NoticeFunc func(upstream string, n notice.Notice, sent time.Time)

// Listeners are called when upstreams report limits or that they are cold, so that the
// planner of all daemons can take that into account.
type Listeners struct {
	OnLimit func(notice.Limit)
	// OnCold is called with the time for which an upstream says that it stays cold. It may
	// be nil.
	OnCold func(upstream string, left time.Duration)
}

// Notices holds what upstreams have reported about themselves. It is safe for concurrent
// use.
type Notices struct {
	listeners Listeners
	log       *logrus.Entry

	mu          sync.Mutex
	tracker     *notice.Tracker
	limitSentAt map[string]time.Time // when the limit of an upstream was last passed to the listeners
}

// NewNotices returns an empty Notices.
func NewNotices(listeners Listeners, log *logrus.Entry) *Notices {
	return &Notices{listeners: listeners, log: log, tracker: notice.New(), limitSentAt: map[string]time.Time{}}
}

// limitResendInterval is the time after which an unchanged limit is passed on again, so that
// a wrong report of its end is soon corrected.
const limitResendInterval = time.Second

var (
	limitChanges   = metrics.GetOrCreateCounter(`buckthorndock_upstream_limit_changes_total`)
	leavingNotices = metrics.GetOrCreateCounter(`buckthorndock_upstreams_leaving_by_answer_total`)
	backOffNotices = metrics.GetOrCreateCounter(`buckthorndock_upstream_back_offs_total`)
	limitedSends   = metrics.GetOrCreateCounter(`buckthorndock_sends_to_limited_total`)
	barredSends    = metrics.GetOrCreateCounter(`buckthorndock_sends_to_barred_total`)
)

// Record takes in a notice and calls the listeners that it concerns. It is a NoticeFunc.
func (n *Notices) Record(upstream string, report notice.Notice, sent time.Time) {
	if l, spread := n.update(upstream, report, sent); spread {
		n.listeners.OnLimit(l)
	}
	if report.Cold > 0 && n.listeners.OnCold != nil {
		n.listeners.OnCold(upstream, report.Cold)
	}
}

// update takes in a notice. It returns the limit of the upstream and whether the listeners
// are to be called with it.
func (n *Notices) update(upstream string, report notice.Notice, sent time.Time) (l notice.Limit, spread bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	change := n.tracker.Record(upstream, report, sent, now)
	n.logChange(upstream, report, change, now.Sub(sent))
	l, limited := n.tracker.Limit(upstream)
	spread = change.Limit || limited && now.Sub(n.limitSentAt[upstream]) >= limitResendInterval
	if spread {
		n.limitSentAt[upstream] = now
	}
	return l, spread
}

// logChange counts and logs what a notice has changed. age is the time since the request was
// sent.
func (n *Notices) logChange(upstream string, report notice.Notice, change notice.Change, age time.Duration) {
	if change == (notice.Change{}) {
		return
	}
	log := n.log.WithFields(logrus.Fields{"upstream": upstream, "sent_ms_ago": age.Milliseconds()})
	if change.Limit {
		limitChanges.Inc()
		log.WithFields(logrus.Fields{"limited": report.Limited, "limit_per_s": report.Limit}).Info("upstream_limit")
	}
	if change.Leaving {
		leavingNotices.Inc()
		log.Info("upstream_reports_leaving")
	}
	if change.BackOff {
		backOffNotices.Inc()
		log.WithField("back_off_ms", report.BackOff.Milliseconds()).Info("upstream_back_off_requested")
	}
}

// limited returns the IDs of the upstreams whose limits are in force.
func (n *Notices) limited() []string {
	var ids []string
	for _, l := range n.Limits() {
		if l.Limited {
			ids = append(ids, l.Upstream)
		}
	}
	return ids
}

// barOf returns why an upstream must not be sent requests now, and false if it may.
func (n *Notices) barOf(upstream string) (notice.Bar, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tracker.Bar(upstream, time.Now())
}

// barred returns the IDs of the upstreams that must not be sent requests now.
func (n *Notices) barred() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tracker.Barred(time.Now())
}

// Limits returns all limits that were reported, including those that were withdrawn.
func (n *Notices) Limits() []notice.Limit {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tracker.Limits()
}

// limitOf returns the limit that an upstream has reported.
func (n *Notices) limitOf(upstream string) (notice.Limit, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tracker.Limit(upstream)
}

// Inherit applies to the next incarnation of an upstream what it has reported before it was
// listed.
func (n *Notices) Inherit(next, former fleet.Upstream) {
	n.mu.Lock()
	n.tracker.Inherit(next.ID, former.ID, time.UnixMilli(next.Born))
	l, limited := n.tracker.Limit(next.ID)
	n.mu.Unlock()
	if limited {
		n.listeners.OnLimit(l)
	}
}

// RetainListed drops the notices of upstreams that are no longer listed.
func (n *Notices) RetainListed(list *fleet.Snapshot) {
	n.mu.Lock()
	defer n.mu.Unlock()
	listed := func(id string) bool {
		_, ok := list.Get(id)
		return ok
	}
	n.tracker.RetainListed(listed, time.Now())
	maps.DeleteFunc(n.limitSentAt, func(id string, _ time.Time) bool { return !listed(id) })
}

// noUpstreamRefusal returns the refusal of a request for which no upstream of its service
// takes work: those that are left are evacuated, or have reported that they leave or want no
// requests for a while. kind is the word for the upstream in the message.
func (g *run) noUpstreamRefusal(kind string) *request.Refusal {
	service := g.req.Service.Name
	retryAfter, barred, evacuated := time.Duration(0), 0, 0
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
		if left := time.Until(b.Until); !b.Leaving && (retryAfter == 0 || left < retryAfter) {
			retryAfter = left
		}
	}
	if barred+evacuated == 0 {
		return request.Refuse(request.CodeNoUpstream, retryAfterNoUpstream, "no live %s of %s is known", kind, service)
	}
	return request.Refuse(request.CodeNoUpstream, max(retryAfter, retryAfterNoUpstream), "no %s of %s takes requests now: %d reported that, %d are evacuated", kind, service, barred, evacuated)
}

// logRestrictedSend logs and counts a request that is sent to an upstream that has reported
// a limit or wants no requests.
func (g *run) logRestrictedSend(to fleet.Upstream) {
	l, limited := g.relay.opts.Notices.limitOf(to.ID)
	b, barred := g.relay.opts.Notices.barOf(to.ID)
	if !limited && !barred {
		return
	}
	log := g.relay.log.WithFields(logrus.Fields{
		"request": g.req.ID, "attempt": g.attempt, "upstream": to.ID, "plan": g.verdict,
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
