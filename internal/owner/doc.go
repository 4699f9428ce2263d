// Package owner manages the memory that requests hold on engines, on the side of
// the host that owns an engine and on the side of the fronts that use it.
//
// Service is the owner's side: it polls the engines that this host owns, keeps
// the ledger of their memory, answers fronts over net/rpc (RPC), ends holdings
// that no front claims, and publishes a digest of its engines. Orders holds the
// order leases of pools and sends engines the orders that bring them to the state
// that the settings describe.
//
// Holder is the front's side: it tracks everything that this host holds on
// engines, renews it with one message per owner, gathers gangs, and repeats
// releases and cancels until they are confirmed, even after the caller has
// disconnected.
//
// Decisions are made in core/ledger and core/order.
package owner
