// Package engineapi holds the client and server that ogen generates from
// api/engine.yaml. All but this file is generated; run go generate after a change.
package engineapi

//go:generate go tool ogen --target . --package engineapi --clean ../../../api/engine.yaml
