// Package platform meets the platform's services: the append-only log, the list
// of hosts and the weight store. The interfaces here are all that the rest of
// the program knows of them; a client of another wire format is added beside
// HTTP and touches no other package.
package platform
