package settings

// Defaults of the values that no document on the path to the root sets.
const (
	DefaultPolicy            = PolicyLengthAware
	DefaultLongFromTokens    = 32_000    // prompt tokens
	DefaultSpill             = SpillDead // other failure domains serve when the own one has no live upstream
	DefaultRetryBudget       = 0.2       // retries per recent success
	DefaultQueueTokens       = 8_000_000 // prompt tokens per daemon and pool
	DefaultQueueRequests     = 2_000     // requests per daemon and pool
	DefaultIdleMs            = 2_000     // milliseconds
	DefaultQuarantineCrashes = 2         // engine deaths
	DefaultQuarantineS       = 600       // seconds

	DefaultDeadlineMs      = 60_000    // milliseconds
	DefaultMaxDeadlineMs   = 3_600_000 // milliseconds
	DefaultPriority        = "normal"
	DefaultHighestPriority = "urgent"
	DefaultMaxTokens       = 256      // answer tokens
	DefaultMaxBodyBytes    = 16 << 20 // bytes

	DefaultWeight        = 1      // share of a full queue
	DefaultMaxOrderMs    = 30_000 // milliseconds
	DefaultBytesPerToken = 4.0    // prompt bytes per token
)

// Bounds of every document.
const (
	MaxDocumentBytes = 512 << 10 // bytes of YAML
	MaxNesting       = 32        // levels of brackets or dashes
	MaxNameLength    = 100       // bytes
	MaxDurationMs    = 7 * 24 * 3_600_000
	MaxDurationS     = MaxDurationMs / 1000
	MaxWeight        = 10_000
	MaxCount         = 1 << 40 // of tokens, requests and bytes
)

func defaultRouting() Routing {
	return Routing{
		Policy:            DefaultPolicy,
		LongFromTokens:    DefaultLongFromTokens,
		Spill:             DefaultSpill,
		RetryBudget:       DefaultRetryBudget,
		QueueTokens:       DefaultQueueTokens,
		QueueRequests:     DefaultQueueRequests,
		IdleMs:            DefaultIdleMs,
		QuarantineCrashes: DefaultQuarantineCrashes,
		QuarantineS:       DefaultQuarantineS,
	}
}

func defaultRequests() Requests {
	return Requests{
		DeadlineMs:      DefaultDeadlineMs,
		MaxDeadlineMs:   DefaultMaxDeadlineMs,
		Priority:        DefaultPriority,
		HighestPriority: DefaultHighestPriority,
		MaxTokens:       DefaultMaxTokens,
		MaxBodyBytes:    DefaultMaxBodyBytes,
	}
}
