// Package cli is the command-line tool: it checks and changes settings, sends
// requests, shows what daemons know and decided, and runs experiments. It talks
// to daemons over the caller and operator API only.
package cli
