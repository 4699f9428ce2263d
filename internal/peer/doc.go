// Package peer connects the daemons of a site. A Node listens for other
// daemons, calls them by net/rpc over mutual TLS 1.3, and drives the state
// machine of internal/core/membership with timers and these calls.
//
// All daemons share one key from the daemon file. Each derives the same ed25519
// key pair from it and accepts only a peer that proves to hold it, so that an
// untrusted peer is refused before any of its data reaches net/rpc.
//
// There is at most one pooled connection to each peer. When a call times out and
// no data at all arrived on its connection meanwhile, the connection is removed
// from the pool: a connection that no longer carries data costs one timeout, and
// the next call dials again.
package peer
