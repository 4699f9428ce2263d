// Package shutdown tells requests in progress when a daemon that leaves ends: until when they may
// be sent to an upstream, and until when they are waited for. The daemon still runs for a moment
// after that, in which the answers to those that were given up reach their callers.
package shutdown
