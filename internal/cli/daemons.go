package cli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/buckthorndock/buckthorndock/internal/api/callerapi"
)

const (
	dialTimeout     = 2 * time.Second
	operatorTimeout = 30 * time.Second
)

// bearer is the token of every call. It is never printed.
type bearer string

// BearerAuth implements callerapi.SecuritySource.
func (b bearer) BearerAuth(context.Context, callerapi.OperationName) (callerapi.BearerAuth, error) {
	return callerapi.BearerAuth{Token: string(b)}, nil
}

// daemon is the operator API of one daemon.
type daemon struct {
	address string
	api     *callerapi.Client
}

func checkAddresses(addresses []string) error {
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return fmt.Errorf("address %q is not IP:port", a)
		}
	}
	return nil
}

// addresses returns the daemons' addresses, at least one.
func addresses(c *cli.Command) ([]string, error) {
	list := c.StringSlice(flagAddress)
	if len(list) == 0 {
		return nil, exitf(ExitUsage, "no daemon given: set --address or BUCKTHORNDOCK_ADDRESS")
	}
	return list, nil
}

// daemons returns a client for every address given.
func daemons(c *cli.Command) ([]daemon, error) {
	list, err := addresses(c)
	if err != nil {
		return nil, err
	}
	client := &http.Client{
		Timeout:   operatorTimeout,
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext},
	}
	var ds []daemon
	for _, a := range list {
		api, err := callerapi.NewClient("http://"+a, bearer(c.String(flagToken)), callerapi.WithClient(client))
		if err != nil {
			return nil, failed(err)
		}
		ds = append(ds, daemon{address: a, api: api})
	}
	return ds, nil
}

// first calls the daemons in turn until one can be reached. An answer, also an
// error answer, ends the search. An operation that is not idempotent goes on to
// the next daemon only when the connection was refused.
func first[T any](c *cli.Command, idempotent bool, call func(*callerapi.Client) (T, error)) (T, error) {
	var none T
	ds, err := daemons(c)
	if err != nil {
		return none, err
	}
	var unreachable []error
	for _, d := range ds {
		res, err := call(d.api)
		if err == nil {
			return res, nil
		}
		unreachable = append(unreachable, fmt.Errorf("daemon %s: %w", d.address, err))
		if !idempotent && !isDialError(err) {
			return none, &exitError{code: ExitUnknown, err: errors.Join(unreachable...)}
		}
	}
	return none, failed(errors.Join(unreachable...))
}

// isDialError says that no byte of the request has left.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// apiError turns an error answer of the operator API into an exit error.
func apiError(e *callerapi.ErrorStatusCode) error {
	d := e.Response.Error
	code := ExitFailed
	switch e.StatusCode {
	case http.StatusBadRequest, http.StatusNotFound:
		code = ExitUsage
	case http.StatusConflict:
		code = ExitConflict
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusServiceUnavailable, http.StatusTooManyRequests:
		code = ExitRefused
	}
	if d.Outcome == callerapi.ErrorDetailOutcomeUnknown {
		code = ExitUnknown
	}
	return exitf(code, "%s: %s", d.Code, d.Message)
}

// unexpected reports an answer that the API does not have.
func unexpected(res any) error {
	return exitf(ExitFailed, "unexpected answer %T", res)
}
