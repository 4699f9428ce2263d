package soak

import (
	"strings"
	"testing"
	"time"
)

// addressKind tells where a server listens that has started again.
type addressKind int

const (
	newAddress    addressKind = iota
	sameAddress               // where its former incarnation did
	linkedAddress             // behind a link with one address, which accepts connections at all times
)

// engineSlots is the number of slots of an engine in standin.SettingsText.
const engineSlots = 16

// checkSuccessorsServe checks that servers which have started again are used once the store is back:
// as many streams as all engines have slots come at once, and last, so that the others cannot take them.
func (s *partSite) checkSuccessorsServe() {
	const lasting = "&work=300"
	atOnce := len(s.r.servers) / 2 * engineSlots / len(s.r.daemons) // from each daemon; half of the servers are engines
	s.r.setStoreFault("")
	ok := s.r.eventually(recoveryWait, func() bool {
		for _, d := range s.r.daemons {
			for range atOnce {
				s.all.Go(func() { s.sendQuery(d, "sound", []uint32{popularPart}, lasting) })
			}
		}
		s.all.Wait()
		return s.r.history.successorServed()
	})
	if !ok {
		s.Error("no server that has started again is used")
	}
}

// successorServed reports whether a server other than a first instance has served a request.
func (h *history) successorServed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	const firstInstance = "-1"
	for _, runs := range h.runs {
		for _, r := range runs {
			if r.whole && !strings.HasSuffix(r.server, firstInstance) {
				return true
			}
		}
	}
	return false
}

// TestEndsOfServersAreFoundWithoutTheStore guards against requests with a crashing part that end
// server after server while the store is away: no list tells of the ends, the servers start again
// within a second, and answer at their addresses for others than those that are listed.
func TestEndsOfServersAreFoundWithoutTheStore(t *testing.T) {
	const usual = 125 * time.Millisecond
	kinds := [][]uint32{{popularPart, crashingParts}}
	const servers = 18
	for _, c := range []partCase{
		{name: "same address", daemons: 4, interval: usual, address: sameAddress},
		{name: "links", daemons: 4, interval: usual, servers: servers, address: linkedAddress},
		{name: "links, few requests", daemons: 4, interval: time.Second, servers: servers, address: linkedAddress},
	} {
		c.kinds, c.noStore = kinds, true
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}
