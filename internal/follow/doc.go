// Package follow keeps the settings of a daemon up to date. A few hosts of each failure domain
// read the platform's log. All hosts push new records to a few peers at once and compare their
// state with that of a random peer at intervals. The rules of replay, which decide what is in
// force, are in core/settings. Nothing is kept on disk: a new host starts from the state of a
// peer, or from the snapshot stream and the log.
package follow
