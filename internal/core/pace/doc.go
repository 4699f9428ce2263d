// Package pace spaces the requests that all hosts together send to upstreams which have
// named a limit: one host gives the turns to all. It is pure: no I/O, goroutines or clocks.
package pace
