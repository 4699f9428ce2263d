// Package soak plays real daemons, and stand-ins of the platform, as processes of their
// own, harms them in an order that a seed draws, and checks from what callers and
// upstreams see that every promise holds meanwhile. All of it is test code; the Makefile
// says how to run it for longer and with other seeds.
package soak
