// Package claims lets a front run a request with an idempotency key at most
// once. Service is the front's side: it asks a combiner for the verdict on a
// claim, hands out the permit to dispatch, writes releases and keeps answers for
// repeats. A combiner batches the claims of one partition into few appends and
// reads them back. Every host can be any partition's combiner; the combiner has
// no authority, since the verdict comes from the log alone (core/claim).
package claims
