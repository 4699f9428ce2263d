package standin

import (
	"fmt"
	"net"
	"net/http"
	"strconv"

	"github.com/buckthorndock/buckthorndock/internal/api/platformapi"
	"github.com/buckthorndock/buckthorndock/internal/entrypoint"
)

// siteHost is the address that a site listens on.
const siteHost = "127.0.0.1"

const siteRegion = "be-central"

var siteDomains = []string{"hal-a", "hal-b", "hal-c"}

// SiteOptions configures a site.
type SiteOptions struct {
	// FirstPort is the log's port; the other parts take the following ports, in
	// the order of Site.Parts. 0 takes free ports.
	FirstPort int
	Models    []string // models of each engine
	Engine    EngineOptions
	// Bounds are those of all parts; nil: bounds of their own.
	Bounds *entrypoint.Bounds
}

// Part is one stand-in of a site.
type Part struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"` // log, hosts, weights, engine or service
	Domain  string `json:"domain,omitempty"`
	Address string `json:"address"`
}

// Site is a small site within one process: a log, a host list, a weight store, an
// engine in each of three failure domains and a plain service. The fault die ends
// one part, not the process.
type Site struct {
	Parts []Part // in the order of their start; the log is first

	opts    SiteOptions
	hosts   *Hosts
	servers []*Server
}

// NewSite starts a site.
func NewSite(o SiteOptions) (*Site, error) {
	if o.Bounds == nil {
		o.Bounds = NewBounds(DefaultMemoryMB)
	}
	s := &Site{opts: o, hosts: NewHosts(HostsOptions{})}
	err := s.startAll()
	if err != nil {
		s.Close()
		return nil, err
	}
	s.hosts.Set(s.upstreams())
	return s, nil
}

func (s *Site) startAll() error {
	if err := s.add(Part{Name: "log", Kind: "log"}, NewLog(LogOptions{})); err != nil {
		return err
	}
	if err := s.add(Part{Name: "hosts", Kind: "hosts"}, s.hosts); err != nil {
		return err
	}
	if err := s.add(Part{Name: "weights", Kind: "weights"}, NewWeights(WeightsOptions{})); err != nil {
		return err
	}
	for i, domain := range siteDomains {
		e := s.opts.Engine
		e.Name = fmt.Sprintf("engine-%d", i+1)
		e.Models = s.opts.Models
		if err := s.add(Part{Name: e.Name, Kind: "engine", Domain: domain}, NewEngine(e)); err != nil {
			return err
		}
	}
	service := NewService(ServiceOptions{Name: "baskets", Operations: []string{"confirm", "stock"}})
	return s.add(Part{Name: "baskets", Kind: "service", Domain: siteDomains[0]}, service)
}

func (s *Site) add(p Part, h http.Handler) error {
	port := 0
	if s.opts.FirstPort > 0 {
		port = s.opts.FirstPort + len(s.Parts)
	}
	server, err := Listen(s.opts.Bounds, net.JoinHostPort(siteHost, strconv.Itoa(port)), h)
	if err != nil {
		return err
	}
	p.Address = server.Address
	s.Parts = append(s.Parts, p)
	s.servers = append(s.servers, server)
	return nil
}

// upstreams returns the engines and the service as entries of the host list.
func (s *Site) upstreams() []platformapi.HostEntry {
	var all []platformapi.HostEntry
	for _, p := range s.Parts {
		if p.Domain == "" {
			continue
		}
		all = append(all, platformapi.HostEntry{
			Name:    p.Name,
			Kind:    platformapi.HostEntryKindUpstream,
			Domain:  p.Domain,
			Region:  siteRegion,
			Address: p.Address,
			State:   platformapi.HostEntryStateLive,
		})
	}
	return all
}

// Close closes all parts.
func (s *Site) Close() {
	for _, server := range s.servers {
		server.Close()
	}
}
