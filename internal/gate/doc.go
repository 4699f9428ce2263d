// Package gate is where requests wait: a mutex and wait channels round the limits
// and queues of core/admission. The front calls Enter before it works on a
// request and Ticket.Done at its end.
//
// Each end is final at once: a request is let in, or refused, by one decision
// under the pool's lock, never both.
package gate
