// Package quarantine finds the requests that crash the engines that run them,
// and refuses them, without ever refusing requests that merely ran beside them.
// It is pure: no I/O, goroutines or clocks.
//
// The evidence is a set of crash records: which fingerprints ran on an engine when
// it died. A fingerprint is cleared from a record when it completes afterwards.
// The only fingerprint left open in a settled record caused that crash; once it
// has been in CrashThreshold crashes, it is refused for QuarantineTime.
//
// Until then suspects are placed apart, one to an engine and one copy at a time.
// A fingerprint that has been in CrashThreshold crashes without being proven the
// cause is placed on an engine that runs nothing else, so that its next crash is
// proof. Where a store orders the hosts' trials, it runs only under the first
// open trial, so one copy at a time among all hosts. A crash under trial is proof
// even if fingerprints beside it never return to be cleared, as long as these
// have been in no other crash. The number of trials is limited.
//
// A work is a request's fingerprint and the parts of its prompt, which other requests
// may share. Requests that are each new, with a part in common that crashes engines,
// are found by that part: it is in deaths under several works, and no answer with it
// begins. Works with such a part run under trials too; parts.go has the rules.
//
// Invariants, for a Tracker that knows of all runs on its engines:
//   - a request that crashes no engine is never refused, however many crashes
//     others cause beside it, because each record keeps its cause; except one
//     that has used up its trials beside such causes;
//   - a request that crashes every engine does so at most CrashThreshold+1 times,
//     not counting copies that ran at the same time before the first crash, if
//     none of the fingerprints beside it in its crashes ever returns; otherwise at
//     most MaxTrialSends times after hosts know of CrashThreshold crashes.
//
// An engine that dies for another reason is evidence against whatever ran on it:
// to be refused wrongly, a request must be in CrashThreshold deaths before it
// completes once, and everything beside it in one of them must have completed.
package quarantine
