package daemon

import (
	"net/http"
	"strings"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/front"
	"github.com/buckthorndock/buckthorndock/internal/netfault"
	"github.com/buckthorndock/buckthorndock/internal/peer"
)

// faultPath is the path prefix of the fault switches that the scenarios use. They
// are served only with test_faults in the daemon file.
const faultPath = "/test-faults/"

// withFaults adds the fault switches to a handler:
//
//	POST /test-faults/cut?from=NAME,NAME     cuts this host off from hosts and domains
//	POST /test-faults/silence                makes open peer connections silent
//	POST /test-faults/hold?at=POINT          holds each dispatch at a front.DispatchPoint; without at, releases all
//	POST /test-faults/upstreams?fault=FAULT  makes all connections to upstreams fail as a netfault.Fault says; without fault, none
func withFaults(next http.Handler, node *peer.Node, hold *dispatchHold, links *netfault.Links) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", next)
	mux.HandleFunc("POST "+faultPath+"cut", func(w http.ResponseWriter, r *http.Request) {
		var names []string
		if from := r.URL.Query().Get("from"); from != "" {
			names = strings.Split(from, ",")
		}
		writeFaultResult(w, node.SetCut(names))
	})
	mux.HandleFunc("POST "+faultPath+"silence", func(w http.ResponseWriter, _ *http.Request) {
		writeFaultResult(w, node.SilenceConnections())
	})
	mux.HandleFunc("POST "+faultPath+"hold", func(w http.ResponseWriter, r *http.Request) {
		hold.moveTo(front.DispatchPoint(r.URL.Query().Get("at")))
		writeFaultResult(w, nil)
	})
	mux.HandleFunc("POST "+faultPath+"upstreams", func(w http.ResponseWriter, r *http.Request) {
		fault := netfault.Fault(r.URL.Query().Get("fault"))
		if !fault.Known() {
			writeFaultResult(w, merry.Errorf("unknown fault %q", fault))
			return
		}
		links.Set(fault)
		writeFaultResult(w, nil)
	})
	return mux
}

func writeFaultResult(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusForbidden)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// dispatchHold holds requests at one dispatch point until the point changes.
type dispatchHold struct {
	log *logrus.Entry

	mu       sync.Mutex
	point    front.DispatchPoint
	released chan struct{} // closed when point changes
}

func newDispatchHold(log *logrus.Entry) *dispatchHold {
	return &dispatchHold{log: log, released: make(chan struct{})}
}

// moveTo releases the held requests and holds further ones at a point; empty: none.
func (h *dispatchHold) moveTo(point front.DispatchPoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.point = point
	close(h.released)
	h.released = make(chan struct{})
}

// wait implements front.Options.OnDispatchPoint.
func (h *dispatchHold) wait(point front.DispatchPoint) {
	h.mu.Lock()
	heldPoint, released := h.point, h.released
	h.mu.Unlock()
	if heldPoint != point {
		return
	}
	h.log.WithField("point", string(point)).Info("dispatch_held")
	<-released
	h.log.WithField("point", string(point)).Info("dispatch_released")
}
