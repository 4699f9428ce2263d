// Package membership is the pure state machine of the hosts of a site: who
// they are, whether they were heard lately, who is leaving, and what small
// sections of data each of them has published.
//
// Spread is by anti-entropy. Every host owns one counter, its version, which
// it raises with each beat and with each section it publishes. An exchange
// starts with a digest of (key, version) pairs; the answer holds what the asker
// lacks and names what the answerer lacks, which the asker then pushes. Holding
// version v of a host means holding every section of it up to v, so that the
// digest needs no word about sections.
//
// Inside a domain all hosts exchange. Between domains only gateways do, the
// first few live hosts of a domain by rendezvous hashing, and a record enters
// another domain only from its own one: a host seen live in another domain can
// be reached from here by some gateway, not merely by a third domain.
//
// Invariants:
//   - a newer incarnation of a host replaces an older one, never the reverse;
//   - a host that said it leaves is never Live again in that incarnation;
//   - the platform's list alone never makes a host live or dead;
//   - a record is not passed on once its host counts as dead here, and carries
//     its age, so that old news cannot make a dead host look live.
//
// The package does no I/O and reads no clock: time and randomness are arguments.
package membership
