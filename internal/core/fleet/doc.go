// Package fleet keeps the list of a site's upstreams as the platform's store tells
// it: who lives, who leaves, who has gone or started anew, and how old that knowledge
// is. It is pure: no I/O, goroutines or clocks.
package fleet
