package settings

// Document is the YAML text at one path. Scalars are inherited downwards: the
// nearest document that sets one wins. Limits add up along the path: a request
// must fit each of them. Customers, pools, models, services and operators belong
// to the path that lists them and are visible to its whole subtree.
type Document struct {
	Limits    *Limits    `yaml:"limits,omitempty"`
	Routing   *Routing   `yaml:"routing,omitempty"`
	Requests  *Requests  `yaml:"requests,omitempty"`
	Operators []Operator `yaml:"operators,omitempty"`
	Customers []Customer `yaml:"customers,omitempty"`
	Pools     []Pool     `yaml:"pools,omitempty"`
	Models    []Model    `yaml:"models,omitempty"`
	Services  []Service  `yaml:"services,omitempty"`
	// Evacuate is a failure domain whose upstreams get nothing new; only at its
	// EvacuationPath.
	Evacuate string `yaml:"evacuate,omitempty"`

	lines map[string]int // of each key that the text has, for findings
}

// Limits bound what a subtree or a customer may have in flight over the whole
// site. Zero means no limit.
type Limits struct {
	RequestsInFlight     int `yaml:"requests_in_flight,omitempty"`
	PromptTokensInFlight int `yaml:"prompt_tokens_in_flight,omitempty"`
	TokensPerSecond      int `yaml:"tokens_per_second,omitempty"` // prompt and answer
}

// Routing says how requests find an upstream.
type Routing struct {
	Policy            string  `yaml:"policy,omitempty"`             // a Policy* constant
	LongFromTokens    int     `yaml:"long_from_tokens,omitempty"`   // prompts from this length on are placed by an engine owner
	Spill             string  `yaml:"spill,omitempty"`              // a Spill* constant
	RetryBudget       float64 `yaml:"retry_budget,omitempty"`       // retries as a share of recent successes
	QueueTokens       int     `yaml:"queue_tokens,omitempty"`       // bound of a daemon's queue for a pool, in prompt tokens
	QueueRequests     int     `yaml:"queue_requests,omitempty"`     // bound of a daemon's queue for a pool
	IdleMs            int     `yaml:"idle_ms,omitempty"`            // silence on a stream that starts a probe
	QuarantineCrashes int     `yaml:"quarantine_crashes,omitempty"` // engine deaths after which a request is refused
	QuarantineS       int     `yaml:"quarantine_seconds,omitempty"` // how long it is refused
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
	SpillDead     = "dead"     // only when the own domain has no live upstream
	SpillOverload = "overload" // also when the own pool cannot meet the deadline
)

// Requests holds defaults and bounds of what callers may ask for.
type Requests struct {
	DeadlineMs      int    `yaml:"deadline_ms,omitempty"`      // without X-Deadline-Ms
	MaxDeadlineMs   int    `yaml:"max_deadline_ms,omitempty"`  // longer ones are cut to it
	Priority        string `yaml:"priority,omitempty"`         // without X-Priority
	HighestPriority string `yaml:"highest_priority,omitempty"` // a more urgent one is lowered to it
	MaxTokens       int    `yaml:"max_tokens,omitempty"`       // without max_tokens
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
	TokenSHA256 []string `yaml:"token_sha256"`     // hex; several while one is replaced
	Weight      int      `yaml:"weight,omitempty"` // share of a full queue, 1 by default
	Limits      *Limits  `yaml:"limits,omitempty"`
}

// Kinds of pool.
const (
	PoolEngine  = "engine"
	PoolService = "service"
)

// Pool is a set of like upstreams.
type Pool struct {
	Name          string     `yaml:"name"`
	Kind          string     `yaml:"kind"` // a Pool* constant
	ChecksFencing bool       `yaml:"checks_fencing,omitempty"`
	MaxOrderMs    int        `yaml:"longest_order_ms,omitempty"` // longest an order may take to act
	Upstreams     []Upstream `yaml:"upstreams"`
}

// Upstream is one engine or one server of a service.
type Upstream struct {
	Name    string `yaml:"name"`            // unique in the site
	Address string `yaml:"address"`         // IP:port
	Domain  string `yaml:"domain"`          // failure domain
	State   string `yaml:"state,omitempty"` // "leaving": no new work
}

// Model is served by the engines of a pool.
type Model struct {
	Name          string   `yaml:"name"`
	Pool          string   `yaml:"pool"`
	Version       string   `yaml:"version,omitempty"`
	Adapters      []string `yaml:"adapters,omitempty"`
	BytesPerToken float64  `yaml:"bytes_per_token,omitempty"` // first guess; learnt afterwards
	Urgent        bool     `yaml:"urgent,omitempty"`          // its weights are loaded first
	Customers     []string `yaml:"customers,omitempty"`       // empty: all of the subtree
}

// Service is a plain service behind a pool.
type Service struct {
	Name       string      `yaml:"name"`
	Pool       string      `yaml:"pool"`
	Operations []Operation `yaml:"operations"`
	Customers  []string    `yaml:"customers,omitempty"`
}

// Operation is one call of a service.
type Operation struct {
	Name       string `yaml:"name"`
	Repeatable bool   `yaml:"repeatable"`
	Priority   string `yaml:"priority,omitempty"`
	DeadlineMs int    `yaml:"deadline_ms,omitempty"`
}
