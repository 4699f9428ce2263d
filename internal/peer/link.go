package peer

import (
	"context"
	"crypto/tls"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// link is one trusted connection, of either direction.
type link struct {
	tls     *tls.Conn
	conn    *countingConn
	remote  remote
	traffic *traffic

	// What was counted so far. The halves belong to the writing and the reading
	// goroutine.
	countedSent     uint64
	countedReceived uint64
}

// handshake makes a link of a raw connection and closes it when the other end
// is not to be trusted. The link's silence is decided on the raw connection.
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
	l.remote = remoteOf(t.ConnectionState())
	if n.faults.isCut(l.remote) {
		l.close()
		return nil, ErrCut
	}
	return l, nil
}

// close closes the raw connection: a TLS goodbye could block on a silent one.
func (l *link) close() {
	_ = l.conn.Close()
}

func (l *link) countSent(purpose string) {
	now := l.conn.sent.Load()
	l.traffic.addSent(purpose, now-l.countedSent)
	l.countedSent = now
}

func (l *link) countReceived(purpose string) {
	now := l.conn.received.Load()
	l.traffic.addReceived(purpose, now-l.countedReceived)
	l.countedReceived = now
}

// silentSince tells whether nothing arrived after a time.
func (l *link) silentSince(t time.Time) bool {
	return !l.conn.readSince(t)
}

// Purposes of bytes that are not of a registered service.
const (
	purposeHandshake = "handshake"
	purposeOther     = "other"
)

// purposeOf returns the service of a method, in lower case.
func purposeOf(method string) string {
	service, _, ok := strings.Cut(method, ".")
	if !ok || service == "" {
		return purposeOther
	}
	return strings.ToLower(service)
}

// traffic sums the bytes of a node over all its connections.
type traffic struct {
	sent     atomic.Uint64
	received atomic.Uint64
	known    *purposes
}
