package schedule

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/speed"
)

// Each daemon takes the samples of its own requests into its own book, for the time without a
// keeper, and sends them to the keeper, whose plans then apply to the samples of all daemons.

// ObserveSpeed takes in the time of an own request at an engine, and the time expected by the
// engine's figures.
func (s *Service) ObserveSpeed(upstream string, expected, observed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := Speed{Upstream: upstream, Expected: expected, Observed: observed}
	s.recordSpeed(&report, time.Now())
	s.enqueue(Event{Speed: &report})
}

// Speeds returns the speeds of the engines of which this daemon has samples: as the keeper those of
// all daemons, otherwise its own.
func (s *Service) Speeds() []speed.Speed {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Speeds(time.Now())
}

// badSampleInterval is the minimum time between two log lines about samples that were ignored.
const badSampleInterval = 10 * time.Second

// badSamples counts the samples that were ignored.
type badSamples struct {
	unlogged int
	logged   time.Time
}

// recordSpeed takes in a sample. One of an engine that is not listed is ignored, as its incarnation
// may have ended. The caller holds the lock.
func (s *Service) recordSpeed(r *Speed, now time.Time) {
	if s.book.ObserveSpeed(r.Upstream, r.Expected, r.Observed, now) {
		return
	}
	s.badSamples.unlogged++
	if now.Sub(s.badSamples.logged) < badSampleInterval {
		return
	}
	s.log.WithFields(logrus.Fields{
		"upstream": r.Upstream, "expected_ms": r.Expected.Milliseconds(), "observed_ms": r.Observed.Milliseconds(), "ignored": s.badSamples.unlogged,
	}).Info("speed_sample_ignored")
	s.badSamples = badSamples{logged: now}
}

// reportSpeeds shows operators the changes of the engines' speeds.
func (s *Service) reportSpeeds(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.speedLog.Report(s.book.Speeds(now), s.book.HasEngine)
}
