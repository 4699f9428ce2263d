package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/buckthorndock/buckthorndock/internal/api/platformapi"
)

// statusError is an error with the HTTP status of its answer.
type statusError struct {
	status  int
	message string
}

// Error implements error.
func (p *statusError) Error() string { return p.message }

// unimplemented answers 501 to the platform operations that a stand-in lacks.
type unimplemented struct {
	platformapi.UnimplementedHandler
}

// NewError implements platformapi.Handler.
func (unimplemented) NewError(_ context.Context, err error) *platformapi.ProblemStatusCode {
	status := http.StatusNotImplemented
	var p *statusError
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
