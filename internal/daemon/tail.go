package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/finding"
	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// tail follows the settings by reading the log directly.
type tail struct {
	log     platform.Log
	logger  *logrus.Entry
	current atomic.Pointer[settings.Snapshot]
	apply   func(*settings.Snapshot)

	mu    sync.Mutex
	state *settings.State
	cache *settings.Cache
	heard time.Time
}

const (
	settingsStream = "settings"
	tailWait       = 5 * time.Second
	tailPause      = 500 * time.Millisecond
)

func newTail(log platform.Log, logger *logrus.Entry, apply func(*settings.Snapshot)) *tail {
	return &tail{log: log, logger: logger, apply: apply, state: settings.NewState(), cache: settings.NewCache()}
}

func (t *tail) run(ctx context.Context) {
	for ctx.Err() == nil {
		t.mu.Lock()
		from := t.state.Offset() + 1
		t.mu.Unlock()
		page, err := t.log.Read(ctx, settingsStream, from, 1000, tailWait)
		if err != nil {
			t.logger.WithError(err).Warn("settings_unreachable")
			time.Sleep(tailPause)
			continue
		}
		t.take(page)
	}
}

func (t *tail) take(page platform.Page) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard = time.Now()
	for _, r := range page.Records {
		t.state.Apply(r.Offset, r.At, r.Data)
	}
	if len(page.Records) == 0 || t.state.Offset() == 0 {
		return
	}
	snap, findings := t.cache.Compile(t.state.Documents(settings.Root))
	if err := findings.Err(); err != nil {
		t.logger.WithError(err).Warn("settings_unreadable")
	}
	t.current.Store(snap)
	t.apply(snap)
	t.logger.WithField("offset", t.state.Offset()).Info("settings_applied")
}

// Current implements front.Settings.
func (t *tail) Current() *settings.Snapshot { return t.current.Load() }

// SettingsLag implements front.Operator.
func (t *tail) SettingsLag() (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.heard), !t.heard.IsZero()
}

// SettingsState implements front.Operator.
func (t *tail) SettingsState() (int64, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Offset(), t.state.Digest()
}

// Documents implements front.Operator.
func (t *tail) Documents(prefix string) []settings.StoredDocument {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Documents(prefix)
}

// History implements front.Operator.
func (t *tail) History(path string, limit int) []settings.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.History(path, limit)
}

// Change implements front.Operator.
func (t *tail) Change(ctx context.Context, c settings.Change) (settings.Verdict, error) {
	t.mu.Lock()
	findings := settings.Check(t.state.Documents(settings.Root), &c)
	c.Seen = t.state.Offset()
	t.mu.Unlock()
	if len(findings) > 0 {
		return settings.Verdict{}, findings
	}
	data, err := c.Encode()
	if err != nil {
		var list finding.List
		list.Addf(finding.Place{}, "%s", err.Error())
		return settings.Verdict{}, list
	}
	if _, err := t.log.Append(ctx, settingsStream, [][]byte{data}); err != nil {
		return settings.Verdict{}, err
	}
	for {
		t.mu.Lock()
		v, ok := t.state.Find(c.ID)
		t.mu.Unlock()
		if ok {
			return v, nil
		}
		select {
		case <-ctx.Done():
			return settings.Verdict{}, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// Members implements front.Operator.
func (t *tail) Members() []membership.Member { return nil }

// UpstreamOwner implements front.Operator.
func (t *tail) UpstreamOwner(string) string { return "" }
