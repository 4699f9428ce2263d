// Package daemon assembles the components of the daemon and runs them from start
// to graceful shutdown.
package daemon
