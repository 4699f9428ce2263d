package daemon

import (
	"context"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/admission"
	"github.com/buckthorndock/buckthorndock/internal/core/membership"
)

// Sections that carry the demand for shared limits: that of a host to its failure
// domain, and the sum of a domain to the other domains.
const (
	usageSection       = "limits"
	domainUsageSection = "limits-domain"
)

// limitsInterval is the time between two divisions of the shared limits. Its max is
// less than half of the time after which a host without digests counts as silent.
var limitsInterval = shareInterval{min: 2 * time.Second, perHost: 250 * time.Millisecond, max: 14 * time.Second}

// gatewayKey is the key whose owner publishes the sum of its domain to the others.
const gatewayKey = "limits-gateway"

// shareLimits exchanges demand with the peers and divides the shared limits by it.
func (p *process) shareLimits(ctx context.Context) error {
	seen := map[sectionKey]uint64{} // version last read
	for {
		p.gate.SetExpectedHosts(p.hostCount())
		own, domain := p.gate.ExchangeUsage(p.newPeerUsage(seen))
		p.publishUsage(usageSection, own, p.node.Publish)
		if _, _, self := p.peers.Owner(gatewayKey); self {
			p.publishUsage(domainUsageSection, domain, p.node.PublishWide)
		}
		select {
		case <-time.After(p.domainInterval(limitsInterval)):
		case <-ctx.Done():
			return nil
		}
	}
}

// hostCount returns the number of hosts of the site that are not dead.
func (p *process) hostCount() int {
	n := 0
	for _, m := range p.node.Members() {
		if m.State != membership.Dead {
			n++
		}
	}
	return n
}

// sectionKey identifies a section of one incarnation of a host.
type sectionKey struct {
	section     string
	host        string
	incarnation uint64
}

// newPeerUsage returns the peers' digests that are newer than those in seen, and
// updates seen.
func (p *process) newPeerUsage(seen map[sectionKey]uint64) []admission.Usage {
	var digests []admission.Usage
	for _, section := range []string{usageSection, domainUsageSection} {
		for _, v := range p.node.Sections(section) {
			ownDomain := v.Domain == p.cfg.Domain
			if ownDomain != (section == usageSection) || v.Host == p.cfg.Host {
				continue
			}
			key := sectionKey{section, v.Host, v.Incarnation}
			if seen[key] == v.Version {
				continue
			}
			seen[key] = v.Version
			usage, err := decodeUsage(v.Data)
			usage.Domain = v.Domain
			if ownDomain {
				usage.Host = v.Host
			}
			if err != nil {
				p.log.WithError(err).WithField("from", v.Host).Warn("usage_undecodable")
				continue
			}
			digests = append(digests, usage)
		}
	}
	return digests
}

// publishUsage publishes a digest in a section and logs errors.
func (p *process) publishUsage(section string, u admission.Usage, publish func(string, []byte) error) {
	data, err := encodeUsage(u)
	if err == nil {
		err = publish(section, data)
	}
	if err != nil {
		p.log.WithError(err).WithField("section", section).Error("section_not_published")
	}
}
