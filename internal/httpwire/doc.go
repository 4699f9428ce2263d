// Package httpwire sends single HTTP/1.1 requests on connections that it controls.
// It uses the codec of net/http, but unlike http.Transport it never sends a request a
// second time: one whose connection broke after its first byte may have run, and
// only the caller can decide whether it may run again. A connection is kept only
// after an answer that ended as its framing says, with no bytes after it.
package httpwire
