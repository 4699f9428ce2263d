// Package join lets a repeatable request that is sent again under its idempotency
// key share the answer of the run in flight. The key's home host, the first of the
// failure domain by rendezvous hashing, keeps a registry of the runs. All state is
// best effort: if any of it is lost or a host cannot be reached, the request runs
// without sharing.
package join
