package peer

import (
	"errors"
	"fmt"
	"net/rpc"
)

// Reasons why a call failed, for errors.Is, and other errors of a Node.
var (
	ErrBackoff            = errors.New("waiting after a failed dial")
	ErrCut                = errors.New("cut off by a test")
	ErrClosed             = errors.New("node is closed")
	ErrUntrustedPeer      = errors.New("peer does not hold the shared key")
	ErrTestFaultsDisabled = errors.New("test faults are not allowed")
	errTooLarge           = errors.New("message too large")
	errSuperseded         = errors.New("a newer incarnation of this host runs")
)

// CallError is the error of a failed Call. Err is the cause: for example the
// context's error after a timeout, or an rpc.ServerError when the method returned
// an error.
type CallError struct {
	Address string
	Method  string
	Sent    bool // the peer may have run the method
	Err     error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("call %s at %s: %v", e.Method, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error {
	return e.Err
}

// NotSent reports whether err is the error of a call that certainly did not reach
// the peer's method, so that it is safe to repeat it elsewhere even if it is not
// idempotent.
func NotSent(err error) bool {
	var c *CallError
	return errors.As(err, &c) && !c.Sent
}

// IsRemote reports whether the peer returned the error: its method, or its net/rpc
// server when there is no such method.
func IsRemote(err error) bool {
	var s rpc.ServerError
	return errors.As(err, &s)
}
