package edge

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"
)

// fileCheckInterval is the time between two checks of the daemon file, which may change without a
// signal.
const fileCheckInterval = 2 * time.Second

// watchFile reads the daemon file again when a value comes from p.reloads, and when its
// modification time has changed.
func (p *process) watchFile(ctx context.Context) error {
	ticker := time.NewTicker(fileCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.reloads:
			p.reload("signal")
		case <-ticker.C:
			if p.fileChanged() {
				p.reload("file")
			}
		}
	}
}

// fileChanged reports whether the daemon file was written since the last check.
func (p *process) fileChanged() bool {
	info, err := os.Stat(p.cfg.File)
	if err != nil || info.ModTime().Equal(p.fileModTime) {
		return false // a file that is being replaced will exist at the next check
	}
	p.fileModTime = info.ModTime()
	return true
}

// reload applies the values of the daemon file that may change while the daemon runs: the log
// level and the limits. Names and addresses stay as they were at the start.
func (p *process) reload(why string) {
	log := p.log.WithField("why", why)
	next, err := LoadConfig(p.cfg.File)
	if err != nil {
		log.WithError(err).Error("reload_refused")
		return
	}
	next.Incarnation = p.cfg.Incarnation
	if reflect.DeepEqual(next, p.current()) {
		log.Info("reload_unchanged")
		return
	}
	if level, err := logrus.ParseLevel(next.LogLevel); err == nil {
		p.log.Logger.SetLevel(level)
	}
	p.currentConfig.Store(next)
	log.WithFields(logrus.Fields{
		"grace_s": next.GraceS, "retry_ratio": next.Retry.Ratio, "retry_slack": next.Retry.Slack, "level": next.LogLevel,
	}).Info("reloaded")
}

// current returns the values of the daemon file as last read without a fault.
func (p *process) current() *Config { return p.currentConfig.Load() }
