// Package front is the entry point for callers and operators: it parses,
// admits, places, streams and ends each request. It is the only process between
// a caller and an upstream. The decisions are made in the core packages; here
// are the connections and the order of the steps.
package front
