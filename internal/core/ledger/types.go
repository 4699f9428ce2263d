package ledger

import (
	"fmt"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/option"
)

// Holder is the entry host, and its incarnation, for which memory is held. A
// host's incarnations grow with each start: they are numbers without leading
// zeros, or strings of equal length that sort by start time.
type Holder struct {
	Host        string
	Incarnation string
}

// newer reports whether incarnation a was started after b.
func newer(a, b string) bool {
	if len(a) != len(b) {
		return len(a) > len(b)
	}
	return a > b
}

// Kind is the kind of a holding: what uses memory on an engine.
type Kind uint8

// Kinds of holdings.
const (
	Reservation Kind = iota + 1
	Running
	Export
)

var kindNames = map[Kind]string{Reservation: "reservation", Running: "running", Export: "export"}

// String returns the kind's name for logs.
func (k Kind) String() string {
	if n, ok := kindNames[k]; ok {
		return n
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// ID identifies one holding on an engine. Attempt is set for Running only.
type ID struct {
	Kind    Kind
	Name    string // reservation id, request id or export id
	Attempt int
}

// Item is one holding in an engine's books.
type Item struct {
	ID
	Holder      Holder
	Tokens      int64
	Reservation string // name of the reservation that a running request uses, or empty
	Orphaned    bool   // a running request whose stream is closed
}

// Books is an engine's own list of the holdings in its memory.
type Books struct {
	Engine      string
	Incarnation string
	Total       int64     // the engine's memory in tokens
	ReadStarted time.Time // when the read began; the list is at least as recent
	Items       []Item
}

// ReserveRequest is a front's request for a reservation. Repeating it with the
// same ID is idempotent.
type ReserveRequest struct {
	Engine   string
	ID       string
	Request  string // id of the request that needs the memory
	Holder   Holder
	Tokens   int64
	GangSize int       // number of gang members; 0 or 1 without a gang
	Until    time.Time // expected end of the request; zero if unknown
}

// Claim states that a holder still needs a holding.
type Claim struct {
	Engine string
	ID     ID
}

// Renewal lists everything that a holder has on the engines of one owner.
// Holdings that it leaves out are unclaimed.
type Renewal struct {
	Holder Holder
	Seq    uint64 // grows with each renewal of a holder; older renewals are ignored
	Held   []Claim
}

// RenewalReply answers a Renewal.
type RenewalReply struct {
	Newer string  // newer incarnation of the host, if one is known: the renewal is then ignored
	Gone  []Claim // claimed reservations that the engine does not hold
}

// Options configures a Ledger. Zero fields take the defaults.
type Options struct {
	UnclaimedTimeout time.Duration // a holding is ended this long after its last claim if its holder renews without it, or after its host has gone; 15 s
	SilentTimeout    time.Duration // a holding is ended this long after its last claim if its holder is silent or has never renewed; 60 s
	StreamTimeout    time.Duration // SilentTimeout of a request whose stream is open; 5 min
	RetryEvery       time.Duration // interval of repeated requests for the same end; 1 s
	DenyRetryAfter   time.Duration // RetryAfter of a denial without a better estimate; 250 ms
	HoldLimit        time.Duration // longest time that memory is kept free for a gang; 10 s
}

// Defaults of Options. Fronts renew three times per unclaimed timeout.
const (
	DefaultUnclaimedTimeout = 15 * time.Second
	DefaultSilentTimeout    = 60 * time.Second
	DefaultStreamTimeout    = 5 * time.Minute
	DefaultRetryEvery       = time.Second
	DefaultDenyRetryAfter   = 250 * time.Millisecond
	DefaultHoldLimit        = 10 * time.Second
)

func (o Options) withDefaults() Options {
	option.Default(&o.UnclaimedTimeout, DefaultUnclaimedTimeout)
	option.Default(&o.SilentTimeout, DefaultSilentTimeout)
	option.Default(&o.StreamTimeout, DefaultStreamTimeout)
	option.Default(&o.RetryEvery, DefaultRetryEvery)
	option.Default(&o.DenyRetryAfter, DefaultDenyRetryAfter)
	option.Default(&o.HoldLimit, DefaultHoldLimit)
	return o
}
