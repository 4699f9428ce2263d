package edge

import (
	"testing"
	"time"
)

// TestConnectionsOutliveASilentSecond guards against connections that the kernel breaks while an
// upstream is silent for a second or so. The user timeout also decides when keep-alive probes
// give up, whatever their count.
func TestConnectionsOutliveASilentSecond(t *testing.T) {
	const silence = 2 * time.Second
	if userTimeout < silence {
		t.Errorf("unacknowledged bytes break a connection after %s", userTimeout)
	}
	if byProbes := probeIdle + probeCount*probeInterval; byProbes < silence {
		t.Errorf("keep-alive probes break a connection after %s", byProbes)
	}
}
