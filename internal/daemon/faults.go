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
func withFaults(next http.Handler, node *peer.Node, holds *holds) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", next)
	mux.HandleFunc("POST "+faultPath+"cut", func(w http.ResponseWriter, r *http.Request) {
		var names []string
		if from := r.URL.Query().Get("from"); from != "" {
			names = strings.Split(from, ",")
		}
		answerFault(w, node.SetCut(names))
	})
	mux.HandleFunc("POST "+faultPath+"silence", func(w http.ResponseWriter, _ *http.Request) {
		answerFault(w, node.SilenceConnections())
	})
	mux.HandleFunc("POST "+faultPath+"hold", func(w http.ResponseWriter, r *http.Request) {
		holds.set(front.DispatchPoint(r.URL.Query().Get("at")))
		answerFault(w, nil)
	})
	return mux
}

func answerFault(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusForbidden)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// holds stops requests at one point of their way until it is lifted.
type holds struct {
	log *logrus.Entry

	mu     sync.Mutex
	at     front.DispatchPoint
	lifted chan struct{} // closed when at changes
}

func newHolds(log *logrus.Entry) *holds {
	return &holds{log: log, lifted: make(chan struct{})}
}

// set moves the hold to a point, or nowhere, and lets go what it held.
func (h *holds) set(at front.DispatchPoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.at = at
	close(h.lifted)
	h.lifted = make(chan struct{})
}

// wait implements front.Options.AtPoint.
func (h *holds) wait(p front.DispatchPoint) {
	h.mu.Lock()
	at, lifted := h.at, h.lifted
	h.mu.Unlock()
	if at != p {
		return
	}
	h.log.WithField("point", string(p)).Info("held")
	<-lifted
	h.log.WithField("point", string(p)).Info("held_no_more")
}
