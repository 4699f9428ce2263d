package upstream

import (
	"context"
	"errors"
	"net"

	"github.com/ansel1/merry/v2"
)

// ErrNotPermitted means that the permit of WithPermit was refused: a connection
// was opened and closed again, and no byte was written.
var ErrNotPermitted = merry.Sentinel("dispatch is not permitted any more")

type permitKey struct{}

// WithPermit has a dispatch ask for permission when its connection is open,
// before the first byte is written.
func WithPermit(ctx context.Context, permitted func() bool) context.Context {
	return context.WithValue(ctx, permitKey{}, permitted)
}

// dialPermitted opens a connection and asks the permit of its context.
func dialPermitted(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		permitted, ok := ctx.Value(permitKey{}).(func() bool)
		if ok && !permitted() {
			_ = conn.Close()
			return nil, ErrNotPermitted
		}
		return conn, nil
	}
}

// dialFailed reports whether an error came before a connection was open.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.Is(err, ErrNotPermitted) || errors.As(err, &op) && op.Op == "dial"
}
