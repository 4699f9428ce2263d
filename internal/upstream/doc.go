// Package upstream calls engines and plain services. It hides their wire format:
// errors, streams and probes are returned as the package's own types.
package upstream
