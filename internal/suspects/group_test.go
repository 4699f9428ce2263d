package suspects

import (
	"fmt"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
)

// many is a failure domain of many daemons.
type many []membership.Member

func (m many) HostCount() int                     { return len(m) }
func (m many) DomainMembers() []membership.Member { return m }

func (m many) readers(now time.Time) int {
	n := 0
	for _, member := range m {
		if reads(member.Host, m, now) {
			n++
		}
	}
	return n
}

// TestFewDaemonsOfManyReadTheStore guards against reads that grow with the daemons, and against
// daemons that leave them to others of whom they hear nothing.
func TestFewDaemonsOfManyReadTheStore(t *testing.T) {
	now := time.Now()
	for _, c := range []struct{ daemons, silentFor, want int }{
		{8, 0, 8}, {16, 60, 16}, {100, 0, readersNear}, {100, 60, 100},
	} {
		var group many
		for i := range c.daemons {
			m := membership.Member{LastHeard: now.Add(-time.Duration(c.silentFor) * time.Second)}
			m.Host = fmt.Sprint("h", i)
			group = append(group, m)
		}
		if got := group.readers(now); got != c.want {
			t.Errorf("%d of %d daemons read, heard %d s ago; want %d", got, c.daemons, c.silentFor, c.want)
		}
	}
}
