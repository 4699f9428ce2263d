package netfault

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// echo starts a server that returns each byte, and Links to it.
func echo(t *testing.T) (l *Links, address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	var d net.Dialer
	return New(func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}), listener.Addr().String()
}

func open(t *testing.T, l *Links, address string) net.Conn {
	t.Helper()
	c, err := l.Dial(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// pass sends a byte and reads it back.
func pass(c net.Conn) error {
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

func TestRefusedConnectionsLeaveOpenOnesAlone(t *testing.T) {
	l, address := echo(t)
	c := open(t, l, address)
	l.Set(Refuse)
	if err := pass(c); err != nil {
		t.Error(err)
	}
	if _, err := l.Dial(t.Context(), address); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("got %v", err)
	}
	l.Set(None)
	if err := pass(open(t, l, address)); err != nil {
		t.Error(err)
	}
}

func TestResetConnectionsEndWithAnError(t *testing.T) {
	l, address := echo(t)
	c := open(t, l, address)
	l.Set(Reset)
	if err := pass(c); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %v", err)
	}
	if _, err := l.Dial(t.Context(), address); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("got %v", err)
	}
}

func TestHangingConnectionsGoOnAfterwards(t *testing.T) {
	l, address := echo(t)
	c := open(t, l, address)
	l.Set(Hang)
	passed := make(chan error, 1)
	go func() { passed <- pass(c) }()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := l.Dial(ctx, address); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v", err)
	}
	select {
	case err := <-passed:
		t.Errorf("a byte has passed: %v", err)
	default:
	}
	l.Set(None)
	if err := <-passed; err != nil {
		t.Error(err)
	}
}

func TestClosingAHangingConnectionEndsItsUse(t *testing.T) {
	l, address := echo(t)
	c := open(t, l, address)
	l.Set(Hang)
	passed := make(chan error, 1)
	go func() { passed <- pass(c) }()
	c.Close()
	if err := <-passed; err == nil {
		t.Error("a closed connection has passed a byte")
	}
}
