// Package cli implements the command-line tool buckthorndock: it checks and changes
// settings, sends requests, shows the state and the placement decisions of daemons,
// and runs load tests. It uses only the caller and operator APIs of the daemons.
package cli
