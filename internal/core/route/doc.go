// Package route holds the validated route table of a site whose requests are opaque:
// which host and path lead to which service, which requests may be repeated, how
// long a caller waits, and which customer owns each key. A Table is immutable; a
// newer one replaces it as a whole. The package is pure: no I/O, goroutines or clocks.
package route
