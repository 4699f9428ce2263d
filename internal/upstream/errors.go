package upstream

import (
	"errors"
	"fmt"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
)

// RefusedError is an upstream's answer that it did not do what was requested.
type RefusedError struct {
	Code    string // a code of the engine API
	Message string
	BackOff time.Duration // for which the upstream asks this host to send no requests; zero if not stated
}

// Error implements error.
func (r *RefusedError) Error() string {
	return fmt.Sprintf("upstream refused (%s): %s", r.Code, r.Message)
}

// Refusal codes of the engine API that callers handle.
const (
	CodeNoMemory      = string(engineapi.RefusalCodeNoMemory)
	CodeNoModel       = string(engineapi.RefusalCodeNoModel)
	CodeNoReservation = string(engineapi.RefusalCodeNoReservation)
	CodeLeaving       = string(engineapi.RefusalCodeLeaving)
	CodeOverloaded    = string(engineapi.RefusalCodeOverloaded)
	CodeNotFound      = string(engineapi.RefusalCodeNotFound)
	CodeStaleFence    = string(engineapi.RefusalCodeStaleFence)
	CodeBadRequest    = string(engineapi.RefusalCodeBadRequest)
)

// NotSentError means that no byte reached the upstream: the connection could not be
// opened. The work was certainly not started.
type NotSentError struct {
	Err error
}

// Error implements error.
func (n *NotSentError) Error() string { return "not sent: " + n.Err.Error() }

// Unwrap returns the cause.
func (n *NotSentError) Unwrap() error { return n.Err }

// IsNotStarted reports whether an error proves that the upstream did not start
// the work: nothing was sent.
func IsNotStarted(err error) bool {
	var notSent *NotSentError
	return errors.As(err, &notSent)
}

// RefusalCode returns the code of a RefusedError; ok is false for any other error.
func RefusalCode(err error) (code string, ok bool) {
	var r *RefusedError
	if errors.As(err, &r) {
		return r.Code, true
	}
	return "", false
}

// classify wraps the error of a failed dial in a NotSentError. Other errors, after
// which bytes may have been sent, are returned as they are.
func classify(err error) error {
	if err == nil {
		return nil
	}
	if failedBeforeOpen(err) {
		return &NotSentError{Err: err}
	}
	return err
}

// refusedFrom converts a refusal of the generated API.
func refusedFrom(r *engineapi.RefusalStatusCode) *RefusedError {
	return &RefusedError{Code: string(r.Response.Code), Message: r.Response.Message}
}
