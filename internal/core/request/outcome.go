package request

import (
	"fmt"
	"time"
)

// Outcome is the terminal state of a request that is reported to its caller.
type Outcome string

// Terminal outcomes.
const (
	// Complete: the whole answer was delivered.
	Complete Outcome = "complete"
	// NotRun: no upstream ever started the request.
	NotRun Outcome = "not_run"
	// Failed: it may have run, partly or completely, and gave no complete answer.
	Failed Outcome = "failed"
	// Unknown: it is not repeatable, was sent to an upstream, and its result was lost.
	Unknown Outcome = "unknown"
)

// Code is the cause of an end without an answer. It is part of the caller API.
type Code string

// Codes, in the order of the stages that return them.
const (
	CodeBadRequest     Code = "bad_request"
	CodeTooLarge       Code = "too_large"       // body over the size limit
	CodeNeverPossible  Code = "never_possible"  // longer than any gang can hold
	CodeUnauthorized   Code = "unauthorized"    // token missing or unknown
	CodeUnknownTarget  Code = "unknown_target"  // no such model or service on the caller's path
	CodeForbidden      Code = "forbidden"       // target exists, but this caller may not use it
	CodeNotReady       Code = "not_ready"       // no settings yet
	CodeLeaving        Code = "leaving"         // the daemon is shutting down
	CodeLimit          Code = "limit"           // a limit of the settings is reached
	CodeQueueFull      Code = "queue_full"      //
	CodeDeadline       Code = "deadline"        // cannot be met, or was not met
	CodeNoUpstream     Code = "no_upstream"     // no live upstream for the target
	CodeUpstreamFailed Code = "upstream_failed" // attempts or retry budget used up
	CodeQuarantined    Code = "quarantined"     // the same request crashed upstreams
	CodeSuspect        Code = "suspect"         // may have crashed upstreams, and must wait for its trial
	CodeKeyConflict    Code = "key_conflict"    // same idempotency key, different body
	CodeKeyExpired     Code = "key_expired"     // the idempotency key is no longer protected
	CodeKeyUnavailable Code = "key_unavailable" // the claim log is unavailable
	CodeOutcomeLost    Code = "outcome_lost"    // ran at most once, answer lost
	CodeAnswerDropped  Code = "answer_dropped"  // completed, answer no longer kept
	CodeCallerGone     Code = "caller_gone"     //
	CodeInternal       Code = "internal"        //
)

// Refusal is the error of a request that ends without an answer.
type Refusal struct {
	Outcome    Outcome
	Code       Code
	Message    string
	RetryAfter time.Duration // zero: a retry by the caller does not help
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Message)
}

// Refuse returns a Refusal with the outcome NotRun, for a request that no upstream has
// started.
func Refuse(code Code, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Outcome: NotRun, Code: code, RetryAfter: retryAfter, Message: fmt.Sprintf(format, args...)}
}
