package front

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/api/callerapi"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// CreateCompletion implements callerapi.RawHandler.
func (s *Server) CreateCompletion(ctx context.Context, req *callerapi.CompletionRequest, p callerapi.CreateCompletionParams, w http.ResponseWriter) error {
	gen := generationRequest{
		shape:     shapeCompletion,
		params:    callParams{key: p.IdempotencyKey, repeatable: p.XRepeatable, deadlineMs: p.XDeadlineMs, priority: p.XPriority},
		model:     req.Model,
		maxTokens: req.MaxTokens,
		stream:    req.Stream.Or(false),
	}
	gen.prompt, gen.err = completionPrompt(req.Prompt)
	s.serveGeneration(ctx, gen, w)
	return nil
}

// CreateChatCompletion implements callerapi.RawHandler.
func (s *Server) CreateChatCompletion(ctx context.Context, req *callerapi.ChatCompletionRequest, p callerapi.CreateChatCompletionParams, w http.ResponseWriter) error {
	gen := generationRequest{
		shape:     shapeChat,
		params:    callParams{key: p.IdempotencyKey, repeatable: p.XRepeatable, deadlineMs: p.XDeadlineMs, priority: p.XPriority},
		model:     req.Model,
		maxTokens: req.MaxTokens,
		stream:    req.Stream.Or(false),
	}
	if req.MaxCompletionTokens.Set {
		gen.maxTokens = req.MaxCompletionTokens
	}
	gen.prompt, gen.err = chatPrompt(req.Messages)
	s.serveGeneration(ctx, gen, w)
	return nil
}

// generationRequest is a decoded completion or chat request.
type generationRequest struct {
	shape     answerShape
	params    callParams
	model     string
	prompt    prompt
	err       error // of decoding the prompt
	maxTokens callerapi.OptInt
	stream    bool
}

// refuseInput logs and writes the refusal of input that is not a valid request.
func (s *Server) refuseInput(w http.ResponseWriter, id string, refusal *request.Refusal) {
	s.log.WithFields(refusalFields(id, refusal)).Info("refused_input")
	writeRefusal(w, id, refusal)
}

func (s *Server) serveGeneration(ctx context.Context, gen generationRequest, w http.ResponseWriter) {
	id := newID()
	if refusal := s.beginRequest(); refusal != nil {
		writeRefusal(w, id, refusal)
		return
	}
	defer s.endRequest()
	if gen.err != nil {
		s.refuseInput(w, id, request.Refuse(request.CodeBadRequest, 0, "%s", gen.err.Error()))
		return
	}
	j, refusal := s.newGeneration(id, identityOf(ctx).customer, gen.params, gen.model, gen.prompt, gen.maxTokens)
	if refusal != nil {
		s.refuseInput(w, id, refusal)
		return
	}
	defer j.answer.release()
	meta := answerMeta{shape: gen.shape, id: id, model: gen.model, created: time.Now().Unix(), promptTokens: j.req.PromptTokens, writeTimeout: DefaultWriteTimeout}
	if gen.stream {
		j.sink = &eventSink{w: w, meta: meta}
	} else {
		j.sink = &jsonSink{w: w, meta: meta}
	}
	run := func(ctx context.Context) *request.Refusal { return s.generate(ctx, j) }
	refusal = s.serve(ctx, j, run, relayTokens(j))
	if refusal != nil {
		j.sink.refuse(refusal)
	}
	s.recordEnd(j, refusal)
}

// CallService implements callerapi.RawHandler.
func (s *Server) CallService(ctx context.Context, body callerapi.AnyJSON, p callerapi.CallServiceParams, w http.ResponseWriter) error {
	id := newID()
	if refusal := s.beginRequest(); refusal != nil {
		writeRefusal(w, id, refusal)
		return nil
	}
	defer s.endRequest()
	params := callParams{key: p.IdempotencyKey, repeatable: p.XRepeatable, deadlineMs: p.XDeadlineMs, priority: p.XPriority}
	j, refusal := s.newCall(id, identityOf(ctx).customer, params, p.Service, p.Operation, body)
	if refusal != nil {
		s.refuseInput(w, id, refusal)
		return nil
	}
	defer j.answer.release()
	var result []byte
	run := func(ctx context.Context) *request.Refusal {
		var refusal *request.Refusal
		result, refusal = s.callService(ctx, j)
		if refusal == nil && j.recording != nil {
			_, _ = j.recording.Write(result)
		}
		return refusal
	}
	readAnswer := func(r io.Reader) (err error) {
		result, err = io.ReadAll(j.answer.reader(r))
		return err
	}
	if !j.req.Repeatable {
		// The outcome of a call that was sent must be learned even when its caller
		// disconnects.
		ctx = context.WithoutCancel(ctx)
	}
	refusal = s.serve(ctx, j, run, readAnswer)
	s.recordEnd(j, refusal)
	setWriteDeadline(w, DefaultWriteTimeout)
	if refusal != nil {
		writeRefusal(w, id, refusal)
		return nil
	}
	w.Header().Set(headerRequestID, id)
	_ = writeJSON(w, result) // the caller may have gone
	return nil
}

// ListModels implements callerapi.Handler.
func (s *Server) ListModels(ctx context.Context) (callerapi.ListModelsRes, error) {
	list := &callerapi.ModelList{Object: "list", Data: []callerapi.ModelListDataItem{}}
	for _, m := range s.opts.Settings.Current().Models(identityOf(ctx).customer) {
		list.Data = append(list.Data, callerapi.ModelListDataItem{ID: m.Name, Object: "model", OwnedBy: m.Path})
	}
	return list, nil
}
