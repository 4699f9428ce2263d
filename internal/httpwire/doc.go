// Package httpwire sends single HTTP/1.1 requests on connections that it controls.
// The codec is that of net/http; what differs from its Transport is that nothing is
// ever sent a second time: a request that broke after its first byte may have run,
// and whether it may run again is not a connection's decision. A connection is kept
// only after an answer that ended as its framing says and left no byte behind.
package httpwire
