package httpwire

import (
	"errors"
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/buckthorndock/buckthorndock/internal/core/answerhead"
	"github.com/buckthorndock/buckthorndock/internal/inbound"
)

// Reasons of rejected answers beside the faults of package answerhead, as metrics and logs name them.
const (
	whyTooLong  = "too_long"
	whyNoMemory = "no_memory"
)

// rejectionReasons are all reasons.
var rejectionReasons = []string{
	whyTooLong, whyNoMemory,
	string(answerhead.FaultStatusLine), string(answerhead.FaultStatus), string(answerhead.FaultFieldName),
	string(answerhead.FaultFieldValue), string(answerhead.FaultLineEnd), string(answerhead.FaultFraming),
	string(answerhead.FaultChunk), string(answerhead.FaultTrailer), string(answerhead.FaultOther),
}

func init() {
	for _, why := range rejectionReasons {
		rejectedCounter(why) // so that it is shown before the first
	}
}

func rejectedCounter(why string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`buckthorndock_heads_rejected_total{why=%q}`, why))
}

// whyRejected returns why an answer was rejected; empty if err is another error.
func whyRejected(err error) string {
	var broken *answerhead.Error
	switch {
	case errors.As(err, &broken):
		return string(broken.Fault)
	case errors.Is(err, inbound.ErrTooLong):
		return whyTooLong
	case errors.Is(err, inbound.ErrNoMemory):
		return whyNoMemory
	}
	return ""
}

// IsRejected reports whether an error tells that an answer has come and was rejected: it is broken or too long, or
// there is no memory for it.
func IsRejected(err error) bool { return whyRejected(err) != "" }

func countRejected(err error) {
	if why := whyRejected(err); why != "" {
		rejectedCounter(why).Inc()
	}
}

// Bounds of the lines about rejected answers.
const (
	rejectedLogsPerSecond = 2
	rejectedLogsBurst     = 2
)

// rejectedLog logs rejected answers, in a bounded number of lines. It is safe for concurrent use.
type rejectedLog struct {
	log     *logrus.Entry // may be nil
	limiter *rate.Limiter

	mu        sync.Mutex
	notLogged int // since the last line
}

func newRejectedLog(log *logrus.Entry) *rejectedLog {
	return &rejectedLog{log: log, limiter: rate.NewLimiter(rejectedLogsPerSecond, rejectedLogsBurst)}
}

// add logs the answer of an address if err tells that it was rejected.
func (l *rejectedLog) add(address string, err error) {
	why := whyRejected(err)
	if why == "" || l.log == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limiter.Allow() {
		l.notLogged++
		return
	}
	l.log.WithError(err).WithFields(logrus.Fields{"address": address, "why": why, "not_logged": l.notLogged}).Warn("answer_rejected")
	l.notLogged = 0
}
