// Package settings holds the typed schema of the settings documents, their
// inheritance along the path tree, and the replay of the change log that decides
// which documents are in force. It is pure: no I/O, goroutines or clocks.
//
// ParseDocument parses one text, and Compile joins all documents into a Snapshot, which the
// other packages query. State replays the log; its rules depend on the records alone, so that
// all versions of the program reach the same state. Cache compiles the documents of a State,
// and CheckChange validates a change before it is appended to the log.
package settings
