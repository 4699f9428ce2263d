package owner

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/ledger"
)

// Options are what a Service needs. Times left zero take the defaults.
type Options struct {
	Engines   Engines
	Ownership Ownership
	Publisher Publisher // nil: no digest is published
	Catalog   Catalog
	Clock     Clock // nil: time.Now
	Log       logrus.FieldLogger

	Ledger ledger.Options

	LoadEvery    time.Duration // shortest time between load reports of an engine at work; 500 ms
	IdleEvery    time.Duration // shortest time between load reports, and digests, without work; 500 ms
	BooksEvery   time.Duration // time between reads of the books without doubt; 10 s
	PublishEvery time.Duration // shortest time between digests; 1 s
	DigestBudget int           // bytes a second of all digests of a failure domain; 6,000
	TickEvery    time.Duration // time between looks at ownership and limits; 1 s
	CallTimeout  time.Duration // of a call to an engine; 2 s
	DownAfter    int           // calls in a row without an answer after which an engine is down; 3
	CacheWindow  int           // cache events of an engine in a digest; 8
	CacheRead    int           // cache events of one read; what is beyond is left out; 32
	TurnLimit    time.Duration // longest time that one gang of a pool may gather alone; 4 s
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
	DefaultCacheRead    = 32
	DefaultTurnLimit    = 4 * time.Second
)

func (o Options) withDefaults() Options {
	setDefault(&o.LoadEvery, DefaultLoadEvery)
	setDefault(&o.IdleEvery, DefaultIdleEvery)
	setDefault(&o.BooksEvery, DefaultBooksEvery)
	setDefault(&o.PublishEvery, DefaultPublishEvery)
	setDefault(&o.DigestBudget, DefaultDigestBudget)
	setDefault(&o.TickEvery, DefaultTickEvery)
	setDefault(&o.CallTimeout, DefaultCallTimeout)
	setDefault(&o.DownAfter, DefaultDownAfter)
	setDefault(&o.CacheWindow, DefaultCacheWindow)
	setDefault(&o.CacheRead, DefaultCacheRead)
	setDefault(&o.TurnLimit, DefaultTurnLimit)
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	return o
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}
