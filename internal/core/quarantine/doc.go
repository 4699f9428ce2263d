// Package quarantine finds the requests that crash the engines that run them,
// and keeps them out, without ever keeping out those that ran beside them. It is
// pure: no I/O, goroutines or clocks.
//
// The evidence is a set of crash records: which fingerprints ran on an engine when
// it died. A fingerprint is cleared from a record when it runs to its end
// afterwards. One that is left alone in a settled record has caused that crash;
// with enough crashes in all it is refused for a set time.
//
// Until then suspects are placed apart, one to an engine and one copy at a time;
// and one that has been in enough crashes, but never proved the cause, is placed
// on an engine that runs nothing else, so that its next crash proves it. Where a
// store puts the hosts' trials in one order, it runs only under the first open
// one, so one copy at a time among all hosts. A crash under trial proves also
// where others died beside it that never come back, as long as these have been
// in no other crash; and trials are few.
//
// Invariants, for a Tracker that is told of all that runs on its engines:
//   - a request that crashes no engine is never refused, however many crashes
//     others cause beside it, for the record of each keeps its cause, but for one
//     that has used up its trials beside such causes;
//   - one that crashes each engine does so at most Crashes+1 times, copies that
//     ran at the same time before the first crash not counted, where nothing but
//     others that never come back died beside it; else MostTrialSends times more
//     than it did before hosts knew of Crashes crashes.
//
// An engine that dies by itself is evidence against whatever ran on it: to be
// refused wrongly, a request must be in Crashes deaths before it completes once,
// and all that was beside it in one of them must have completed.
package quarantine
