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

// bearerToken is the token sent with every call. It is never printed.
type bearerToken string

// BearerAuth implements callerapi.SecuritySource.
func (b bearerToken) BearerAuth(context.Context, callerapi.OperationName) (callerapi.BearerAuth, error) {
	return callerapi.BearerAuth{Token: string(b)}, nil
}

// daemonClient is a client of the operator API of one daemon.
type daemonClient struct {
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

// daemonAddresses returns the addresses given by --address, or an error when there
// are none.
func daemonAddresses(c *cli.Command) ([]string, error) {
	list := c.StringSlice(flagAddress)
	if len(list) == 0 {
		return nil, exitf(ExitUsage, "no daemon given: set --address or BUCKTHORNDOCK_ADDRESS")
	}
	return list, nil
}

// newDaemonClients returns a client for each given address.
func newDaemonClients(c *cli.Command) ([]daemonClient, error) {
	list, err := daemonAddresses(c)
	if err != nil {
		return nil, err
	}
	client := &http.Client{
		Timeout:   operatorTimeout,
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext},
	}
	var ds []daemonClient
	for _, a := range list {
		api, err := callerapi.NewClient("http://"+a, bearerToken(c.String(flagToken)), callerapi.WithClient(client))
		if err != nil {
			return nil, withFailureCode(err)
		}
		ds = append(ds, daemonClient{address: a, api: api})
	}
	return ds, nil
}

// callFirstReachable calls the daemons in order until one answers; an error answer
// counts as an answer. An operation that is not idempotent is tried on the next
// daemon only when the connection failed before anything was sent.
func callFirstReachable[T any](c *cli.Command, idempotent bool, call func(*callerapi.Client) (T, error)) (T, error) {
	var none T
	ds, err := newDaemonClients(c)
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
	return none, withFailureCode(errors.Join(unreachable...))
}

// isDialError reports whether connecting failed, so that nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// apiError converts an error answer of the operator API to an error with an exit code.
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

// unexpectedAnswerError returns an error for an answer type that the API does not define.
func unexpectedAnswerError(res any) error {
	return exitf(ExitFailed, "unexpected answer %T", res)
}
