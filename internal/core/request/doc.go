// Package request defines the types that all other packages share for one caller's
// request: its target, size, priority, deadline and outcome. It is pure: no I/O,
// goroutines or clocks.
package request
