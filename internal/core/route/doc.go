// Package route holds the checked table of routes of a site whose requests are
// opaque: which host and path leads to which service, what may be repeated, how
// long a caller waits, and whose key is whose. A Table is immutable; a newer one
// replaces it whole. The package is pure: no I/O, goroutines or clocks.
package route
