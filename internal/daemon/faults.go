package daemon

import (
	"net/http"
	"strings"

	"github.com/buckthorndock/buckthorndock/internal/peer"
)

// faultPath leads to the fault switches of the scenarios. They are there only
// with test_faults in the daemon file.
const faultPath = "/test-faults/"

// withFaults adds the fault switches to a handler:
//
//	POST /test-faults/cut?from=NAME,NAME     cuts this host off from hosts and domains
//	POST /test-faults/silence                makes open peer connections silent
func withFaults(next http.Handler, node *peer.Node) http.Handler {
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
	return mux
}

func answerFault(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusForbidden)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
