// Package request holds the types of one caller's request that every other
// package shares: what is asked, in which order of urgency, until when, and how
// it ended. It is pure: no I/O, goroutines or clocks.
package request
