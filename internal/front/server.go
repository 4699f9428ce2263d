package front

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/api/callerapi"
	"github.com/buckthorndock/buckthorndock/internal/claims"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
	"github.com/buckthorndock/buckthorndock/internal/deaths"
	"github.com/buckthorndock/buckthorndock/internal/gate"
	"github.com/buckthorndock/buckthorndock/internal/inbound"
	"github.com/buckthorndock/buckthorndock/internal/join"
	"github.com/buckthorndock/buckthorndock/internal/owner"
	"github.com/buckthorndock/buckthorndock/internal/router"
	"github.com/buckthorndock/buckthorndock/internal/shutdown"
	"github.com/buckthorndock/buckthorndock/internal/suspects"
	"github.com/buckthorndock/buckthorndock/internal/upstream"
)

// Settings is the part of the settings follower that the front uses.
type Settings interface {
	// Current returns the settings in force, never nil.
	Current() *settings.Snapshot
	// Ready reports whether settings have been loaded.
	Ready() bool
}

// Options configure a Server.
type Options struct {
	Host        string
	Domain      string
	Incarnation string
	Settings    Settings
	Router      *router.Router
	Journal     *router.Journal
	Client      *upstream.Client
	// AnswerMemory bounds what is held of the answers of upstreams.
	AnswerMemory *inbound.Memory
	// BodyMemory bounds what the bodies of requests in progress take.
	BodyMemory *inbound.Memory
	Holder     *owner.Holder
	Gate       *gate.Gate
	Claims     *claims.Service
	Join       *join.Service
	Suspects   *suspects.Tracker
	Deaths     *deaths.Checker
	Operator   Operator // status and settings
	// Shutdown tells when the daemon ends; nil if it never does.
	Shutdown *shutdown.Control
	// OperatorTokenSHA256 is the SHA-256 hash, in hex, of the site's first operator token.
	OperatorTokenSHA256 string
	// OnDispatchPoint is called at each DispatchPoint and may block; nil except in fault tests.
	OnDispatchPoint func(DispatchPoint)
	Log             *logrus.Entry
}

// Server serves callers and operators.
type Server struct {
	opts    Options
	log     *logrus.Entry
	retries *retries
	pending *pendingJobs
	notices *notices
	handler http.Handler

	leaving  atomic.Bool // reported as not ready to the load balancer
	refusing atomic.Bool // refuses new requests
	inFlight atomic.Int64

	poolsMu sync.Mutex
	pools   map[string]bool // names of the gate's pools
}

// NewServer returns a Server; Handler serves it.
func NewServer(opts Options) (*Server, error) {
	if opts.Shutdown == nil {
		opts.Shutdown = shutdown.New()
	}
	s := &Server{opts: opts, log: opts.Log, retries: newRetries(), pending: newPendingJobs(), notices: newNotices()}
	api, err := callerapi.NewServer(s, s, s,
		callerapi.WithErrorHandler(s.handleAPIError),
		callerapi.WithNotFound(s.handleNotFound),
		callerapi.WithMethodNotAllowed(s.handleMethodNotAllowed),
	)
	if err != nil {
		return nil, merry.Prepend(err, "caller API")
	}
	s.handler = s.authenticate(api)
	return s, nil
}

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler { return s.handler }

// MarkLeaving makes the daemon report itself as leaving and not ready to the load balancer.
// It still takes requests until RefuseNew is called.
func (s *Server) MarkLeaving() { s.leaving.Store(true) }

// RefuseNew makes the daemon refuse new requests; those in progress continue.
func (s *Server) RefuseNew() { s.refusing.Store(true) }

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// beginRequest counts a request as in flight, or refuses it during shutdown. The caller
// must call endRequest after a nil return.
func (s *Server) beginRequest() *request.Refusal {
	s.inFlight.Add(1)
	if s.refusing.Load() {
		s.inFlight.Add(-1)
		return leavingRefusal()
	}
	return nil
}

func (s *Server) endRequest() { s.inFlight.Add(-1) }

// retryElsewhere is the RetryAfter of refusals after which another daemon behind the
// load balancer can be expected to serve the request.
const retryElsewhere = time.Second

// GetHealth implements callerapi.Handler.
func (s *Server) GetHealth(context.Context) (*callerapi.Health, error) {
	return &callerapi.Health{Ok: true, State: s.state()}, nil
}

// GetReady implements callerapi.Handler.
func (s *Server) GetReady(context.Context) (callerapi.GetReadyRes, error) {
	state := s.state()
	health := callerapi.Health{Ok: state == stateReady, State: state}
	if lag, ok := s.opts.Operator.SettingsLag(); ok {
		health.SettingsLagS = callerapi.NewOptFloat64(lag.Seconds())
	}
	if health.Ok {
		ready := callerapi.GetReadyOK(health)
		return &ready, nil
	}
	notReady := callerapi.GetReadyServiceUnavailable(health)
	return &notReady, nil
}

// States of a daemon in its health and readiness reports.
const (
	stateReady    = "ready"
	stateStarting = "starting" // no settings yet
	stateLeaving  = "leaving"
)

func (s *Server) state() string {
	switch {
	case s.leaving.Load():
		return stateLeaving
	case !s.opts.Settings.Ready():
		return stateStarting
	}
	return stateReady
}

// GetMetrics implements callerapi.RawHandler.
func (s *Server) GetMetrics(_ context.Context, w http.ResponseWriter) error {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WritePrometheus(w, true)
	return nil
}

// newID returns a request id that sorts by time.
func newID() string {
	return uuid.Must(uuid.NewV7()).String()
}
