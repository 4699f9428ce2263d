// Package follow keeps a daemon's settings up to date. A few hosts of each
// failure domain read the platform's log; all spread what is new to a few peers
// at once and compare with a random peer now and then. Replay itself, which
// decides what is in force, is in core/settings. Nothing is kept on disk: a fresh
// host starts from a peer, or from the snapshot stream and the log.
package follow
