package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	controlPrefix  = "/standin/"
	generatePath   = "/v1/generate"
	maxControlBody = 1 << 20
	exitDie        = 1 // exit code of the fault die
	exitCrash      = 3 // exit code after a prompt with CrashMarker
	garbageText    = "%%% this is not JSON \x00\xff\n"
)

// base is what every stand-in shares: faults, the witness and the control paths.
type base struct {
	name    string
	faults  *faults
	witness *witness
	api     http.Handler
	control *http.ServeMux
	failure func(w http.ResponseWriter, status int, message string)

	exit   func(code int) // nil: die inside this process
	closed chan struct{}
	once   sync.Once

	mu    sync.Mutex
	conns *connSet
	kill  func()
}

func newBase(name string, exit func(code int)) *base {
	b := &base{
		name:    name,
		faults:  newFaults(),
		witness: &witness{},
		control: http.NewServeMux(),
		failure: writeProblem,
		exit:    exit,
		closed:  make(chan struct{}),
	}
	b.control.HandleFunc("POST /standin/fault", b.handleFault)
	b.control.HandleFunc("GET /standin/faults", b.handleFaults)
	b.control.HandleFunc("GET /standin/witness", b.handleWitness)
	return b
}

// attach implements attacher.
func (b *base) attach(conns *connSet, kill func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns, b.kill = conns, kill
}

// Close ends the stand-in's goroutines and cuts its streams.
func (b *base) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}

// SetFault switches a fault, as POST /standin/fault does.
func (b *base) SetFault(x Fault) error {
	return b.switchFault(context.Background(), x)
}

// Runs returns the witnessed runs, as GET /standin/witness does.
func (b *base) Runs() []Run {
	return b.witness.list()
}

func (b *base) switchFault(ctx context.Context, x Fault) error {
	if err := b.faults.set(x); err != nil {
		return err
	}
	logrus.WithFields(logrus.Fields{
		"standin": b.name, "kind": x.Kind, "on": x.On, "ms": x.Ms, "count": x.Count, "path": x.Path,
	}).Info("fault")
	if !x.On {
		return nil
	}
	switch x.Kind {
	case FaultDie:
		b.die(exitDie)
	case FaultSilent:
		b.silence(ctx)
	}
	return nil
}

func (b *base) silence(ctx context.Context) {
	b.mu.Lock()
	conns := b.conns
	b.mu.Unlock()
	if conns != nil {
		conns.silence(ctx)
	}
}

// die ends the process, or inside a test's process this stand-in alone.
func (b *base) die(code int) {
	logrus.WithFields(logrus.Fields{"standin": b.name, "code": code}).Warn("exit")
	if b.exit != nil {
		b.exit(code)
		return
	}
	_ = b.Close()
	b.mu.Lock()
	kill := b.kill
	b.mu.Unlock()
	if kill != nil {
		kill()
	}
}

// ServeHTTP implements http.Handler.
func (b *base) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, controlPrefix) {
		b.control.ServeHTTP(w, r)
		return
	}
	b.thaw()
	b.delay(r.URL.Path)
	if b.fails(w, r) {
		return
	}
	if _, hit := b.strikeEffect(r); hit {
		b.dropAnswer(r)
	}
	b.api.ServeHTTP(w, r)
}

// thaw waits while the stand-in is frozen. What arrived meanwhile is done after
// it, like by a process that was paused.
func (b *base) thaw() {
	for {
		changed := b.faults.wait()
		if !b.faults.isOn(FaultFreeze) {
			break
		}
		select {
		case <-changed:
		case <-b.closed:
			panic(http.ErrAbortHandler)
		}
	}
	select {
	case <-b.closed:
		panic(http.ErrAbortHandler)
	default:
	}
}

func (b *base) delay(path string) {
	x, hit := b.faults.strike(FaultSlow, path)
	if !hit {
		return
	}
	select {
	case <-time.After(time.Duration(x.Ms) * time.Millisecond):
	case <-b.closed:
	}
}

// fails answers a call that a fault makes fail.
func (b *base) fails(w http.ResponseWriter, r *http.Request) bool {
	if _, hit := b.faults.strike(FaultOutage, r.URL.Path); hit {
		b.failure(w, http.StatusServiceUnavailable, "outage")
		return true
	}
	if _, hit := b.faults.strike(FaultRefuse, r.URL.Path); hit {
		b.failure(w, http.StatusInternalServerError, "refused")
		return true
	}
	if x, hit := b.faults.strike(FaultTurnAway, r.URL.Path); hit {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(x.Ms)/1000, 'f', 3, 64))
		b.failure(w, http.StatusServiceUnavailable, "turned away")
		return true
	}
	if r.URL.Path == generatePath {
		return false // the engine puts garbage into the stream itself
	}
	if _, hit := b.faults.strike(FaultGarbage, r.URL.Path); hit {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(garbageText))
		return true
	}
	return false
}

// strikeEffect tells whether the answer to a call with an effect is to be lost.
func (b *base) strikeEffect(r *http.Request) (Fault, bool) {
	if r.Method != http.MethodPost {
		return Fault{}, false
	}
	return b.faults.strike(FaultDropAnswer, r.URL.Path)
}

// dropAnswer does what is asked and cuts the connection.
func (b *base) dropAnswer(r *http.Request) {
	if r.URL.Path == generatePath {
		ctx, cancel := context.WithCancel(r.Context())
		cancel()
		r = r.WithContext(ctx)
	}
	b.api.ServeHTTP(&discard{header: make(http.Header)}, r)
	panic(http.ErrAbortHandler)
}

// discard is a ResponseWriter whose answer nobody gets.
type discard struct {
	header http.Header
}

// Header implements http.ResponseWriter.
func (d *discard) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discard) WriteHeader(int) {}

// Flush implements http.Flusher.
func (d *discard) Flush() {}

func (b *base) handleFault(w http.ResponseWriter, r *http.Request) {
	var x Fault
	if !readControl(w, r, &x) {
		return
	}
	if err := b.switchFault(r.Context(), x); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeControl(w, x)
}

func (b *base) handleFaults(w http.ResponseWriter, _ *http.Request) {
	writeControl(w, faultList{Faults: b.faults.list()})
}

func (b *base) handleWitness(w http.ResponseWriter, _ *http.Request) {
	writeControl(w, WitnessReport{Runs: b.Runs()})
}

type faultList struct {
	Faults []Fault `json:"faults"`
}

// WitnessReport is the answer to GET /standin/witness.
type WitnessReport struct {
	Runs []Run `json:"runs"`
}

// readControl decodes the body of a control call, or answers that it is bad.
func readControl(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBody))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeControl(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
