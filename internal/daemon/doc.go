// Package daemon puts the parts of the daemon together and runs them from start
// to a graceful end.
package daemon
