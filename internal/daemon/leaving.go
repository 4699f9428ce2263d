package daemon

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// leavingSection carries the names and addresses of the upstreams that the
// platform's list has leaving, from the hosts that read it often to the others.
const leavingSection = "leaving-upstreams"

// leavingDivider stands between two of them.
const leavingDivider = "\n"

// followLeaving tells the router which upstreams the platform has leaving.
func (p *process) followLeaving(ctx context.Context) error {
	ticker := time.NewTicker(hostsEvery)
	defer ticker.Stop()
	var told, known []string
	for {
		own := p.listedLeaving()
		if !slices.Equal(own, told) && p.tellLeaving(own) {
			told = own
		}
		if all := p.hearLeaving(own); !slices.Equal(all, known) {
			known = all
			p.log.WithField("upstreams", strings.Join(all, ",")).Info("upstreams_leaving")
			p.router.SetListed(all)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// listedLeaving returns what the list, as this host read it last, has leaving.
func (p *process) listedLeaving() []string {
	var leaving []string
	listed, _ := p.list.last()
	for _, h := range listed {
		if h.Kind == platform.HostUpstream && h.State == platform.HostLeaving {
			leaving = append(leaving, h.Name, h.Address)
		}
	}
	slices.Sort(leaving)
	return leaving
}

func (p *process) tellLeaving(leaving []string) bool {
	err := p.node.Publish(leavingSection, []byte(strings.Join(leaving, leavingDivider)))
	if err != nil {
		p.log.WithError(err).Error("leaving_not_published")
	}
	return err == nil
}

// hearLeaving adds what the other hosts of the domain tell. A dead host's word
// counts no more: it cannot be taken back.
func (p *process) hearLeaving(own []string) []string {
	alive := map[string]bool{}
	for _, m := range p.node.Members() {
		alive[m.Host] = m.State != membership.Dead
	}
	all := slices.Clone(own)
	for _, v := range p.node.Sections(leavingSection) {
		if alive[v.Host] && v.Host != p.cfg.Host && v.Domain == p.cfg.Domain && len(v.Data) > 0 {
			all = append(all, strings.Split(string(v.Data), leavingDivider)...)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}
