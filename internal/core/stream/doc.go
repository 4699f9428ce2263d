// Package stream puts one answer together from the chunks of one or several
// attempts, so that its caller gets each token once, in order, and is told
// "complete" only when the whole answer is there. It is pure: no I/O, goroutines
// or clocks.
//
// Invariants:
//   - only chunks of the request's id and of the running attempt are taken;
//   - the text handed out is the tokens 0..NextIndex()-1, each once, in order;
//   - a token handed out is never replaced: a later attempt continues after it;
//   - complete means: the running attempt gave a final marker, and its total
//     equals NextIndex();
//   - a disagreement (two totals, more tokens than the total, two texts for one
//     index) ends the answer as faulty, for good.
package stream
