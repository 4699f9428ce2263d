// Package stream assembles one answer from the chunks of one or several attempts, so that the
// caller gets each token once and in order, and the answer is complete only when all its tokens
// were handed out. It is pure: no I/O, goroutines or clocks.
//
// Invariants:
//   - only chunks with the id of the request and of the running attempt are accepted;
//   - the text handed out is the tokens Options.FirstIndex to NextIndex()-1, each once, in order;
//   - a token that was handed out is never replaced: a later attempt continues after it;
//   - the answer is complete when the running attempt has sent a final marker and its total
//     equals NextIndex();
//   - a contradiction (two totals, more tokens than the total, two texts for one index) makes
//     the answer faulty, which is final.
//
// Sequence does the same for the events of a stream of which nothing but IDs is known.
package stream
