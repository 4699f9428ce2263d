package settings

// Document is the parsed YAML text at one path. Routing and requests are inherited: the
// nearest document on the path to the root that sets a value wins. Limits apply together: a
// request must fit those of every path up to the root. Customers, pools, models, services and
// operators belong to the path that lists them and are visible to its whole subtree.
type Document struct {
	Limits    *Limits    `yaml:"limits,omitempty"`
	Routing   *Routing   `yaml:"routing,omitempty"`
	Requests  *Requests  `yaml:"requests,omitempty"`
	Operators []Operator `yaml:"operators,omitempty"`
	Customers []Customer `yaml:"customers,omitempty"`
	Pools     []Pool     `yaml:"pools,omitempty"`
	Models    []Model    `yaml:"models,omitempty"`
	Services  []Service  `yaml:"services,omitempty"`
	// Evacuate names a failure domain whose upstreams get no new requests. It is allowed only
	// in the document at its EvacuationPath.
	Evacuate string `yaml:"evacuate,omitempty"`

	lines map[string]int // line of each key that the text has, for findings
}

// Limits bound the load of a subtree or a customer over the whole site. Zero means no limit.
type Limits struct {
	RequestsInFlight     int `yaml:"requests_in_flight,omitempty"`
	PromptTokensInFlight int `yaml:"prompt_tokens_in_flight,omitempty"`
	TokensPerSecond      int `yaml:"tokens_per_second,omitempty"` // prompt and answer
}

// Routing configures how upstreams are chosen for requests.
type Routing struct {
	Policy            string  `yaml:"policy,omitempty"`             // a Policy* constant
	LongFromTokens    int     `yaml:"long_from_tokens,omitempty"`   // prompts of at least this length are placed by an engine's owner
	Spill             string  `yaml:"spill,omitempty"`              // a Spill* constant
	RetryBudget       float64 `yaml:"retry_budget,omitempty"`       // retries as a share of recent successes
	QueueTokens       int     `yaml:"queue_tokens,omitempty"`       // max prompt tokens in a daemon's queue for a pool
	QueueRequests     int     `yaml:"queue_requests,omitempty"`     // max requests in a daemon's queue for a pool
	IdleMs            int     `yaml:"idle_ms,omitempty"`            // silence on a stream that starts a probe
	QuarantineCrashes int     `yaml:"quarantine_crashes,omitempty"` // engine deaths after which a request is refused
	QuarantineS       int     `yaml:"quarantine_seconds,omitempty"` // seconds for which it is refused
}

// Placement policies.
const (
	PolicyRandom              = "random"
	PolicyLeastLoaded         = "least-loaded"
	PolicyLeastLoadedPriority = "least-loaded+priority"
	PolicyLengthAware         = "length-aware"
)

// Spill rules: when another failure domain's upstreams may serve.
const (
	SpillNever    = "never"
	SpillDead     = "dead"     // only when the own failure domain has no live upstream
	SpillOverload = "overload" // also when the own pool cannot meet the deadline
)

// Requests holds defaults and bounds of the parameters of requests.
type Requests struct {
	DeadlineMs      int    `yaml:"deadline_ms,omitempty"`      // default when the request has no X-Deadline-Ms
	MaxDeadlineMs   int    `yaml:"max_deadline_ms,omitempty"`  // longer deadlines are reduced to it
	Priority        string `yaml:"priority,omitempty"`         // default when the request has no X-Priority
	HighestPriority string `yaml:"highest_priority,omitempty"` // more urgent priorities are lowered to it
	MaxTokens       int    `yaml:"max_tokens,omitempty"`       // default when the request has no max_tokens
	MaxBodyBytes    int    `yaml:"max_body_bytes,omitempty"`
}

// Operator may read and change settings at its path and below.
type Operator struct {
	Name        string   `yaml:"name"`
	TokenSHA256 []string `yaml:"token_sha256"` // hex
}

// Customer is a caller; its name is unique in the site.
type Customer struct {
	Name        string   `yaml:"name"`
	TokenSHA256 []string `yaml:"token_sha256"`     // hex; more than one while a token is being replaced
	Weight      int      `yaml:"weight,omitempty"` // relative share of a full queue, 1 by default
	Limits      *Limits  `yaml:"limits,omitempty"`
}

// Kinds of pool.
const (
	PoolEngine  = "engine"
	PoolService = "service"
)

// Pool is a set of interchangeable upstreams.
type Pool struct {
	Name          string     `yaml:"name"`
	Kind          string     `yaml:"kind"` // a Pool* constant
	ChecksFencing bool       `yaml:"checks_fencing,omitempty"`
	MaxOrderMs    int        `yaml:"longest_order_ms,omitempty"` // longest time in milliseconds until an order takes effect
	Upstreams     []Upstream `yaml:"upstreams"`
}

// Upstream is one engine or one server of a service.
type Upstream struct {
	Name    string `yaml:"name"`            // unique in the site
	Address string `yaml:"address"`         // IP:port
	Domain  string `yaml:"domain"`          // failure domain
	State   string `yaml:"state,omitempty"` // StateLeaving or empty
}

// Model is a model that the engines of a pool serve.
type Model struct {
	Name          string   `yaml:"name"`
	Pool          string   `yaml:"pool"`
	Version       string   `yaml:"version,omitempty"`
	Adapters      []string `yaml:"adapters,omitempty"`
	BytesPerToken float64  `yaml:"bytes_per_token,omitempty"` // initial estimate, replaced by observed values
	Urgent        bool     `yaml:"urgent,omitempty"`          // its weights are loaded first
	Customers     []string `yaml:"customers,omitempty"`       // empty: all of the subtree
}

// Service is a plain service that the upstreams of a pool serve.
type Service struct {
	Name       string      `yaml:"name"`
	Pool       string      `yaml:"pool"`
	Operations []Operation `yaml:"operations"`
	Customers  []string    `yaml:"customers,omitempty"`
}

// Operation is one kind of call to a service.
type Operation struct {
	Name       string `yaml:"name"`
	Repeatable bool   `yaml:"repeatable"`
	Priority   string `yaml:"priority,omitempty"`
	DeadlineMs int    `yaml:"deadline_ms,omitempty"`
}
