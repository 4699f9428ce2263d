package request

import (
	"fmt"
	"time"
)

// Outcome is the one terminal state that a caller is told.
type Outcome string

// Terminal outcomes.
const (
	// Complete: the whole answer was delivered.
	Complete Outcome = "complete"
	// NotRun: no upstream ever started the request.
	NotRun Outcome = "not_run"
	// Failed: it may have run, in part or whole, and gave no whole answer.
	Failed Outcome = "failed"
	// Unknown: not repeatable, dispatched, and its end was lost.
	Unknown Outcome = "unknown"
)

// Code names the cause of an end without an answer. It is part of the caller API.
type Code string

// Codes, by the stage that gives them.
const (
	CodeBadRequest     Code = "bad_request"
	CodeTooLarge       Code = "too_large"       // body over the size limit
	CodeNeverPossible  Code = "never_possible"  // longer than any gang can hold
	CodeUnauthorized   Code = "unauthorized"    // token missing or unknown
	CodeUnknownTarget  Code = "unknown_target"  // no such model or service on the caller's path
	CodeForbidden      Code = "forbidden"       // known, but not for this caller
	CodeNotReady       Code = "not_ready"       // no settings yet
	CodeLeaving        Code = "leaving"         // the daemon shuts down
	CodeLimit          Code = "limit"           // a limit of the settings is reached
	CodeQueueFull      Code = "queue_full"      //
	CodeDeadline       Code = "deadline"        // cannot be, or was not, met
	CodeNoUpstream     Code = "no_upstream"     // none alive for the target
	CodeUpstreamFailed Code = "upstream_failed" // attempts used up
	CodeQuarantined    Code = "quarantined"     // the same request crashed upstreams
	CodeSuspect        Code = "suspect"         // may have crashed upstreams, and has to wait for its turn
	CodeKeyConflict    Code = "key_conflict"    // same key, another body
	CodeKeyExpired     Code = "key_expired"     // the key's protection has ended
	CodeKeyUnavailable Code = "key_unavailable" // the claim log is away
	CodeOutcomeLost    Code = "outcome_lost"    // ran at most once, answer lost
	CodeAnswerDropped  Code = "answer_dropped"  // completed, answer no longer kept
	CodeCallerGone     Code = "caller_gone"     //
	CodeInternal       Code = "internal"        //
)

// Refusal is a final end without an answer. It is an error.
type Refusal struct {
	Outcome    Outcome
	Code       Code
	Message    string
	RetryAfter time.Duration // zero: coming back does not help
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Message)
}

// Refuse returns a Refusal of a request that no upstream has started.
func Refuse(code Code, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Outcome: NotRun, Code: code, RetryAfter: retryAfter, Message: fmt.Sprintf(format, args...)}
}
