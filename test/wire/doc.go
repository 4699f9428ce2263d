// Package wire tests that daemons of this release and of earlier ones read each other's messages
// and stored records.
package wire
