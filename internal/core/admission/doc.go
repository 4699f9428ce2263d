// Package admission decides whether a request is admitted and in which order
// admitted requests are served: limits along the settings path (Limiter), the
// bounded fair queue of a pool (Queue), and when a refused caller may retry
// (RetryAfter). It is pure: no I/O, goroutines or clocks.
//
// Limits apply to the whole site, but each host decides alone. A host uses a
// share of each limit, computed from the usage digests that hosts publish; the
// shares of hosts that hold the same digests add up to at most the limit.
package admission
