// Package claims runs a request with an idempotency key at most once. Service is
// the front's side: it requests the verdict on a claim from a combiner, hands out
// the permit to dispatch, writes releases and keeps answers for repeats. A combiner
// batches the claims of one partition into few appends and reads them back. Every
// host can be any partition's combiner; the combiner has no authority, since the
// verdict comes from the log alone (core/claim).
package claims
