// Package notice tracks what upstreams report about themselves in their answers to any
// request: rate limits, back-offs, and that they are leaving. This is the earliest news of an
// upstream, and it holds until the upstream withdraws it or it expires. The package is pure:
// no I/O, goroutines or clocks.
package notice
