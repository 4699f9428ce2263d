// Package retry decides what follows an attempt that ended without a complete
// answer: its stream is resumed, the request is sent to another upstream, or it
// is given up with an outcome. It is pure: no I/O, goroutines or clocks.
//
// Rules:
//   - a request that must not be repeated is sent to another upstream only when
//     no byte of it was written; after the first byte its outcome is unknown;
//   - nothing starts or resumes with less than PolicyOptions.MinRemaining left
//     until the deadline;
//   - repeated work is charged to a Budget, a share of recent successes, so that
//     the load of a failing pool is not multiplied. An attempt of which no byte
//     was written caused no upstream any work and is not charged: a dead engine
//     must not use up the budget of the live ones. Neither is an attempt whose
//     engine died: all requests that ran there must move at once, each death
//     costs a request one attempt, and the quarantine finds what causes deaths.
package retry
