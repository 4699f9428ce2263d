// Package settings holds the typed schema of the settings documents, their
// inheritance along the path tree, and the replay of the change log that decides
// which documents are in force. It is pure: no I/O, goroutines or clocks.
package settings
