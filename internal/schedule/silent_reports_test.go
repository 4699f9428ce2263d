package schedule

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
)

// mutePeers are daemons of which some never answer.
type mutePeers struct {
	list []membership.Member
	mute func(address string) bool

	mu       sync.Mutex
	reported int // daemons that have answered
}

func (p *mutePeers) Rank(_ string, n int) []membership.Member { return p.list[:min(n, len(p.list))] }

func (p *mutePeers) SameDomain(string) bool { return true }

func (p *mutePeers) Call(ctx context.Context, address, _ string, _, _ any) error {
	if p.mute(address) {
		<-ctx.Done()
		return ctx.Err()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reported++
	return nil
}

// TestScarcityReachesAFleetBesideSilentDaemons guards against reports that wait for one silent daemon
// after the other: of 985 daemons, two thirds of them silent, few hear of a scarcity in time.
func TestScarcityReachesAFleetBesideSilentDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons = 985
		peers := &mutePeers{mute: func(address string) bool { return address[len(address)-1]%3 != 0 }}
		sound := 0
		for i := range daemons {
			h := fmt.Sprintf("h%03d", i)
			peers.list = append(peers.list, membership.Member{Identity: membership.Identity{Host: h, Address: h}, State: membership.Live})
			if !peers.mute(h) {
				sound++
			}
		}
		log, _ := test.NewNullLogger()
		s := New(Options{Host: "keeper", Peers: peers, Log: logrus.NewEntry(log)})
		go s.sendScarce(t.Context(), peers.list, &ScarceRequest{})
		time.Sleep(reportInterval)
		peers.mu.Lock()
		defer peers.mu.Unlock()
		if peers.reported != sound {
			t.Errorf("%d of %d daemons that answer have heard of the scarcity in %v", peers.reported, sound, reportInterval)
		}
	})
}
