// Package settings holds the typed schema of the settings documents, their
// inheritance along the path tree, and the replay of the change log that decides
// which documents are in force. It is pure: no I/O, goroutines or clocks.
//
// ParseDocument reads one text, Compile joins all documents into a Snapshot that
// answers the other packages. State replays the log; its rules depend on the
// records alone, so that all versions of the program agree. Cache stands between
// the two and Check tests a change before it is published.
package settings
