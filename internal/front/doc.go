// Package front is the entry point for callers and operators: it parses, admits
// and places each request and streams its answer. No other process is between a
// caller and an upstream. The decisions are made in the core packages; this package
// manages the connections and runs the steps in order.
package front
