// Package keyed follows a keyed stream of the platform's store: it reads the newest record of
// each key first, then all new records, and recovers from trimmed, lost and outdated data. Few
// daemons read the store; the others read from those, as does any daemon that the store does not
// answer.
//
// A store that was restored from an older copy of itself begins a new era, in which it assigns
// the offsets after that copy again; see era.go.
package keyed
