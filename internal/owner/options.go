package owner

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/ledger"
	"github.com/buckthorndock/buckthorndock/internal/core/option"
)

// Options configure a Service. Zero durations and counts take the defaults.
type Options struct {
	Engines   Engines
	Ownership Ownership
	Publisher Publisher // nil: no digest is published
	Catalog   Catalog
	Clock     Clock // nil: time.Now
	Log       logrus.FieldLogger

	Ledger ledger.Options

	LoadEvery    time.Duration // shortest time between reads of the load of a busy engine; 500 ms
	IdleEvery    time.Duration // shortest time between reads of an idle engine's load, and between digests while all are idle; 500 ms
	BooksEvery   time.Duration // time between regular reads of an engine's books; 10 s
	PublishEvery time.Duration // shortest time between digests; 1 s
	DigestBudget int           // bytes per second of all digests of a failure domain; 6,000
	TickEvery    time.Duration // time between checks of ownership and of the ledger's timeouts; 1 s
	CallTimeout  time.Duration // of a call to an engine; 2 s
	DownAfter    int           // failed calls in a row after which an engine is down; 3
	CacheWindow  int           // cache events of an engine in a digest; 8
	MaxCacheRead int           // cache events of one read; an engine that makes more has some skipped; 32
	TurnLimit    time.Duration // longest time that one gang has the exclusive right to gather in a pool; 4 s
}

// Defaults of Options.
const (
	DefaultLoadEvery    = 500 * time.Millisecond
	DefaultIdleEvery    = 500 * time.Millisecond
	DefaultBooksEvery   = 10 * time.Second
	DefaultPublishEvery = time.Second
	DefaultDigestBudget = 6000
	DefaultTickEvery    = time.Second
	DefaultCallTimeout  = 2 * time.Second
	DefaultDownAfter    = 3
	DefaultCacheWindow  = 8
	DefaultMaxCacheRead = 32
	DefaultTurnLimit    = 4 * time.Second
)

func (o Options) withDefaults() Options {
	option.Default(&o.LoadEvery, DefaultLoadEvery)
	option.Default(&o.IdleEvery, DefaultIdleEvery)
	option.Default(&o.BooksEvery, DefaultBooksEvery)
	option.Default(&o.PublishEvery, DefaultPublishEvery)
	option.Default(&o.DigestBudget, DefaultDigestBudget)
	option.Default(&o.TickEvery, DefaultTickEvery)
	option.Default(&o.CallTimeout, DefaultCallTimeout)
	option.Default(&o.DownAfter, DefaultDownAfter)
	option.Default(&o.CacheWindow, DefaultCacheWindow)
	option.Default(&o.MaxCacheRead, DefaultMaxCacheRead)
	option.Default(&o.TurnLimit, DefaultTurnLimit)
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	return o
}
