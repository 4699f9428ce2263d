// Package relay carries one request from its admission to its end: it chooses upstreams,
// sends attempts, passes the answer on and decides what follows a failure. It is independent
// of the wire format: a body is bytes, and the names of headers are known only to the
// bindings for callers and for upstreams.
//
// Guarantees of this package:
//   - a request that must not be repeated is sent again only after the upstream
//     promised that it has not run and never will, or when nothing was sent;
//   - "not run" is reported only when that holds for every attempt;
//   - an answer is passed on whole or visibly cut short, and a stream's events once
//     each and in order;
//   - a request that is given up is answered at once.
package relay
