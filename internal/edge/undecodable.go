package edge

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Bounds of the lines about entries that cannot be read. Their writer may repeat them
// with every heartbeat, and may use any number of keys.
const (
	logRepeatAfter = time.Minute // until the same fault of the same key has another line
	maxLogLines    = 256         // lines within that time, about four a second
)

// undecodableLog bounds log lines to one for a key and a reason. The zero value is ready for use,
// by many goroutines.
type undecodableLog struct {
	mu    sync.Mutex
	lines map[string]string // reason by key, since begin
	since time.Time
}

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
