package daemon

import (
	"context"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
	"github.com/buckthorndock/buckthorndock/internal/follow"
)

// operator implements front.Operator.
type operator struct {
	follower *follow.Follower
	peers    *peers
}

// SettingsLag implements front.Operator.
func (o *operator) SettingsLag() (time.Duration, bool) {
	lag := o.follower.Lag(time.Now())
	return max(lag, 0), lag >= 0
}

// SettingsState implements front.Operator.
func (o *operator) SettingsState() (int64, uint64) {
	return o.follower.Offset(), o.follower.Digest()
}

// Documents implements front.Operator.
func (o *operator) Documents(prefix string) []settings.StoredDocument {
	documents, _ := o.follower.Documents(prefix)
	return documents
}

// History implements front.Operator.
func (o *operator) History(path string, limit int) []settings.Verdict {
	return o.follower.History(path, limit)
}

// Change implements front.Operator.
func (o *operator) Change(ctx context.Context, c settings.Change) (settings.Verdict, error) {
	return o.follower.Change(ctx, c)
}

// Members implements front.Operator.
func (o *operator) Members() []membership.Member { return o.peers.Members() }

// UpstreamOwner implements front.Operator.
func (o *operator) UpstreamOwner(upstream string) string {
	host, _, _ := o.peers.Owner(upstream)
	return host
}
