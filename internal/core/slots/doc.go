// Package slots shares out the slots of plain servers between many hosts while the servers turn
// calls away. One host keeps the ledger: it grants leases, each for one call at one server, and
// orders the calls that wait for one. A lease is a hint that a slot is free. It protects nothing:
// whoever sends a call remains responsible for sending it at most once.
package slots
