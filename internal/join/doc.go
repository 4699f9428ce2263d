// Package join brings a repeatable request that is sent again under its
// idempotency key to the run that is in flight, so that both callers get one
// answer. The key's home host, the first of the failure domain by rendezvous
// hashing, knows who runs it. All of it is soft: whatever is lost or cannot be
// asked, the request runs by itself.
package join
