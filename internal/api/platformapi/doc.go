// Package platformapi holds the client and server that ogen generates from
// api/platform.yaml. All but this file is generated; run go generate after a change.
package platformapi

//go:generate go tool ogen --target . --package platformapi --clean ../../../api/platform.yaml
