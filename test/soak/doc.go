// Package soak runs real daemons and stand-ins of the platform as separate processes,
// disrupts them in an order drawn from a seed, and checks from what callers and upstreams
// see that every promise holds meanwhile. All of it is test code; the Makefile says how to
// run it for longer and with other seeds.
package soak
