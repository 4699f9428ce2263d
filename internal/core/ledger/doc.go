// Package ledger tracks the memory that reservations of long requests, running
// requests and KV exports hold on the engines that a daemon owns.
//
// A Ledger takes inputs (an engine's books, reserve and release requests of
// fronts, renewals, answers of engines, the time) and returns the actions that
// its caller has to carry out. It is pure: time is an argument, and it makes no
// calls.
//
// Invariants:
//   - Nothing is granted on an engine before the engine's own books were read.
//   - No grant of this ledger makes the memory in use exceed the engine's total.
//     That memory includes reservations that are requested, held or not yet
//     confirmed as released, exports, and running requests without a reservation.
//   - Everything that an engine lists is ended eventually unless its holder
//     claims it: an end is requested again until the engine confirms it, and
//     again when later books still list it.
//
// Two ledgers that own one engine at the same time cost only performance: the
// engine's own accounting refuses what does not fit.
//
// A Gatherer reserves memory on all members of a gang or on none, and Turns lets
// one gang of a pool gather at a time.
package ledger
