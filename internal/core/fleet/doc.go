// Package fleet keeps the list of a site's upstreams as registered in the platform's
// store: which are live, leaving, removed or restarted, and when the store was last
// read. It is pure: no I/O, goroutines or clocks.
package fleet
