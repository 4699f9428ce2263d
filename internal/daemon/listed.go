package daemon

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/platform"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

// listedSection carries the addresses of the upstreams that the platform's list shows
// as leaving. Each host reads the list only from time to time, so the first one to
// read of a leaving upstream reports it to its failure domain.
const listedSection = "listed-leaving"

// listedInterval is the time between two reads of the hosts' sections.
const listedInterval = 200 * time.Millisecond

// leavingAddresses returns the addresses of leaving upstreams, sorted and separated
// by blanks. The list's host names need not be those of the settings.
func leavingAddresses(hosts []platform.Host) string {
	var addresses []string
	for _, h := range hosts {
		if h.Kind == platform.HostUpstream && h.State == platform.HostLeaving {
			addresses = append(addresses, h.Address)
		}
	}
	slices.Sort(addresses)
	return strings.Join(addresses, " ")
}

// shareListed publishes the leaving upstreams that this host has read, and passes
// those that any host has read to the router.
func (p *process) shareListed(ctx context.Context) error {
	published := "" // an empty section is equivalent to none
	wait.Every(ctx, listedInterval, func(time.Time) {
		published = p.publishListed(published)
		leaving := map[string]bool{}
		dead := p.deadHosts()
		for _, section := range p.node.Sections(listedSection) {
			if dead[section.Host] {
				continue // it can no longer withdraw what it published
			}
			for _, address := range strings.Fields(string(section.Data)) {
				leaving[address] = true
			}
		}
		p.router.SetListedLeaving(leaving)
	})
	return nil
}

// publishListed publishes the leaving upstreams of the cached list if they differ
// from those published before, and returns what is published now. A list that cannot
// be read changes nothing.
func (p *process) publishListed(published string) string {
	hosts, _ := p.hostList.last()
	addresses := leavingAddresses(hosts)
	if addresses == published {
		return published
	}
	if err := p.node.Publish(listedSection, []byte(addresses)); err != nil {
		p.log.WithError(err).Error("section_not_published")
		return published
	}
	return addresses
}

// deadHosts returns for each member host whether it is dead.
func (p *process) deadHosts() map[string]bool {
	dead := map[string]bool{}
	for _, m := range p.node.Members() {
		dead[m.Host] = m.State == membership.Dead
	}
	return dead
}
