// Package speedlog shows operators which upstreams take longer than their figures say: in the log,
// and in the metric buckthorndock_upstream_slow.
package speedlog

import (
	"fmt"
	"slices"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/speed"
)

// maxLines limits the log lines of one report: all upstreams of a failure domain may become slow
// at the same time.
const maxLines = 20

// Log reports changes of speeds. It is not safe for concurrent use.
type Log struct {
	log   *logrus.Entry
	shown map[string]speed.Speed // upstreams whose factor has not always been neutral
}

// New returns a Log that has reported nothing.
func New(log *logrus.Entry) *Log { return &Log{log: log, shown: map[string]speed.Speed{}} }

// Report reports the present speeds. An upstream without one is neutral; those that are not listed
// any more are dropped.
func (l *Log) Report(speeds []speed.Speed, listed func(id string) bool) {
	present := make(map[string]speed.Speed, len(speeds))
	for _, s := range speeds {
		present[s.Upstream] = s
		if _, shown := l.shown[s.Upstream]; !shown && s.Factor != speed.Neutral {
			l.shown[s.Upstream] = speed.Speed{Upstream: s.Upstream, Service: s.Service, Factor: speed.Neutral}
		}
	}
	var crossed []string
	for id, former := range l.shown {
		if !listed(id) {
			metrics.UnregisterMetric(gaugeName(id))
			delete(l.shown, id)
			continue
		}
		now, known := present[id]
		if !known {
			now = speed.Speed{Upstream: id, Service: former.Service, Factor: speed.Neutral}
		}
		metrics.GetOrCreateGauge(gaugeName(id), nil).Set(now.Factor)
		l.shown[id] = now
		if isSlow(now) != isSlow(former) {
			crossed = append(crossed, id)
		}
	}
	l.logCrossed(crossed)
}

func isSlow(s speed.Speed) bool { return s.Factor > speed.Slow }

// logCrossed logs the upstreams that have become slow or are slow no more.
func (l *Log) logCrossed(ids []string) {
	slices.Sort(ids)
	for _, id := range ids[:min(len(ids), maxLines)] {
		s := l.shown[id]
		l.log.WithFields(logrus.Fields{
			"upstream": id, "service": s.Service, "factor": fmt.Sprintf("%.2f", s.Factor), "samples": s.Samples, "slow": isSlow(s),
		}).Info("upstream_speed_changed")
	}
	if more := len(ids) - maxLines; more > 0 {
		l.log.WithField("more", more).Info("upstream_speed_changed")
	}
}

func gaugeName(id string) string {
	return fmt.Sprintf("buckthorndock_upstream_slow{upstream=%q}", strings.ToValidUTF8(id, ""))
}
