package edge

import (
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
)

// TestRankingIsCachedForTheSameMembers guards against each daemon ranking all daemons ten times a
// second. The node replaces its list of members as a whole when it changes.
func TestRankingIsCachedForTheSameMembers(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	members := make([]membership.Member, 3)
	v := versionOf(members, now)
	if !v.isCurrent(members, now.Add(rankingTTL/2)) {
		t.Error("a cached ranking is not current for the same members")
	}
	if v.isCurrent(members, now.Add(rankingTTL)) {
		t.Error("a cached ranking is current after rankingTTL")
	}
	if v.isCurrent(make([]membership.Member, 3), now) || v.isCurrent(nil, now) || versionOf(nil, now).isCurrent(nil, now) {
		t.Error("a cached ranking is current for other members")
	}
}
