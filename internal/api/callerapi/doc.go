// Package callerapi holds the client and server that ogen generates from
// api/openapi.yaml. All but this file is generated; run go generate after a change.
package callerapi

//go:generate go tool ogen --target . --package callerapi --clean ../../../api/openapi.yaml
