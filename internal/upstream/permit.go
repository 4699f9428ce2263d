package upstream

import (
	"context"
	"errors"
	"net"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/httpwire"
	"github.com/buckthorndock/buckthorndock/internal/obs"
)

// ErrNotPermitted means that the function given to WithPermit reported false: a
// connection was opened and closed again, and no byte was written.
var ErrNotPermitted = merry.Sentinel("dispatch is not permitted any more")

type permitKey struct{}

// WithPermit returns a context whose dispatches call permitted when their connection
// is open, before the first byte is written; if it reports false, nothing is sent.
func WithPermit(ctx context.Context, permitted func() bool) context.Context {
	return context.WithValue(ctx, permitKey{}, permitted)
}

// dialWithPermit returns a dial function that calls the permit of its context, if
// any, on an open connection.
func dialWithPermit(dial obs.DialFunc) httpwire.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		if err := awaitPermit(ctx); err != nil {
			_ = conn.Close()
			return nil, err
		}
		return conn, nil
	}
}

// awaitPermit asks the permit of the context, if any. It returns ErrNotPermitted, or the context's error
// if that ends while the permit is asked: a permit that comes later is not used, and nothing is sent.
func awaitPermit(ctx context.Context) error {
	permitted, ok := ctx.Value(permitKey{}).(func() bool)
	if !ok {
		return nil
	}
	answer := make(chan bool, 1)
	go func() { answer <- permitted() }()
	select {
	case granted := <-answer:
		if !granted {
			return ErrNotPermitted
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// failedBeforeOpen reports whether an error came before a connection could be
// written to: the dial failed or was not permitted.
func failedBeforeOpen(err error) bool {
	var op *net.OpError
	return errors.Is(err, ErrNotPermitted) || errors.As(err, &op) && op.Op == "dial"
}
