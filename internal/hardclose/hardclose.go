// Package hardclose makes the end of a caller's connection a reset while the answer on it is not
// whole. Where nothing but the end of the connection tells the end of an answer, an ordinary
// end would tell that it is whole, also one that comes with the end of the process.
package hardclose

import (
	"context"
	"net"
)

type connKey struct{}

// Context adds a connection to the context of its requests. It is meant for http.Server.ConnContext.
func Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Values of the option SO_LINGER, in seconds.
const (
	lingerNone    = 0  // the connection is reset when it is closed
	lingerDefault = -1 // what was written is sent, and then the connection ends
)

// Begin makes any end of the connection of a request's context a reset. The function that it returns makes it an
// ordinary end again; it is to be called once the answer is whole. Connections that are not TCP are left as
// they are.
func Begin(ctx context.Context) (whole func()) {
	tcp, ok := ctx.Value(connKey{}).(*net.TCPConn)
	if !ok {
		return func() {}
	}
	_ = tcp.SetLinger(lingerNone) // fails only on a connection that has ended
	return func() { _ = tcp.SetLinger(lingerDefault) }
}
