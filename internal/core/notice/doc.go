// Package notice keeps what upstreams say of themselves in their answers, whatever was
// asked: it is the earliest word of an upstream and holds until the upstream takes it back.
// It is pure: no I/O, goroutines or clocks.
package notice
