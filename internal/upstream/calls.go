package upstream

import (
	"context"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
)

// Cancel ends an attempt on an engine and frees its memory; it is idempotent.
// known is false if the engine has no such attempt.
func (c *Client) Cancel(ctx context.Context, address, requestID string, attempt int) (known bool, err error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	ec, err := c.dispatchClient(address)
	if err != nil {
		return false, err
	}
	res, err := ec.Cancel(ctx, &engineapi.CancelRequest{RequestID: requestID, Attempt: attempt})
	if err != nil {
		return false, classify(err)
	}
	switch r := res.(type) {
	case *engineapi.CancelResult:
		return r.Known, nil
	case *engineapi.RefusalStatusCode:
		return false, refusedFrom(r)
	}
	return false, unexpectedAnswer(res)
}

// Call runs an operation of a plain service on a new connection and returns its
// answer. An answer that belongs to another attempt is an error.
func (c *Client) Call(ctx context.Context, address, operation, requestID string, attempt int, body []byte) ([]byte, error) {
	ec, err := c.dispatchClient(address)
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	ctx, backOff := withBackOff(ctx)
	res, err := ec.CallOperation(ctx, engineapi.AnyJSON(body), engineapi.CallOperationParams{
		Operation:  operation,
		XRequestID: requestID,
		XAttempt:   attempt,
	})
	if err != nil {
		return nil, classify(err)
	}
	switch r := res.(type) {
	case *engineapi.CallResult:
		if r.RequestID != requestID || r.Attempt != attempt {
			return nil, merry.Errorf("answer belongs to request %q attempt %d", r.RequestID, r.Attempt)
		}
		return r.Result, nil
	case *engineapi.RefusalStatusCode:
		refused := refusedFrom(r)
		refused.BackOff = *backOff
		return nil, refused
	}
	return nil, unexpectedAnswer(res)
}

// Load returns an engine's load report.
func (c *Client) Load(ctx context.Context, address string) (*engineapi.LoadReport, error) {
	ec, err := c.pollClient(address)
	if err != nil {
		return nil, err
	}
	res, err := ec.GetLoad(ctx)
	if err != nil {
		return nil, c.handlePollError(err)
	}
	switch r := res.(type) {
	case *engineapi.LoadReport:
		return r, nil
	case *engineapi.RefusalStatusCode:
		return nil, refusedFrom(r)
	}
	return nil, unexpectedAnswer(res)
}

// CacheEvents returns an engine's cache events from a sequence number on.
func (c *Client) CacheEvents(ctx context.Context, address string, from int64) (*engineapi.CacheEvents, error) {
	ec, err := c.pollClient(address)
	if err != nil {
		return nil, err
	}
	res, err := ec.GetCacheEvents(ctx, engineapi.GetCacheEventsParams{From: from})
	if err != nil {
		return nil, c.handlePollError(err)
	}
	switch r := res.(type) {
	case *engineapi.CacheEvents:
		return r, nil
	case *engineapi.RefusalStatusCode:
		return nil, refusedFrom(r)
	}
	return nil, unexpectedAnswer(res)
}

// unexpectedAnswer returns the error for an answer of a type that the caller does
// not handle.
func unexpectedAnswer(res any) error {
	return merry.Errorf("unexpected answer type %T", res)
}
