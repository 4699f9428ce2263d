package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/api/platformapi"
)

// HostsOptions configures a host list.
type HostsOptions struct {
	Lag     time.Duration           // delay before a change appears
	Initial []platformapi.HostEntry // appears at once
	Exit    func(code int)
}

// Hosts is a stand-in for the platform's list of hosts, which lags behind changes.
// POST /standin/hosts replaces the list.
type Hosts struct {
	*base
	unimplemented
	lag time.Duration

	mu       sync.Mutex
	versions []hostVersion // by time; the first is the current one
}

type hostVersion struct {
	at    time.Time
	hosts []platformapi.HostEntry
}

// NewHosts returns a host list.
func NewHosts(o HostsOptions) *Hosts {
	h := &Hosts{base: newBase("hosts", o.Exit), lag: o.Lag}
	h.versions = []hostVersion{{hosts: append([]platformapi.HostEntry{}, o.Initial...)}}
	h.api = platformServer(h)
	h.control.HandleFunc("POST /standin/hosts", h.handleSet)
	return h
}

// Set replaces the list. The change appears after the lag.
func (h *Hosts) Set(hosts []platformapi.HostEntry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := hostVersion{at: time.Now(), hosts: append([]platformapi.HostEntry{}, hosts...)}
	h.versions = append(h.versions, v)
}

// ListHosts implements platformapi.Handler.
func (h *Hosts) ListHosts(context.Context) (*platformapi.HostList, error) {
	shown := time.Now().Add(-h.lag)
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.versions) > 1 && !h.versions[1].at.After(shown) {
		h.versions = h.versions[1:]
	}
	return &platformapi.HostList{Hosts: h.versions[0].hosts}, nil
}

func (h *Hosts) handleSet(w http.ResponseWriter, r *http.Request) {
	var hosts []platformapi.HostEntry
	if !readControl(w, r, &hosts) {
		return
	}
	for _, e := range hosts {
		if err := e.Validate(); err != nil {
			http.Error(w, "host "+e.Name+": "+err.Error(), http.StatusBadRequest)
			return
		}
	}
	h.Set(hosts)
	writeControl(w, platformapi.HostList{Hosts: hosts})
}
