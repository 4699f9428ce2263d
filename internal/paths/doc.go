// Package paths opens connections to upstreams. While a daemon reaches no upstream of a failure
// domain itself, it opens them through other daemons that do; the state machine of
// internal/core/reach decides when.
//
// A Tracker makes the probes that this needs and asks other daemons what they reach. It answers
// such questions by its own connections only, so that no daemon takes another one's path for
// its own.
package paths
