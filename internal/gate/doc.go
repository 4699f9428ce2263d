// Package gate is admission control with queueing: it adds locking and blocking
// waits to the limits and queues of core/admission. The front calls Admit before
// it works on a request and Ticket.Done at its end.
//
// A request is either admitted or refused, by one decision under the pool's lock.
// The decision is final.
package gate
