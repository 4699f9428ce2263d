package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	controlPrefix  = "/standin/"
	generatePath   = "/v1/generate"
	maxControlBody = 1 << 20
	exitDie        = 1 // exit code of the fault die
	exitCrash      = 3 // exit code of an engine that prefills a prompt with CrashMarker
	garbageText    = "%%% this is not JSON \x00\xff\n"
)

// base holds what every stand-in shares: its faults, its witness and the handlers
// of the control paths under /standin/.
type base struct {
	name         string
	faults       *faults
	witness      *witness
	api          http.Handler
	control      *http.ServeMux
	writeFailure func(w http.ResponseWriter, status int, message string)
	brokenHeads  atomic.Int64 // written

	exit   func(code int) // nil: terminate closes the server, not the process
	closed chan struct{}
	once   sync.Once

	mu    sync.Mutex
	conns *connSet
	kill  func()
}

func newBase(name string, exit func(code int)) *base {
	b := &base{
		name:         name,
		faults:       newFaults(),
		witness:      &witness{},
		control:      http.NewServeMux(),
		writeFailure: writeProblem,
		exit:         exit,
		closed:       make(chan struct{}),
	}
	b.control.HandleFunc("POST /standin/fault", b.handleFault)
	b.control.HandleFunc("GET /standin/faults", b.handleFaults)
	b.control.HandleFunc("GET /standin/witness", b.handleWitness)
	return b
}

// attach implements connAttacher.
func (b *base) attach(conns *connSet, kill func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns, b.kill = conns, kill
}

// Close ends the stand-in's goroutines and aborts its streams.
func (b *base) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}

// SetFault switches a fault on or off, as POST /standin/fault does.
func (b *base) SetFault(x Fault) error {
	return b.switchFault(context.Background(), x)
}

// Runs returns the recorded runs, as GET /standin/witness does.
func (b *base) Runs() []Run {
	return b.witness.list()
}

// switchFault switches a fault on or off and executes the kinds that act at once. The
// fault silent spares the connection of ctx.
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
		b.terminate(exitDie)
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

// terminate exits the process with a code. Without an exit function, as in tests,
// it closes this stand-in and its server instead.
func (b *base) terminate(code int) {
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
	b.waitUnfrozen()
	b.delay(r.URL.Path)
	if b.injectFailure(w, r) {
		return
	}
	if _, hit := b.triggerDropAnswer(r); hit {
		b.dropAnswer(r)
	}
	b.api.ServeHTTP(w, r)
}

// waitUnfrozen waits while the fault freeze is on. Calls that arrive meanwhile are
// handled afterwards, as by a process that was paused. It aborts the call if the
// stand-in is closed.
func (b *base) waitUnfrozen() {
	for {
		changed := b.faults.nextChange()
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

// delay waits for the duration of the fault slow, if it is on for the path.
func (b *base) delay(path string) {
	x, hit := b.faults.trigger(FaultSlow, path)
	if !hit {
		return
	}
	select {
	case <-time.After(time.Duration(x.Ms) * time.Millisecond):
	case <-b.closed:
	}
}

// injectFailure answers the call with the error, the garbage, the broken or the endless bytes of a fault that is on,
// and reports whether it did.
func (b *base) injectFailure(w http.ResponseWriter, r *http.Request) bool {
	if _, hit := b.faults.trigger(FaultOutage, r.URL.Path); hit {
		b.writeFailure(w, http.StatusServiceUnavailable, "outage")
		return true
	}
	if _, hit := b.faults.trigger(FaultRefuse, r.URL.Path); hit {
		b.writeFailure(w, http.StatusInternalServerError, "refused")
		return true
	}
	if x, hit := b.faults.trigger(FaultTurnAway, r.URL.Path); hit {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(x.Ms)/1000, 'f', 3, 64))
		b.writeFailure(w, http.StatusServiceUnavailable, "turned away")
		return true
	}
	if b.answerEndlessly(w, r) || b.answerBroken(w, r) {
		return true
	}
	if r.URL.Path == generatePath {
		return false // chunkWriter writes the garbage into the stream
	}
	if _, hit := b.faults.trigger(FaultGarbage, r.URL.Path); hit {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(garbageText))
		return true
	}
	return false
}

// triggerDropAnswer reports whether the fault drop_answer applies. Only POST calls
// have effects, so it leaves the others alone.
func (b *base) triggerDropAnswer(r *http.Request) (Fault, bool) {
	if r.Method != http.MethodPost {
		return Fault{}, false
	}
	return b.faults.trigger(FaultDropAnswer, r.URL.Path)
}

// dropAnswer executes the call, discards the answer and closes the connection. A
// generate call is executed with a cancelled context, so that its run is orphaned.
func (b *base) dropAnswer(r *http.Request) {
	if r.URL.Path == generatePath {
		ctx, cancel := context.WithCancel(r.Context())
		cancel()
		r = r.WithContext(ctx)
	}
	b.api.ServeHTTP(&discardWriter{header: make(http.Header)}, r)
	panic(http.ErrAbortHandler)
}

// discardWriter is an http.ResponseWriter that discards the answer.
type discardWriter struct {
	header http.Header
}

// Header implements http.ResponseWriter.
func (d *discardWriter) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discardWriter) WriteHeader(int) {}

// Flush implements http.Flusher.
func (d *discardWriter) Flush() {}

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

// readControl decodes the JSON body of a control call into v. If it cannot, it
// answers 400 and returns false.
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
