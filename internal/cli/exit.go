package cli

import (
	"errors"
	"fmt"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// Exit codes of the tool.
const (
	ExitOK       = 0 // done; a request was completed
	ExitFailed   = 1 // failed; a request may have run
	ExitUsage    = 2 // bad usage or bad input
	ExitRefused  = 3 // refused; a request was not run
	ExitConflict = 4 // a change conflicts with another one
	ExitUnknown  = 5 // the outcome is unknown
)

// exitError is an error with an exit code. Commands return no other type of error,
// so that every other error is a usage error.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// exitf returns a formatted error with an exit code.
func exitf(code int, format string, args ...any) error {
	return &exitError{code: code, err: fmt.Errorf(format, args...)}
}

// withFailureCode gives an error the code ExitFailed unless it already has a code.
func withFailureCode(err error) error {
	var e *exitError
	if err == nil || errors.As(err, &e) {
		return err
	}
	return &exitError{code: ExitFailed, err: err}
}

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var e *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &e):
		return e.code
	default:
		return ExitUsage
	}
}

// outcomeCode returns the exit code for the outcome of a request.
func outcomeCode(o request.Outcome) int {
	switch o {
	case request.Complete:
		return ExitOK
	case request.NotRun:
		return ExitRefused
	case request.Unknown:
		return ExitUnknown
	default:
		return ExitFailed
	}
}
