// Package relay takes one request from its entry to its end: it finds upstreams,
// sends attempts, passes the answer on and decides what follows a failure. It knows
// no wire: a body is bytes, and what the headers of callers and upstreams are called
// is known by the bindings in front of it and behind it.
//
// Promises that the code here keeps:
//   - a request that may not be repeated is sent again only after the upstream
//     promised that it has not run and never will, or when nothing was sent;
//   - "not run" is told only when that holds for every attempt;
//   - an answer is passed on whole or visibly cut short, and a stream's events once
//     each and in order;
//   - a request that is given up is answered at once.
package relay
