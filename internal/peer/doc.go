// Package peer connects the daemons of a site. A Node listens for other
// daemons, calls them by net/rpc over mutual TLS 1.3, and drives the state
// machine of internal/core/membership with timers and these calls.
//
// All daemons share one key from the daemon file. Each derives the same ed25519
// key pair from it and accepts only a peer that proves to hold it, so that a
// stranger is refused before a byte of it reaches net/rpc.
//
// There is at most one pooled connection to each peer. A call that times out
// while nothing at all arrived on its connection takes the connection out of
// the pool: a connection that went silent for good costs one timeout, and the
// next call dials anew.
package peer
