// Package admission decides whether a request may enter and in which order
// admitted ones are served: limits along the settings path (Limiter), the bounded
// fair queue of a pool (Queue), and when a refused caller may come back
// (RetryAfter). It is pure: no I/O, goroutines or clocks.
//
// Limits hold over the whole site while each host decides alone. A host uses a
// share of each limit, worked out from the usage digests that hosts publish; the
// shares of hosts that hold the same digests add up to the limit or less.
package admission
