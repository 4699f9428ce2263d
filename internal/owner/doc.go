// Package owner holds the two ends of long work on engines.
//
// Service is the owner's end: it polls the engines that this host owns, keeps
// the ledger of their memory, answers fronts over net/rpc (RPC), ends what
// nobody claims, and publishes a digest of its engines. Orders keeps the order
// leases of pools and gives the orders that the settings call for.
//
// Holder is the front's end: it tracks all that this host holds on engines,
// renews it with one message an owner, gathers gangs, and repeats releases and
// cancels until they are confirmed, also when the caller has gone.
//
// Decisions are made in core/ledger and core/order.
package owner
