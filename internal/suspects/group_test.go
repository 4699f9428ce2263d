package suspects

import (
	"fmt"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
)

// largeGroup is a Group of one failure domain.
type largeGroup []membership.Member

func (m largeGroup) HostCount() int                     { return len(m) }
func (m largeGroup) DomainMembers() []membership.Member { return m }

func (m largeGroup) readers(now time.Time) int {
	n := 0
	for _, member := range m {
		if readsStore(member.Host, m, now) {
			n++
		}
	}
	return n
}

// TestOnlySomeOfManyDaemonsReadTheStore guards against reads that grow with the number of daemons, and
// against daemons that rely on readers from which they have not heard recently.
func TestOnlySomeOfManyDaemonsReadTheStore(t *testing.T) {
	now := time.Now()
	for _, c := range []struct{ daemons, silentFor, want int }{
		{8, 0, 8}, {16, 60, 16}, {100, 0, readersPerDomain}, {100, 60, 100},
	} {
		var group largeGroup
		for i := range c.daemons {
			m := membership.Member{LastHeard: now.Add(-time.Duration(c.silentFor) * time.Second)}
			m.Host = fmt.Sprint("h", i)
			group = append(group, m)
		}
		if got := group.readers(now); got != c.want {
			t.Errorf("%d of %d daemons read, last heard from %d s ago; want %d", got, c.daemons, c.silentFor, c.want)
		}
	}
}
