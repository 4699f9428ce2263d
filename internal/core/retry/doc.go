// Package retry decides what follows an attempt that ended without a whole
// answer: its stream is resumed, the request goes to another upstream, or it is
// given up with an outcome. It is pure: no I/O, goroutines or clocks.
//
// Rules:
//   - a request that may not be repeated goes elsewhere only when not one byte of
//     it was written; after the first byte its end is unknown;
//   - nothing starts that cannot end within the deadline;
//   - a repeat of work spends from a Budget, a share of recent successes, so that
//     a failing pool does not see its load multiplied. An attempt of which no
//     byte was written cost no upstream anything and spends nothing: a dead
//     engine must not use up the budget of the live ones. Neither does an attempt
//     whose engine died: all that ran there must move at once, each death costs a
//     request one attempt, and what causes deaths is found by the quarantine.
package retry
