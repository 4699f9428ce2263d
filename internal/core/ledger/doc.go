// Package ledger keeps an owner's exact books of the memory that long work,
// running requests and KV exports hold on the engines it owns.
//
// A Ledger is stepped by inputs (an engine's books, asks and releases of fronts,
// renewals, answers of engines, time) and returns the actions that its caller
// has to carry out. It is pure: time is an argument and nothing is called.
//
// Invariants:
//   - Nothing is granted on an engine before the engine's own books were read.
//   - The tokens of all reservations of an engine that are asked for, held or not
//     yet confirmed as released, with the memory of exports and of running
//     requests without a reservation, never exceed the engine's memory by an act
//     of this ledger.
//   - Whatever an engine lists ends at some time unless its holder claims it: an
//     end is asked for again until the engine confirms it, and again when later
//     books still list it.
//
// Two ledgers for one engine at once cost speed only: the engine's own
// accounting refuses what does not fit.
//
// Gather collects the members of a gang, all or none, and Turns lets one gang
// of a pool gather at a time.
package ledger
