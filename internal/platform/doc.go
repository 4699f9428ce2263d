// Package platform holds the interfaces to the platform's services: the append-only
// log, the list of hosts, the weight store and the keyed store. Other packages use
// only these interfaces, so a client of another wire format is added here, beside
// HTTP, without changes elsewhere.
package platform
