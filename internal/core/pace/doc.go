// Package pace spaces the requests that all hosts together send to upstreams with a rate
// limit: one host gives out the turns for all. A turn is a time at which one request may be
// sent. The package is pure: no I/O, goroutines or clocks.
package pace
