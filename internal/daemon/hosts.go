package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/ledger"
	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// Times around the platform's list of hosts.
const (
	hostsInterval = time.Second // between two reports of the hosts to the engines' owner
	// listIntervalPerHost is the shortest time between two reads for each host on the
	// last list, at some 110 bytes per host. maxListInterval limits the product.
	listIntervalPerHost = 40 * time.Millisecond
	maxListInterval     = time.Minute
	// maxListAge is the greatest age of a list by which a host that it lacks counts as
	// gone.
	maxListAge = 2 * time.Minute
)

// hostList caches the platform's list of hosts.
type hostList struct {
	source platform.Hosts

	mu     sync.Mutex
	readAt time.Time // zero: never
	hosts  []platform.Host
}

// List reads the list and caches it. A long list that was read a short time ago is
// returned from the cache.
func (l *hostList) List(ctx context.Context) ([]platform.Host, error) {
	if listed, read := l.last(); time.Since(read) < min(time.Duration(len(listed))*listIntervalPerHost, maxListInterval) {
		return listed, nil
	}
	hosts, err := l.source.List(ctx)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readAt = time.Now()
	l.hosts = hosts
	return hosts, nil
}

// last returns the cached list and the time when it was read.
func (l *hostList) last() ([]platform.Host, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hosts, l.readAt
}

// mayContain reports whether the cached list has an entry host of this name. A list
// that was never read or is older than maxListAge is assumed to have it.
func (l *hostList) mayContain(host string, now time.Time) bool {
	listed, read := l.last()
	if read.IsZero() || now.Sub(read) > maxListAge {
		return true
	}
	for _, h := range listed {
		if h.Kind == platform.HostEntry && h.Name == host {
			return true
		}
	}
	return false
}

// trackHosts reports to this host's engine owner which incarnations run and which
// hosts have gone for good, so that what former ones and gone hosts hold ends soon.
func (p *process) trackHosts(ctx context.Context) error {
	ticker := time.NewTicker(hostsInterval)
	defer ticker.Stop()
	for {
		p.reportIncarnations(ctx)
		p.reportGoneHosts(time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// reportIncarnations reports the incarnations of all hosts to the owner.
func (p *process) reportIncarnations(ctx context.Context) {
	for _, m := range p.node.Members() {
		p.owner.ObserveHolder(ctx, holderOf(m.Host, m.Incarnation))
	}
}

// reportGoneHosts reports to the owner which hosts have gone: those that are dead in
// the membership or not part of it, and no longer on the platform's list.
func (p *process) reportGoneHosts(now time.Time) {
	live := map[string]bool{}
	for _, m := range p.node.Members() {
		live[m.Host] = m.State != membership.Dead
	}
	for _, host := range p.owner.Hosts() {
		if !live[host] && !p.hostList.mayContain(host, now) {
			p.owner.MarkHostGone(host)
		}
	}
}

// holderOf returns an incarnation of a host as a holder of reservations.
func holderOf(host string, incarnation uint64) ledger.Holder {
	return ledger.Holder{Host: host, Incarnation: formatIncarnation(incarnation)}
}
