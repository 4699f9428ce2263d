package peer

import (
	"context"
	"crypto/tls"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// link is one authenticated connection, outgoing or incoming.
type link struct {
	tls     *tls.Conn
	conn    *countingConn
	remote  remote
	traffic *traffic

	// Bytes that are counted in traffic so far. The writing goroutine uses
	// countedSent, the reading goroutine countedReceived.
	countedSent     uint64
	countedReceived uint64
}

// handshake does the TLS handshake on a raw connection and returns the link. It
// closes the connection when the other end is not trusted.
func handshake(ctx context.Context, raw net.Conn, cfg *tls.Config, isClient bool, n *Node) (*link, error) {
	conn := newCountingConn(raw, n.opts.WriteTimeout)
	var t *tls.Conn
	if isClient {
		t = tls.Client(conn, cfg)
	} else {
		t = tls.Server(conn, cfg)
	}
	err := t.HandshakeContext(ctx)
	l := &link{tls: t, conn: conn, traffic: &n.traffic}
	l.countSent(purposeHandshake)
	l.countReceived(purposeHandshake)
	if err != nil {
		l.close()
		return nil, err
	}
	l.remote = remoteFromCert(t.ConnectionState())
	if n.faults.isCut(l.remote) {
		l.close()
		return nil, ErrCut
	}
	return l, nil
}

// close closes the raw connection without a TLS close_notify alert, whose write
// could block on a silent connection.
func (l *link) close() {
	_ = l.conn.Close()
}

// countSent counts the bytes written since the last call under a purpose.
func (l *link) countSent(purpose string) {
	now := l.conn.sent.Load()
	l.traffic.addSent(purpose, now-l.countedSent)
	l.countedSent = now
}

// countReceived counts the bytes read since the last call under a purpose.
func (l *link) countReceived(purpose string) {
	now := l.conn.received.Load()
	l.traffic.addReceived(purpose, now-l.countedReceived)
	l.countedReceived = now
}

// silentSince reports whether no data was read from the raw connection after t.
func (l *link) silentSince(t time.Time) bool {
	return !l.conn.readSince(t)
}

// Purposes of bytes that do not belong to a registered service.
const (
	purposeHandshake = "handshake"
	purposeOther     = "other"
)

// purposeOf returns the service name of a method, in lower case: the purpose under
// which its bytes are counted.
func purposeOf(method string) string {
	service, _, ok := strings.Cut(method, ".")
	if !ok || service == "" {
		return purposeOther
	}
	return strings.ToLower(service)
}

// traffic counts the bytes of a node over all its connections, in total and by
// purpose.
type traffic struct {
	sent     atomic.Uint64
	received atomic.Uint64
	purposes *purposes
}
