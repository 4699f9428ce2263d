package edge

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/peer"
)

// TestStartingDaemonHasNoRetrySlack guards against a daemon that uses a part of the slack before
// it knows how many daemons share it.
func TestStartingDaemonHasNoRetrySlack(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	node, err := peer.New(peer.Options{
		Host: "h1", Domain: "r", Listen: "127.0.0.1:0", Key: strings.Repeat("k", 40), Logger: logrus.NewEntry(log),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	p := &process{node: node, started: time.Now()}
	cfg := &Config{}
	cfg.Retry.Ratio, cfg.Retry.WindowS, cfg.Retry.Slack = 0.2, 10, 252
	p.currentConfig.Store(cfg)
	if o := p.retryBudget(); o.Slack != 0 || o.Ratio != 0.2 {
		t.Errorf("right after the start: %+v", o)
	}
	p.started = time.Now().Add(-2 * budgetSettleTime)
	if o := p.retryBudget(); o.Slack != 252 || o.Hosts != minBudgetHosts || o.Window != 10*time.Second {
		t.Errorf("after budgetSettleTime: %+v", o)
	}
}
