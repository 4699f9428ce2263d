package claims

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/claim"
	"github.com/buckthorndock/buckthorndock/internal/core/option"
)

// AcquireRequest identifies the request that a front wants to run under its key.
type AcquireRequest struct {
	Customer    string
	Key         string    // idempotency key, scoped to the customer
	Fingerprint uint64    // of the request's body
	NotAfter    time.Time // the request's deadline; it is not dispatched later
}

// Result is the result of Acquire: either this host holds the key, or another claim
// does.
type Result struct {
	Offset int64 // of the holder's claim

	// Permit and Answer are set when this host holds the key. Permit.Dispatch must
	// report true before the first byte is sent. A held Result must end
	// with Service.Release or Answer.Finish.
	Permit *claim.Permit
	Answer *AnswerWriter

	// Holder is the other claim when Permit is nil. It may be of this host too;
	// Service.Await returns its answer.
	Holder claim.Holder

	record claim.Claim
}

// HoldsKey reports whether this host holds the key.
func (r Result) HoldsKey() bool { return r.Permit != nil }

// PeerRef is a daemon that can be called.
type PeerRef struct {
	Host    string
	Address string // IP:port of its peer listener
}

// Peers gives access to the other daemons.
type Peers interface {
	// Combiners lists the live hosts, this one included, in the partition's
	// rendezvous order.
	Combiners(partition int) []PeerRef
	// Address returns the peer address of a live host.
	Address(host string) (address string, ok bool)
	// Call calls a net/rpc method, for example ServiceName + ".Acquire". After an
	// error the reply may still be written to and must not be read.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// ServiceName is the name under which RPC is to be registered.
const ServiceName = "Claims"

// Defaults of Options.
const (
	DefaultBatchEvery     = 160 * time.Millisecond
	DefaultBatchDelay     = 2 * time.Millisecond
	DefaultMaxBatch       = 500
	DefaultPollTimeout    = 5 * time.Second
	DefaultLogTimeout     = 2 * time.Second
	DefaultRetryEvery     = 250 * time.Millisecond
	DefaultIdleTimeout    = time.Minute
	DefaultCallTimeout    = 1500 * time.Millisecond
	DefaultVerdictTimeout = 5 * time.Second
	DefaultMaxKeys        = 200_000
)

// Options configure a Service. Host and Incarnation must be those by which the peers
// identify this host, and Replay must be the same on all hosts; the rest has defaults.
type Options struct {
	Host        string
	Incarnation uint64        // of this process; a new one after each start
	Replay      claim.Options // the same on all hosts of the site

	BatchEvery     time.Duration // minimum time between appends to a partition
	BatchDelay     time.Duration // wait for more records before an append to an idle partition
	MaxBatch       int           // records in one append
	PollTimeout    time.Duration // maximum wait of a read for new records
	LogTimeout     time.Duration // of an append, and of a read beyond its wait
	RetryEvery     time.Duration // after an error of the log
	IdleTimeout    time.Duration // a partition unused for this long is not followed any more
	CallTimeout    time.Duration // of a call to a combiner
	VerdictTimeout time.Duration // maximum wait for a verdict
	MarkEvery      time.Duration // between marks; half the key life by default
	MaxKeys        int           // keys that a partition remembers; further claims get StateBusy

	Answers AnswerOptions
	Now     func() time.Time // time.Now by default
	Log     logrus.FieldLogger
}

func (o Options) withDefaults() Options {
	if o.Replay.KeyLife <= 0 {
		o.Replay.KeyLife = claim.DefaultKeyLife
	}
	if o.Replay.MaxSkew <= 0 {
		o.Replay.MaxSkew = claim.DefaultMaxSkew
	}
	option.Default(&o.BatchEvery, DefaultBatchEvery)
	option.Default(&o.BatchDelay, DefaultBatchDelay)
	option.Default(&o.PollTimeout, DefaultPollTimeout)
	option.Default(&o.LogTimeout, DefaultLogTimeout)
	option.Default(&o.RetryEvery, DefaultRetryEvery)
	option.Default(&o.IdleTimeout, DefaultIdleTimeout)
	option.Default(&o.CallTimeout, DefaultCallTimeout)
	option.Default(&o.VerdictTimeout, DefaultVerdictTimeout)
	option.Default(&o.MarkEvery, o.Replay.KeyLife/2)
	if o.MaxBatch <= 0 {
		o.MaxBatch = DefaultMaxBatch
	}
	if o.MaxKeys <= 0 {
		o.MaxKeys = DefaultMaxKeys
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	return o
}

// MinRetention returns the minimum time for which the log must keep claim records.
func (o Options) MinRetention() time.Duration {
	o = o.withDefaults()
	return o.Replay.Window() + 2*o.MarkEvery
}
