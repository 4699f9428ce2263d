package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/buckthorndock/buckthorndock/internal/api/platformapi"
)

// problem is an error with the HTTP status that it is answered with.
type problem struct {
	status  int
	message string
}

// Error implements error.
func (p *problem) Error() string { return p.message }

// unserved answers the platform's operations that a stand-in does not have.
type unserved struct {
	platformapi.UnimplementedHandler
}

// NewError implements platformapi.Handler.
func (unserved) NewError(_ context.Context, err error) *platformapi.ProblemStatusCode {
	status := http.StatusNotImplemented
	var p *problem
	if errors.As(err, &p) {
		status = p.status
	}
	return &platformapi.ProblemStatusCode{StatusCode: status, Response: platformapi.Problem{Message: err.Error()}}
}

func writeProblem(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(&platformapi.Problem{Message: message})
}
