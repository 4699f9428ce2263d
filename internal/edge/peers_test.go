package edge

import (
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
)

// TestRankingIsCachedForTheSameMembers guards against a ranking of all daemons ten times
// a second in each of them: the node's list is replaced whole when it changes.
func TestRankingIsCachedForTheSameMembers(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	members := make([]membership.Member, 3)
	v := versionOf(members, now)
	if !v.isCurrent(members, now.Add(rankingTTL/2)) {
		t.Error("it is worked out again for the same members")
	}
	if v.isCurrent(members, now.Add(rankingTTL)) {
		t.Error("what the members publish meanwhile is not looked at")
	}
	if v.isCurrent(make([]membership.Member, 3), now) || v.isCurrent(nil, now) || versionOf(nil, now).isCurrent(nil, now) {
		t.Error("it holds for other members")
	}
}
