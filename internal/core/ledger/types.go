package ledger

import (
	"fmt"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/option"
)

// Holder is an entry host and its start, on whose behalf memory is held. The
// incarnations of one host rise with its starts: numbers without leading zeros,
// or texts of one length that sort by time.
type Holder struct {
	Host        string
	Incarnation string
}

// newer tells whether incarnation a was started after b.
func newer(a, b string) bool {
	if len(a) != len(b) {
		return len(a) > len(b)
	}
	return a > b
}

// Kind says what holds memory.
type Kind uint8

// Kinds of holding.
const (
	Reservation Kind = iota + 1
	Running
	Export
)

var kindNames = map[Kind]string{Reservation: "reservation", Running: "running", Export: "export"}

// String returns the name used in logs.
func (k Kind) String() string {
	if n, ok := kindNames[k]; ok {
		return n
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// ID names one holding on an engine. Attempt is used by Running alone.
type ID struct {
	Kind    Kind
	Name    string // reservation id, request id or export id
	Attempt int
}

// Item is one line of an engine's books.
type Item struct {
	ID
	Holder      Holder
	Tokens      int64
	Reservation string // of a running request that uses one, else empty
	Orphaned    bool   // a running request whose stream is gone
}

// Books is what an engine lists as holding its memory.
type Books struct {
	Engine      string
	Incarnation string
	Total       int64     // memory in tokens
	ReadStarted time.Time // when the read began; the books are not older
	Items       []Item
}

// ReserveRequest is a front's ask for a reservation. Asking again with the same id is
// idempotent.
type ReserveRequest struct {
	Engine   string
	ID       string
	Request  string // id of the request it is for
	Holder   Holder
	Tokens   int64
	GangSize int       // members of the gang, 0 or 1 without one
	Until    time.Time // expected end of the work; zero: not known
}

// Claim says that a holder still wants a holding.
type Claim struct {
	Engine string
	ID     ID
}

// Renewal names everything that a holder has on the engines of one owner. What
// is left out is unclaimed.
type Renewal struct {
	Holder Holder
	Seq    uint64 // grows with each renewal of a holder; an older one is ignored
	Held   []Claim
}

// RenewalReply answers a Renewal.
type RenewalReply struct {
	Newer string  // a newer incarnation of the host is known; the renewal counts for nothing
	Gone  []Claim // claimed reservations that the engine does not hold (any more)
}

// Options are the limits of a Ledger. Zero fields take the defaults.
type Options struct {
	UnclaimedTimeout time.Duration // work is ended so long after its holder left it out of its renewals, or after its host has gone; 15 s
	SilentTimeout    time.Duration // work of a holder that is silent or was never heard of is ended after it; 60 s
	StreamTimeout    time.Duration // the same for a request whose stream is open; 5 min
	RetryEvery       time.Duration // time between two asks for the same end; 1 s
	DenyRetryAfter   time.Duration // retry time of a denial without a better estimate; 250 ms
	HoldLimit        time.Duration // longest time that room is kept free for a gang; 10 s
}

// Defaults of Options. Fronts renew three times in a soft limit.
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
