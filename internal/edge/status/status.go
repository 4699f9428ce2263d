// Package status has the document that a daemon serves to operators as GET /status, and the sums
// over the documents of several daemons. Lists are sorted and never null; unknown fields of a later
// release are ignored by readers.
package status

// Path is where a daemon serves its status, at the metrics address.
const Path = "/status"

// States of a daemon.
const (
	StateStarting = "starting" // it does not know settings or upstreams yet
	StateReady    = "ready"
	StateLeaving  = "leaving" // it shuts down
)

// Status is what one daemon knows. It holds no keys or tokens.
type Status struct {
	Host        string  `json:"host"`
	Domain      string  `json:"domain"` // failure domain
	Region      string  `json:"region"`
	State       string  `json:"state"`
	UptimeS     float64 `json:"uptime_s"`
	Keeper      string  `json:"keeper"` // host that keeps the book for this daemon
	KeepsBook   bool    `json:"keeps_book"`
	Independent bool    `json:"independent"` // it keeps a book for itself, because no keeper answers
	// BookAttempts is the number of attempts in the book. Daemons other than the keeper have their
	// own attempts only.
	BookAttempts     int `json:"book_attempts"`
	RequestsInFlight int `json:"requests_in_flight"`

	Waiting  []Waiting `json:"waiting"`
	Refusals []Refusal `json:"refusals"`
	// Services, Demand, Customers and PlainServers are complete at a daemon that keeps the book;
	// other daemons know their own part, or nothing.
	Services     []Service     `json:"services"`
	Demand       Demand        `json:"demand"`
	Customers    []Customer    `json:"customers"`
	PlainServers []PlainServer `json:"plain_servers"`
	Upstreams    []Upstream    `json:"upstreams"`
}

// Waiting is the number of the daemon's own requests that wait for an engine.
type Waiting struct {
	Service  string `json:"service"`
	Rank     int    `json:"rank"` // 0 is the most urgent
	Requests int    `json:"requests"`
}

// Refusal is the number of the daemon's own requests that ended without a whole answer.
type Refusal struct {
	Service string `json:"service"` // empty: refused before the route was known
	Code    string `json:"code"`
	Rank    int    `json:"rank"`
	Last60S int64  `json:"last_60s"`
}

// Service is the use of the engines of a service that take new work.
type Service struct {
	Service   string `json:"service"`
	Engines   int    `json:"engines"`
	Slots     int    `json:"slots"`
	SlotsUsed int    `json:"slots_used"` // more than slots: requests queue at engines
	SlotsFree int    `json:"slots_free"`
}

// Demand is the engine time that was asked of this daemon as the keeper of the book, whether granted
// or not. A daemon that becomes the keeper starts with none.
type Demand struct {
	WindowS    float64          `json:"window_s"` // over which it was asked
	ByDomain   []DomainDemand   `json:"by_domain"`
	ByCustomer []CustomerDemand `json:"by_customer"` // the TopCustomers with the most
	Rest       RestDemand       `json:"rest"`        // of the other customers
}

// DomainDemand is what the daemons of a failure domain ask of a service.
type DomainDemand struct {
	Domain       string  `json:"domain"`
	Service      string  `json:"service"`
	EngineTimeMs float64 `json:"engine_time_ms"`
	Requests     int64   `json:"requests"`
}

// CustomerDemand is what a customer asks of all services.
type CustomerDemand struct {
	Customer     string  `json:"customer"` // empty: anonymous; "*": customers beyond the bound of the record
	EngineTimeMs float64 `json:"engine_time_ms"`
	Requests     int64   `json:"requests"`
}

// RestDemand is the sum over customers that are not listed.
type RestDemand struct {
	Customers    int     `json:"customers"`
	EngineTimeMs float64 `json:"engine_time_ms"`
	Requests     int64   `json:"requests"`
}

// Customer is the share of a customer in the engine time of a service.
type Customer struct {
	Service     string  `json:"service"`
	Customer    string  `json:"customer"` // empty: anonymous
	UseMs       float64 `json:"use_ms"`   // engine time granted within the window of the demand
	FairShareMs float64 `json:"fair_share_ms"`
	Waiting     int     `json:"waiting"` // claims
}

// PlainServer is the use of the slots of a plain server by leases.
type PlainServer struct {
	Upstream string `json:"upstream"`
	Service  string `json:"service"`
	Slots    int    `json:"slots"`
	Leased   int    `json:"leased"`
	Waiting  int    `json:"waiting"` // requests that wait for a slot of the service
}

// Upstream is the speed of an upstream.
type Upstream struct {
	Upstream string  `json:"upstream"`
	Service  string  `json:"service"`
	Factor   float64 `json:"factor"` // 1: as its figures say; 2: twice as slow
}
