// Package claim implements the protocol by which a non-repeatable request runs at
// most once. Hosts append claims to a partition of the log. Verdicts follow from
// replaying the log in offset order, so all hosts that have read the same records
// reach the same verdicts. It is pure: no I/O, goroutines or clocks.
//
// Invariants:
//
//   - A claim holds its key only if the log shows no other claim of the key
//     within the key life before it, or if it supersedes a released holder.
//   - A replay that has not seen that whole window answers Uncertain, never
//     Holds. A replay that starts late is therefore at least as strict as a full
//     one.
//   - A request is dispatched only by the holder's own Permit, and a Permit is
//     either dispatched or released, never both.
package claim
