// Package membership is the pure state machine that tracks the hosts of a site:
// their identities, whether they were heard from recently, which of them are
// leaving, and the small sections of data that each of them publishes.
//
// State spreads by anti-entropy gossip. Every host has one counter, its version,
// which it raises with each heartbeat and with each section it publishes. An exchange
// starts with a digest of (key, version) pairs; the response holds what the
// requester lacks and lists what the responder lacks, which the requester then
// pushes. Holding version v of a host means holding every section of it up to v,
// so the digest need not mention sections.
//
// Inside a domain all hosts exchange. Between domains only gateways do, the
// first few live hosts of a domain by rendezvous hashing, and a record enters
// another domain only from its own one: a host seen live in another domain can
// be reached from here by some gateway, not merely by a third domain.
//
// Invariants:
//   - a newer incarnation of a host replaces an older one, never the reverse;
//   - a host that announced that it leaves is never Live again in that incarnation;
//   - the platform's list alone never makes a host live or dead;
//   - a record is not passed on once its host counts as dead here, and carries
//     its age, so that old news cannot make a dead host look live.
//
// The package does no I/O and reads no clock: time and randomness are arguments.
package membership
