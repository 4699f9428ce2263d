package daemon

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// listedSection carries the upstreams that the platform's list has as leaving.
// Each host reads the list now and then; so the first that reads of one tells its
// domain.
const listedSection = "listed-leaving"

// listedEvery is the time between two looks at what the hosts have read.
const listedEvery = 200 * time.Millisecond

// readHosts reads the platform's list for the peers, and publishes which
// upstreams it has as leaving. A list that cannot be read changes nothing.
func (p *process) readHosts(ctx context.Context) ([]platform.Host, error) {
	hosts, err := p.list.List(ctx)
	if err != nil {
		return nil, err
	}
	leaving := leavingUpstreams(hosts)
	p.listedMu.Lock()
	defer p.listedMu.Unlock()
	if p.listedLeaving != nil && *p.listedLeaving == leaving {
		return hosts, nil
	}
	if err := p.node.Publish(listedSection, []byte(leaving)); err != nil {
		p.log.WithError(err).Error("section_not_published")
		return hosts, nil
	}
	p.listedLeaving = &leaving
	return hosts, nil
}

// leavingUpstreams returns the addresses of leaving upstreams, in order and with
// blanks between: the list's names of hosts need not be those of the settings.
func leavingUpstreams(hosts []platform.Host) string {
	var addresses []string
	for _, h := range hosts {
		if h.Kind == platform.HostUpstream && h.State == platform.HostLeaving {
			addresses = append(addresses, h.Address)
		}
	}
	slices.Sort(addresses)
	return strings.Join(addresses, " ")
}

// applyListed tells the router what any host of the domain has read.
func (p *process) applyListed(ctx context.Context) error {
	ticker := time.NewTicker(listedEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		leaving := map[string]bool{}
		for _, section := range p.node.Sections(listedSection) {
			for _, address := range strings.Fields(string(section.Data)) {
				leaving[address] = true
			}
		}
		p.router.SetListed(leaving)
	}
}
