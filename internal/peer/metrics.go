package peer

import (
	"fmt"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// purposes holds a pair of counters for each registered service. Bytes of any other
// service are counted as purposeOther, so that a peer cannot add metrics.
type purposes struct {
	mu     sync.RWMutex
	byName map[string]purposeCounters
}

type purposeCounters struct {
	sent     *metrics.Counter
	received *metrics.Counter
}

func newPurposes() *purposes {
	p := &purposes{byName: make(map[string]purposeCounters)}
	p.add(purposeHandshake)
	p.add(purposeOther)
	p.add(purposeStreams)
	return p
}

func (p *purposes) add(name string) {
	name = strings.ToLower(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byName[name] = purposeCounters{
		sent:     metrics.GetOrCreateCounter(fmt.Sprintf("buckthorndock_peer_sent_bytes_total{purpose=%q}", name)),
		received: metrics.GetOrCreateCounter(fmt.Sprintf("buckthorndock_peer_received_bytes_total{purpose=%q}", name)),
	}
}

func (p *purposes) get(name string) purposeCounters {
	p.mu.RLock()
	defer p.mu.RUnlock()
	c, ok := p.byName[name]
	if !ok {
		c = p.byName[purposeOther]
	}
	return c
}

func (t *traffic) addSent(purpose string, n uint64) {
	t.sent.Add(n)
	t.purposes.get(purpose).sent.Add(int(n))
}

func (t *traffic) addReceived(purpose string, n uint64) {
	t.received.Add(n)
	t.purposes.get(purpose).received.Add(int(n))
}

var (
	dials           = metrics.NewCounter("buckthorndock_peer_dials_total")
	dialErrors      = metrics.NewCounter("buckthorndock_peer_dial_errors_total")
	silentReplaced  = metrics.NewCounter("buckthorndock_peer_silent_connections_replaced_total")
	refusedConns    = metrics.NewCounter("buckthorndock_peer_refused_connections_total")
	callErrors      = metrics.NewCounter("buckthorndock_peer_call_errors_total")
	heartbeatErrors = metrics.NewCounter("buckthorndock_peer_heartbeat_errors_total")
)
