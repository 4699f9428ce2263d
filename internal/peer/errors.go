package peer

import (
	"errors"
	"fmt"
	"net/rpc"
)

// Reasons why a call failed, found by errors.Is.
var (
	ErrBackoff            = errors.New("waiting after a failed dial")
	ErrCut                = errors.New("cut off by a test")
	ErrClosed             = errors.New("node is closed")
	ErrUntrustedPeer      = errors.New("peer does not hold the shared key")
	ErrTestFaultsDisabled = errors.New("test faults are not allowed")
	errTooLarge           = errors.New("message too large")
	errSuperseded         = errors.New("a newer incarnation of this host runs")
)

// CallError is the error of a failed Call. Err is the cause: the context's
// error after a timeout, an rpc.ServerError when the method returned an error.
type CallError struct {
	Address string
	Method  string
	Sent    bool // the peer may have run the method
	Err     error
}

// Error returns one line.
func (e *CallError) Error() string {
	return fmt.Sprintf("call %s at %s: %v", e.Method, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error {
	return e.Err
}

// NotSent tells whether the call certainly did not reach the peer's method, so
// that it may be made elsewhere whatever it does.
func NotSent(err error) bool {
	var c *CallError
	return errors.As(err, &c) && !c.Sent
}

// IsRemote tells whether the peer's method itself returned the error.
func IsRemote(err error) bool {
	var s rpc.ServerError
	return errors.As(err, &s)
}
