package peer

import "sync"

// faults holds the hosts and domains that tests cut this node off from.
type faults struct {
	mu  sync.RWMutex
	cut map[string]bool // by name of host or domain
}

func (f *faults) isCut(r remote) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.cut[r.host] || f.cut[r.domain]
}

func (f *faults) set(names []string) {
	cut := make(map[string]bool, len(names))
	for _, name := range names {
		cut[name] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

// SetCut cuts this node off from the named hosts and domains, in both directions,
// and ends all earlier cuts. Open connections to them are closed. It returns
// ErrTestFaultsDisabled unless Options.TestFaults is set.
func (n *Node) SetCut(hostsOrDomains []string) error {
	if !n.opts.TestFaults {
		return ErrTestFaultsDisabled
	}
	n.faults.set(hostsOrDomains)
	n.pool.closeCut()
	n.server.closeCut()
	n.log.WithField("cut", hostsOrDomains).Warn("peer_cut_set")
	return nil
}

// SilenceConnections makes all connections that are open now silent: they stay open
// but carry no more data, while new ones work. It returns ErrTestFaultsDisabled
// unless Options.TestFaults is set.
func (n *Node) SilenceConnections() error {
	if !n.opts.TestFaults {
		return ErrTestFaultsDisabled
	}
	n.pool.silence()
	n.server.silence()
	n.log.Warn("peer_connections_silenced")
	return nil
}
