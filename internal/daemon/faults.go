package daemon

import (
	"net/http"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/front"
	"github.com/buckthorndock/buckthorndock/internal/peer"
)

// faultPath leads to the fault switches of the scenarios. They are there only
// with test_faults in the daemon file.
const faultPath = "/test-faults/"

// withFaults adds the fault switches to a handler:
//
//	POST /test-faults/cut?from=NAME,NAME     cuts this host off from hosts and domains
//	POST /test-faults/silence                makes open peer connections silent
//	POST /test-faults/hold?at=POINT          stops each dispatch at a front.Point; without at all go on
func withFaults(next http.Handler, node *peer.Node, hold *dispatchHold) http.Handler {
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
	return mux
}

func writeFaultResult(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusForbidden)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// dispatchHold stops requests at one point of their way until it is lifted.
type dispatchHold struct {
	log *logrus.Entry

	mu       sync.Mutex
	point    front.DispatchPoint
	released chan struct{} // closed when at changes
}

func newDispatchHold(log *logrus.Entry) *dispatchHold {
	return &dispatchHold{log: log, released: make(chan struct{})}
}

// moveTo moves the hold to a point, or nowhere, and lets go what it held.
func (h *dispatchHold) moveTo(point front.DispatchPoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.point = point
	close(h.released)
	h.released = make(chan struct{})
}

// wait implements front.Options.AtPoint.
func (h *dispatchHold) wait(point front.DispatchPoint) {
	h.mu.Lock()
	heldPoint, released := h.point, h.released
	h.mu.Unlock()
	if heldPoint != point {
		return
	}
	h.log.WithField("point", string(point)).Info("held")
	<-released
	h.log.WithField("point", string(point)).Info("held_no_more")
}
