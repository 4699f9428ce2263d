// Package upstream speaks to engines and plain services. Their wire format is
// known here and nowhere else: what is returned are the package's own types and
// errors.
package upstream
