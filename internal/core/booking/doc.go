// Package booking decides which engines prefill a prompt, and when. It keeps a book of
// the prefills and decodes on each engine and of those booked next, so that prompts of
// very different lengths share the engines without delaying each other. It is pure: no
// I/O, goroutines or clocks; time is an argument.
//
// Prefill on an engine pauses all requests that decode there, in short its decodes. So
//   - a short prompt, whose prefill is fast enough to make no decode late, goes to one
//     engine, and short prompts are packed on few engines, so that the others stay free
//     for long ones;
//   - a long prompt is prefilled in even parts by several engines, those without decodes
//     first, in parts no longer than the decodes there tolerate, and it waits until the
//     engines are free instead of sharing them with other long prompts.
//
// One daemon keeps the book for all. The book is soft state: a wrong, duplicate or lost
// one costs speed but never correctness.
package booking
