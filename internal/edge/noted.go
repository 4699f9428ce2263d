package edge

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Bounds of the lines about entries that cannot be read. Their writer may repeat them
// with every heartbeat, and may use any number of keys.
const (
	notedAgain = time.Minute // until the same fault of the same key has another line
	notedMost  = 256         // lines within that time, about four a second
)

// noted bounds log lines to one for a key and a reason. The zero value is ready for use,
// by many goroutines.
type noted struct {
	mu    sync.Mutex
	lines map[string]string // reason by key, since begin
	begin time.Time
}

func (n *noted) note(log *logrus.Entry, key string, reason error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now := time.Now(); now.Sub(n.begin) > notedAgain {
		n.lines, n.begin = map[string]string{}, now
	}
	if n.lines[key] == reason.Error() || len(n.lines) >= notedMost {
		return
	}
	n.lines[key] = reason.Error()
	log.WithError(reason).WithField("key", key).Error("upstream_unreadable")
}
