package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
	"github.com/buckthorndock/buckthorndock/internal/standin/answer"
)

// ServiceOptions configures a plain service.
type ServiceOptions struct {
	Name       string
	Operations []string
	Latency    time.Duration // duration of each call
	Exit       func(code int)
	Witness    io.Writer // if set, receives each change of a run as a JSON line
}

// Service is a plain service. The witness records each call of a known operation
// as one run, even if its answer is lost.
type Service struct {
	*base
	engineapi.UnimplementedHandler
	opts ServiceOptions
	runs atomic.Int64
}

// ServiceResult is the Result of the service's engineapi.CallResult.
type ServiceResult struct {
	Service    string `json:"service"`
	Operation  string `json:"operation"`
	EchoSHA256 string `json:"echo_sha256"` // SHA-256 of the body as received, in hex
	Run        int64  `json:"run"`         // number of the run in this service, from 1
}

// NewService returns a plain service.
func NewService(o ServiceOptions) *Service {
	s := &Service{base: newBase(o.Name, o.Exit), opts: o}
	s.writeFailure = writeOverloaded
	s.witness.out = o.Witness
	s.api = engineServer(s, s)
	return s
}

// engineServer wraps handlers in the generated server. NewServer fails only on
// options, and there are none.
func engineServer(h engineapi.Handler, raw engineapi.RawHandler) http.Handler {
	s, err := engineapi.NewServer(h, raw)
	if err != nil {
		panic(err)
	}
	return s
}

// CallOperation implements engineapi.Handler.
func (s *Service) CallOperation(_ context.Context, req engineapi.AnyJSON, p engineapi.CallOperationParams) (engineapi.CallOperationRes, error) {
	if !slices.Contains(s.opts.Operations, p.Operation) {
		return newRefusal(engineapi.RefusalCodeNotFound, "no operation "+p.Operation), nil
	}
	sum := hexSHA256(string(req))
	run := s.runs.Add(1)
	i := s.witness.add(Run{
		RequestID:    p.XRequestID,
		Attempt:      p.XAttempt,
		Target:       s.opts.Name + "/" + p.Operation,
		PromptSHA256: sum,
		PromptTokens: answer.PromptTokens(string(req)),
		State:        RunStarted,
	})
	select {
	case <-time.After(s.opts.Latency):
	case <-s.closed:
		s.witness.set(i, RunCrashed)
		panic(http.ErrAbortHandler)
	}
	s.waitUnfrozen()
	s.witness.set(i, RunFinished)
	raw, err := json.Marshal(ServiceResult{Service: s.opts.Name, Operation: p.Operation, EchoSHA256: sum, Run: run})
	if err != nil {
		return nil, err
	}
	return &engineapi.CallResult{RequestID: p.XRequestID, Attempt: p.XAttempt, Result: engineapi.AnyJSON(raw)}, nil
}

// GetLoad implements engineapi.Handler, so that every upstream answers the same
// probe.
func (s *Service) GetLoad(context.Context) (engineapi.GetLoadRes, error) {
	return &engineapi.LoadReport{Models: []string{}, Role: "service", Leaving: s.faults.isOn(FaultLeaving)}, nil
}

func hexSHA256(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}
