package peer

import (
	"context"
	"errors"
	"net/rpc"
	"reflect"
	"time"

	"github.com/ansel1/merry/v2"
)

var (
	errCallAbandoned = errors.New("call abandoned before it was sent")
	errBadReply      = errors.New("reply must be a non-nil pointer")
)

// Call calls a method, named "Service.Method", of the peer at an address. A context
// without a deadline gets Options.CallTimeout. Reply is written only when the
// error is nil. Args must not be changed afterwards, even after a timeout. The
// error is a *CallError, which says whether the peer may have run the method.
func (n *Node) Call(ctx context.Context, address, method string, args, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, n.opts.CallTimeout)
		defer cancel()
	}
	sent, err := n.callOnce(ctx, address, method, args, reply)
	if connectionEnded(err) && !sent && ctx.Err() == nil {
		// The pooled connection was closed before anything was written to it.
		sent, err = n.callOnce(ctx, address, method, args, reply)
	}
	if err == nil {
		return nil
	}
	if !IsRemote(err) {
		callErrors.Inc()
	}
	return merry.Wrap(&CallError{Address: address, Method: method, Sent: sent, Err: err})
}

// connectionEnded reports whether a call failed because its connection had ended.
func connectionEnded(err error) bool {
	return errors.Is(err, rpc.ErrShutdown)
}

// callOnce makes a call over the pooled connection to an address. Sent says whether
// the peer may have run the method.
func (n *Node) callOnce(ctx context.Context, address, method string, args, reply any) (sent bool, err error) {
	target := reflect.ValueOf(reply)
	if target.Kind() != reflect.Pointer || target.IsNil() {
		return false, errBadReply
	}
	if n.addressCut(address) {
		return false, ErrCut
	}
	l, err := n.pool.acquire(ctx, address)
	if err != nil {
		return false, err
	}
	start := time.Now()
	// The reply may arrive after the caller has returned, so it is decoded into a
	// value of its own.
	result := reflect.New(target.Type().Elem())
	b := &callBody{args: args}
	done := make(chan error, 1)
	go func() { done <- l.client.Call(method, b, result.Interface()) }()
	select {
	case err = <-done:
		n.pool.release(l, err != nil && !IsRemote(err))
		if err == nil {
			target.Elem().Set(result.Elem())
		}
		return !b.abandon(), err
	case <-ctx.Done():
		silent := errors.Is(ctx.Err(), context.DeadlineExceeded) && l.silentSince(start)
		if silent {
			silentReplaced.Inc()
		}
		sent = !b.abandon()
		n.pool.release(l, silent)
		return sent, ctx.Err()
	}
}

// addressCut reports whether SetCut cuts this node off from the host at an address.
func (n *Node) addressCut(address string) bool {
	if !n.opts.TestFaults {
		return false
	}
	for _, m := range n.Members() {
		if m.Address == address {
			return n.faults.isCut(remote{host: m.Host, domain: m.Domain})
		}
	}
	return false
}
