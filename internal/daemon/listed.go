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

// listedSection carries the upstreams that the platform's list has as leaving.
// Each host reads the list now and then; so the first that reads of one tells its
// domain.
const listedSection = "listed-leaving"

// listedInterval is the time between two looks at what the hosts have read.
const listedInterval = 200 * time.Millisecond

// leavingAddresses returns the addresses of leaving upstreams, in order and with
// blanks between: the list's names of hosts need not be those of the settings.
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

// shareListed tells the domain what this host has read, and the router what any
// host has.
func (p *process) shareListed(ctx context.Context) error {
	published := "" // nothing is as good as no section
	wait.Every(ctx, listedInterval, func(time.Time) {
		published = p.publishListed(published)
		leaving := map[string]bool{}
		dead := p.deadHosts()
		for _, section := range p.node.Sections(listedSection) {
			if dead[section.Host] {
				continue // its word cannot be taken back
			}
			for _, address := range strings.Fields(string(section.Data)) {
				leaving[address] = true
			}
		}
		p.router.SetListedLeaving(leaving)
	})
	return nil
}

// publishListed publishes what the last list has as leaving, when that is not what
// was told before. It returns what has been told. A list that cannot be read
// changes nothing.
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

func (p *process) deadHosts() map[string]bool {
	dead := map[string]bool{}
	for _, m := range p.node.Members() {
		dead[m.Host] = m.State == membership.Dead
	}
	return dead
}
