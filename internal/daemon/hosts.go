package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/ledger"
	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// Times of what follows the platform's list of hosts.
const (
	hostsInterval = time.Second // between two looks at which hosts live and which have gone
	// listIntervalPerHost is the least time between two reads for each host that the list
	// had, at some 110 bytes a host, and listEveryMost bounds it.
	listIntervalPerHost = 40 * time.Millisecond
	maxListInterval     = time.Minute
	// maxListAge is the age up to which a read list says who has gone.
	maxListAge = 2 * time.Minute
)

// hostList keeps the platform's list as it was last read.
type hostList struct {
	source platform.Hosts

	mu     sync.Mutex
	readAt time.Time // zero: never
	hosts  []platform.Host
}

// List reads the list and keeps it. A long list that was read a short while ago is
// not read again.
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

// last returns the list as it was last read, and when that was.
func (l *hostList) last() ([]platform.Host, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hosts, l.readAt
}

// mayContain reports whether a fresh list has an entry host. A list that is not fresh
// is taken to have it.
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

// trackHosts tells the engines' owner which hosts have gone for good, so that
// what they held is ended soon.
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

// reportIncarnations tells the owner the incarnations of all hosts.
func (p *process) reportIncarnations(ctx context.Context) {
	for _, m := range p.node.Members() {
		p.owner.ObserveHolder(ctx, holderOf(m.Host, m.Incarnation))
	}
}

// reportGoneHosts tells the owner which hosts have gone: they are silent, or were never
// heard, and the platform's list has them no longer.
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

func holderOf(host string, incarnation uint64) ledger.Holder {
	return ledger.Holder{Host: host, Incarnation: formatIncarnation(incarnation)}
}
