// Package claim holds the protocol by which a non-repeatable request runs at
// most once. Hosts append claims to a partition of the log; the meaning of the
// log is a pure replay in offset order, so every host that has read the same
// records reaches the same verdict. It is pure: no I/O, goroutines or clocks.
//
// Invariants:
//
//   - A claim holds its key only if the log shows no other claim of the key
//     within the key life before it, or if it supersedes a released holder.
//   - A replay that has not seen that whole window answers Uncertain, never
//     Holds. A late starter is therefore never less strict than a full replay.
//   - Only the holder's own Permit lets a request be dispatched, and a Permit
//     is either dispatched or released, never both.
package claim
