package upstream

import (
	"bytes"
	"context"
	"io"
	"mime"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/inbound"
	"github.com/buckthorndock/buckthorndock/internal/obs"
)

// ReplyLimits bound an answer of an upstream that is read whole. The factor is for the buffer that
// grows, and for what is decoded from it.
var ReplyLimits = inbound.BodyLimits{Bytes: 8 << 20, Free: 4 << 10, Factor: 4}

// mediaTypeStream is the media type of a stream, which is read line by line and may be of any length.
const mediaTypeStream = "application/x-ndjson"

type streamKey struct{}

// withStream returns the context of a request whose answer is a stream.
func withStream(ctx context.Context) context.Context {
	return context.WithValue(ctx, streamKey{}, true)
}

func wantsStream(req *http.Request) bool { return req.Context().Value(streamKey{}) != nil }

// isStream reports whether an answer is the stream that was asked for.
func isStream(res *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(res.Header.Get("Content-Type"))
	return err == nil && res.StatusCode == http.StatusOK && mediaType == mediaTypeStream && wantsStream(res.Request)
}

// refusalReader is a transport that reads what answers a request for a stream and is none, up to
// maxErrorBody: the generated client does not close such an answer.
type refusalReader struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (r refusalReader) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := r.RoundTripper.RoundTrip(req)
	if err != nil || !wantsStream(req) || isStream(res) {
		return res, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxErrorBody))
	if err != nil {
		return nil, err
	}
	res.Body = io.NopCloser(bytes.NewReader(body))
	return res, nil
}

// NewOrderClient returns an HTTP client without an overall timeout for calls of engines whose answers
// are read whole. It counts its bytes, and bounds what it holds of all answers in m. log gets lines about broken
// answers.
func NewOrderClient(dial obs.DialFunc, m *inbound.Memory, log *logrus.Entry) *http.Client {
	c := obs.CountedClientOver(obs.PurposeEngines, dial, log)
	c.Transport = &inbound.Transport{RoundTripper: c.Transport, Memory: m, Limits: ReplyLimits}
	return c
}
