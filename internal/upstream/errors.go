package upstream

import (
	"errors"
	"fmt"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
)

// Refused is an upstream's answer that it did not do what was asked.
type Refused struct {
	Code    string // a code of the engine API
	Message string
	BackOff time.Duration // for which the upstream wants nothing from this host; zero: not said
}

// Error implements error.
func (r *Refused) Error() string {
	return fmt.Sprintf("upstream refused (%s): %s", r.Code, r.Message)
}

// Refusal codes that callers tell apart.
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

// NotSent means that no byte reached the upstream: the connection could not be
// opened. The work was certainly not started.
type NotSent struct {
	Err error
}

// Error implements error.
func (n *NotSent) Error() string { return "not sent: " + n.Err.Error() }

// Unwrap returns the cause.
func (n *NotSent) Unwrap() error { return n.Err }

// IsNotStarted reports whether an error proves that the upstream did not start
// the work: nothing was sent.
func IsNotStarted(err error) bool {
	var notSent *NotSent
	return errors.As(err, &notSent)
}

// IsRefused reports whether the upstream itself said no, and with which code.
func IsRefused(err error) (code string, ok bool) {
	var r *Refused
	if errors.As(err, &r) {
		return r.Code, true
	}
	return "", false
}

// classify tells a failed dial from a failure after bytes may have been sent.
func classify(err error) error {
	if err == nil {
		return nil
	}
	if dialFailed(err) {
		return &NotSent{Err: err}
	}
	return err
}

func refusedFrom(r *engineapi.RefusalStatusCode) *Refused {
	return &Refused{Code: string(r.Response.Code), Message: r.Response.Message}
}
