package edge

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Limits of the log lines about undecodable entries. Their writer may repeat these with every
// heartbeat, and for any number of keys.
const (
	logRepeatAfter = time.Minute // until the same fault of the same key is logged again
	maxLogLines    = 256         // within logRepeatAfter: about four per second
)

// undecodableLog limits the log lines to one for each key and reason within logRepeatAfter. The
// zero value is ready for use; it is safe for concurrent use.
type undecodableLog struct {
	mu    sync.Mutex
	lines map[string]string // reasons logged since then, by key
	since time.Time
}

// logUndecodable logs an undecodable entry of the list, unless it would exceed the limits.
func (n *undecodableLog) logUndecodable(log *logrus.Entry, key string, reason error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now := time.Now(); now.Sub(n.since) > logRepeatAfter {
		n.lines, n.since = map[string]string{}, now
	}
	if n.lines[key] == reason.Error() || len(n.lines) >= maxLogLines {
		return
	}
	n.lines[key] = reason.Error()
	log.WithError(reason).WithField("key", key).Error("upstream_unreadable")
}
