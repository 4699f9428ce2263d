package httpwire

import (
	"context"
	"io"
	"net/http"
)

// Transport is an http.RoundTripper that sends each request on a connection of its own, which it
// closes after the answer, unless Reuse is set. It follows no redirect and decompresses nothing.
type Transport struct {
	Pool  *Pool
	Reuse bool // idle connections of the pool are used
}

// CloseIdleConnections closes the idle connections of the pool.
func (t Transport) CloseIdleConnections() { t.Pool.CloseAllIdle() }

// RoundTrip implements http.RoundTripper. Its errors, and those of reading the body, wrap the error of
// the request's context once that has ended.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	sent := req.Clone(ctx)
	sent.Close = !t.Reuse
	a, err := t.Pool.Do(ctx, req.URL.Host, sent, !t.Reuse)
	if err != nil {
		closeBody(req)
		return nil, errorOf(ctx, err)
	}
	res := *a.Response
	res.Request = req
	res.Body = &answerBody{ctx: ctx, answer: a}
	return &res, nil
}

// closeBody closes the body of a request, which may not have been sent.
func closeBody(req *http.Request) {
	if req.Body != nil {
		_ = req.Body.Close() // nothing is read from it any more
	}
}

// errorOf returns the context's error, if it has ended: the end closes the connection, which is
// what err tells then.
func errorOf(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// answerBody is the body of an Answer.
type answerBody struct {
	ctx    context.Context
	answer *Answer
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.answer.Read(p)
	if err != nil && err != io.EOF {
		err = errorOf(b.ctx, err)
	}
	return n, err
}

// Close implements io.Closer. It ends the exchange.
func (b *answerBody) Close() error {
	b.answer.Close()
	return nil
}
