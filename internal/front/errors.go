package front

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/api/callerapi"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// Response headers.
const (
	headerRequestID    = "X-Request-Id"
	headerRetryAfter   = "Retry-After"
	headerRetryAfterMs = "Retry-After-Ms"
	// headerShouldRetry is obeyed by the usual OpenAI clients.
	headerShouldRetry = "X-Should-Retry"
)

var statusOf = map[request.Code]int{
	request.CodeBadRequest:     http.StatusBadRequest,
	request.CodeTooLarge:       http.StatusRequestEntityTooLarge,
	request.CodeNeverPossible:  http.StatusUnprocessableEntity,
	request.CodeUnauthorized:   http.StatusUnauthorized,
	request.CodeUnknownTarget:  http.StatusNotFound,
	request.CodeForbidden:      http.StatusForbidden,
	request.CodeNotReady:       http.StatusServiceUnavailable,
	request.CodeLeaving:        http.StatusServiceUnavailable,
	request.CodeLimit:          http.StatusTooManyRequests,
	request.CodeQueueFull:      http.StatusTooManyRequests,
	request.CodeNoUpstream:     http.StatusServiceUnavailable,
	request.CodeUpstreamFailed: http.StatusBadGateway,
	request.CodeQuarantined:    http.StatusUnprocessableEntity,
	request.CodeKeyConflict:    http.StatusConflict,
	request.CodeKeyExpired:     http.StatusConflict,
	request.CodeKeyUnavailable: http.StatusServiceUnavailable,
	request.CodeOutcomeLost:    http.StatusBadGateway,
	request.CodeAnswerDropped:  http.StatusGone,
	request.CodeInternal:       http.StatusInternalServerError,
}

// status returns the HTTP status of a refusal.
func status(r *request.Refusal) int {
	if r.Code == request.CodeDeadline {
		if r.Outcome == request.NotRun {
			return http.StatusServiceUnavailable
		}
		return http.StatusGatewayTimeout
	}
	s, ok := statusOf[r.Code]
	switch {
	case !ok:
		return http.StatusInternalServerError
	case r.Outcome != request.NotRun && (s == http.StatusServiceUnavailable || s == http.StatusTooManyRequests):
		// These two statuses tell clients that the request was not processed.
		return http.StatusBadGateway
	}
	return s
}

// errorBody returns the response body of a refusal.
func errorBody(requestID string, r *request.Refusal) *callerapi.ErrorBody {
	detail := callerapi.ErrorDetail{
		Code:      string(r.Code),
		Message:   r.Message,
		Type:      "buckthorndock_error",
		Outcome:   callerapi.ErrorDetailOutcome(r.Outcome),
		RequestID: requestID,
	}
	if r.RetryAfter > 0 {
		detail.RetryAfterS = callerapi.NewOptFloat64(r.RetryAfter.Seconds())
	}
	return &callerapi.ErrorBody{Error: detail}
}

// writeRefusal writes a refusal as the complete response. Nothing may have been
// written to w before.
func writeRefusal(w http.ResponseWriter, requestID string, r *request.Refusal) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerRequestID, requestID)
	if r.RetryAfter > 0 {
		h.Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
		h.Set(headerRetryAfterMs, strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
	if !worthRetrying(r) {
		h.Set(headerShouldRetry, "false")
	}
	w.WriteHeader(status(r))
	body, err := errorBody(requestID, r).MarshalJSON()
	if err != nil {
		return
	}
	_, _ = w.Write(body)
}

// worthRetrying reports whether clients with automatic retries should retry: only
// when the request was not run and a later try can succeed.
func worthRetrying(r *request.Refusal) bool {
	return r.Outcome == request.NotRun && r.RetryAfter > 0
}

// failedRefusal returns a refusal with outcome failed, for a request that may have run.
func failedRefusal(code request.Code, retryAfter time.Duration, message string) *request.Refusal {
	return &request.Refusal{Outcome: request.Failed, Code: code, RetryAfter: retryAfter, Message: message}
}

// callerGoneRefusal returns the refusal of a job whose caller has disconnected. The
// job may have run.
func callerGoneRefusal(j *job) *request.Refusal {
	refusal := failedRefusal(request.CodeCallerGone, 0, "the caller has gone")
	if !j.req.Repeatable {
		refusal.Outcome = request.Unknown
	}
	return refusal
}

// leavingRefusal refuses a job that this daemon does not run, because it shuts down.
func leavingRefusal() *request.Refusal {
	return request.Refuse(request.CodeLeaving, retryElsewhere, "this daemon is shutting down")
}

// notPermittedRefusal returns the refusal of a job whose dispatch permit had expired.
// That is no fault of the upstream, and no other upstream may be tried.
func notPermittedRefusal() *request.Refusal {
	return request.Refuse(request.CodeDeadline, retryElsewhere, "it was too late to send the request")
}
