package front

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"math"
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/ogen-go/ogen/ogenerrors"

	"github.com/buckthorndock/buckthorndock/internal/api/callerapi"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
	"github.com/buckthorndock/buckthorndock/internal/inbound"
	"github.com/buckthorndock/buckthorndock/internal/shutdown"
)

// maxOperatorBody is the maximum size of a body that is not sent by a customer, in
// bytes.
const maxOperatorBody = 4 << 20

// bodyLimits are those of the memory of a body, whose length http.MaxBytesReader bounds. Its text is decoded
// into copies.
var bodyLimits = inbound.BodyLimits{Bytes: math.MaxInt64, Free: 4 << 10, Factor: 3}

// identity is the sender of a request: a customer, an operator, or unknown (both nil).
type identity struct {
	customer *settings.CustomerView
	operator *settings.OperatorView
}

type identityKey struct{}

func identityOf(ctx context.Context) *identity {
	id, _ := ctx.Value(identityKey{}).(*identity)
	return id
}

// errNotAuthorized is returned by HandleBearerAuth.
var errNotAuthorized = merry.Sentinel("the bearer token is missing, unknown or of another kind")

// authenticate identifies the sender of a request before its body is read, so that
// the customer's own size limit applies to the body.
func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := s.identify(bearerToken(r))
		limit := int64(maxOperatorBody)
		if id.customer != nil {
			limit = int64(id.customer.Requests.MaxBodyBytes)
		}
		if r.ContentLength != 0 { // without a body, a read is only waiting for the caller to leave
			body, release := newPacedBody(w, http.MaxBytesReader(w, r.Body, limit), s.opts.Shutdown)
			defer release()
			counted := inbound.LimitBody(body, s.opts.BodyMemory, bodyLimits)
			defer counted.Close()
			r.Body = counted
		}
		ctx := context.WithValue(r.Context(), identityKey{}, id)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func bearerToken(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return token
}

func (s *Server) identify(token string) *identity {
	id := &identity{}
	if token == "" {
		return id
	}
	if s.isFirstOperator(token) {
		id.operator = &settings.OperatorView{Name: "first-operator", Path: settings.Root}
		return id
	}
	snap := s.opts.Settings.Current()
	if c, ok := snap.CustomerByToken(token); ok {
		id.customer = c
	}
	if o, ok := snap.OperatorByToken(token); ok {
		id.operator = o
	}
	return id
}

func (s *Server) isFirstOperator(token string) bool {
	want, err := hex.DecodeString(s.opts.OperatorTokenSHA256)
	if err != nil || len(want) != sha256.Size {
		return false
	}
	got := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(want, got[:]) == 1
}

// HandleBearerAuth implements callerapi.SecurityHandler: operator calls need an
// operator, all others a customer.
func (s *Server) HandleBearerAuth(ctx context.Context, op callerapi.OperationName, _ callerapi.BearerAuth) (context.Context, error) {
	id := identityOf(ctx)
	if id == nil {
		return ctx, errNotAuthorized
	}
	switch op {
	case callerapi.GetStatusOperation, callerapi.ListPlacementsOperation,
		callerapi.GetSettingsOperation, callerapi.ChangeSettingsOperation, callerapi.GetSettingsHistoryOperation:
		if id.operator == nil {
			return ctx, errNotAuthorized
		}
	default:
		if id.customer == nil {
			return ctx, errNotAuthorized
		}
	}
	return ctx, nil
}

// handleAPIError writes an error of the generated server as a typed error body.
func (s *Server) handleAPIError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	id := newID()
	refusal := s.refusalOfAPIError(err)
	s.refuseInput(w, id, refusal)
}

func (s *Server) refusalOfAPIError(err error) *request.Refusal {
	var security *ogenerrors.SecurityError
	var tooLarge *http.MaxBytesError
	var params *ogenerrors.DecodeParamsError
	var body *ogenerrors.DecodeRequestError
	switch {
	case errors.As(err, &security):
		if !s.opts.Settings.Ready() {
			return request.Refuse(request.CodeNotReady, retryElsewhere, "this daemon has no settings yet")
		}
		return request.Refuse(request.CodeUnauthorized, 0, "%s", errNotAuthorized.Error())
	case errors.Is(err, shutdown.ErrLeaving):
		return leavingRefusal()
	case errors.As(err, &tooLarge):
		return request.Refuse(request.CodeTooLarge, 0, "the body is larger than %d bytes", tooLarge.Limit)
	case errors.Is(err, inbound.ErrNoMemory):
		return request.Refuse(request.CodeQueueFull, retryElsewhere, "the bodies of the requests in progress take all memory allowed")
	case errors.As(err, &params), errors.As(err, &body):
		return request.Refuse(request.CodeBadRequest, 0, "%s", err.Error())
	}
	s.log.WithError(err).Error("api_error")
	return request.Refuse(request.CodeInternal, retryElsewhere, "internal error")
}

func (s *Server) handleNotFound(w http.ResponseWriter, r *http.Request) {
	writeRefusal(w, newID(), request.Refuse(request.CodeUnknownTarget, 0, "no such path: %s", r.URL.Path))
}

func (s *Server) handleMethodNotAllowed(w http.ResponseWriter, r *http.Request, allowed string) {
	w.Header().Set("Allow", allowed)
	writeRefusal(w, newID(), request.Refuse(request.CodeBadRequest, 0, "%s is not allowed here, only %s", r.Method, allowed))
}
