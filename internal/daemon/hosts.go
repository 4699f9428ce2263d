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
	hostsEvery = time.Second // between two looks at which hosts live and which have gone
	// listEveryHost is the least time between two reads for each host that the list
	// had, at some 110 bytes a host, and listEveryMost bounds it.
	listEveryHost = 40 * time.Millisecond
	listEveryMost = time.Minute
	// listFresh is the age up to which a read list says who has gone.
	listFresh = 2 * time.Minute
)

// hostList keeps the platform's list as it was last read.
type hostList struct {
	source platform.Hosts

	mu     sync.Mutex
	read   time.Time // zero: never
	listed []platform.Host
}

// List reads the list and keeps it. A long list that was read a short while ago is
// not read again.
func (l *hostList) List(ctx context.Context) ([]platform.Host, error) {
	if listed, read := l.last(); time.Since(read) < min(time.Duration(len(listed))*listEveryHost, listEveryMost) {
		return listed, nil
	}
	hosts, err := l.source.List(ctx)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.read = time.Now()
	l.listed = hosts
	return hosts, nil
}

// last returns the list as it was last read, and when that was.
func (l *hostList) last() ([]platform.Host, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listed, l.read
}

// lists reports whether a fresh list has an entry host. A list that is not fresh
// is taken to have it.
func (l *hostList) lists(host string, now time.Time) bool {
	listed, read := l.last()
	if read.IsZero() || now.Sub(read) > listFresh {
		return true
	}
	for _, h := range listed {
		if h.Kind == platform.HostEntry && h.Name == host {
			return true
		}
	}
	return false
}

// followHosts tells the engines' owner which hosts have gone for good, so that
// what they held is ended soon.
func (p *process) followHosts(ctx context.Context) error {
	ticker := time.NewTicker(hostsEvery)
	defer ticker.Stop()
	for {
		p.noteLives(ctx)
		p.noteGone(time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// noteLives tells the owner the incarnations of all hosts.
func (p *process) noteLives(ctx context.Context) {
	for _, m := range p.node.Members() {
		p.owner.ObserveHolder(ctx, holderOf(m.Host, m.Incarnation))
	}
}

// noteGone tells the owner which hosts have gone: they are silent, or were never
// heard, and the platform's list has them no longer.
func (p *process) noteGone(now time.Time) {
	heard := map[string]bool{}
	for _, m := range p.node.Members() {
		heard[m.Host] = m.State != membership.Dead
	}
	for _, host := range p.owner.Hosts() {
		if !heard[host] && !p.list.lists(host, now) {
			p.owner.MarkHostGone(host)
		}
	}
}

func holderOf(host string, incarnation uint64) ledger.Holder {
	return ledger.Holder{Host: host, Incarnation: incarnationText(incarnation)}
}
