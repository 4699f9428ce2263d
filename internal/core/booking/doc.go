// Package booking decides which engines read a prompt, and when. It keeps a book
// of what is being read and written on each engine and of what is booked next, so
// that prompts of very unlike lengths share the engines without holding each other
// up. It is pure: no I/O, goroutines or clocks; time is an argument.
//
// What is read on an engine is a pause for all who write there. So
//   - a prompt that is read fast enough to disturb nobody goes to one engine, and
//     such prompts are packed on few engines, so that the others stay clear;
//   - a longer one is read in even parts by several engines, clear ones first, in
//     parts no longer than the writers beside it bear, and it waits for its turn
//     instead of starting together with others.
//
// One daemon keeps the book for all. The book is soft state: one that is wrong,
// doubled or lost costs speed and never a promise.
package booking
