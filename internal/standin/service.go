package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
	"github.com/buckthorndock/buckthorndock/internal/standin/answer"
)

// ServiceOptions sets up a plain service.
type ServiceOptions struct {
	Name       string
	Operations []string
	Latency    time.Duration // of each call
	Exit       func(code int)
}

// Service is a plain service. Each call that reaches it is one run in the
// witness, whatever becomes of its answer.
type Service struct {
	*base
	engineapi.UnimplementedHandler
	opts ServiceOptions
	runs atomic.Int64
}

// ServiceResult is the service's own answer, within CallResult.
type ServiceResult struct {
	Service    string `json:"service"`
	Operation  string `json:"operation"`
	EchoSHA256 string `json:"echo_sha256"` // hex hash of the body as it came
	Run        int64  `json:"run"`         // ordinal of the run in this service
}

// NewService returns a plain service.
func NewService(o ServiceOptions) *Service {
	s := &Service{base: newBase(o.Name, o.Exit), opts: o}
	s.failure = writeOverloaded
	s.api = engineServer(s, s)
	return s
}

// engineServer cannot fail: the generated server takes no options here.
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
		return refusal(engineapi.RefusalCodeNotFound, "no operation "+p.Operation), nil
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
	s.thaw()
	s.witness.set(i, RunFinished)
	raw, err := json.Marshal(ServiceResult{Service: s.opts.Name, Operation: p.Operation, EchoSHA256: sum, Run: run})
	if err != nil {
		return nil, err
	}
	return &engineapi.CallResult{RequestID: p.XRequestID, Attempt: p.XAttempt, Result: engineapi.AnyJSON(raw)}, nil
}

// GetLoad implements engineapi.Handler, so that one probe fits every upstream.
func (s *Service) GetLoad(context.Context) (engineapi.GetLoadRes, error) {
	return &engineapi.LoadReport{Models: []string{}, Role: "service", Leaving: s.faults.isOn(FaultLeaving)}, nil
}

func hexSHA256(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}
