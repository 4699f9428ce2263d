package soak

import (
	"bufio"
	"cmp"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthorndock/buckthorndock/platform/standin"
)

// runRole runs a stand-in until its input ends.
func runRole(role string) {
	ip := os.Getenv("SOAK_IP")
	switch role {
	case "store":
		runStore(ip)
	case "server":
		runServer(cmp.Or(os.Getenv("SOAK_TO"), net.JoinHostPort(ip, "0")), os.Getenv("SOAK_NAME"))
	case "links":
		runLinks(ip)
	case "mutant":
		runMutant(ip)
	case "daemon":
		runDaemon(ip, os.Getenv("SOAK_TO"))
	default:
		panic("unknown role " + role)
	}
}

func listen(ip string) net.Listener {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		panic(err)
	}
	return l
}

// storeFaults are the faults of the store, by name.
var storeFaults = map[string]standin.Fault{
	"refuses": {Status: http.StatusServiceUnavailable},
	"limits":  {Status: http.StatusTooManyRequests},
	"hangs":   {Hang: true},
	"slow":    {Delay: 300 * time.Millisecond},
	"loses":   {DropAnswers: true},
	"trimmed": {Trimmed: true},
}

func runStore(ip string) {
	store, l := standin.NewStore(), listen(ip)
	store.PageSize = 500
	go func() { panic(http.Serve(l, store)) }()
	writeReport(report{What: "listening", Address: l.Addr().String()})
	readCommands(func(c command) {
		switch c.Op {
		case "put":
			store.Put(c.Stream, c.Key, c.Value)
			if c.Name != "" {
				writeReport(report{What: "stored", ID: c.Name, At: time.Now().UnixNano()})
			}
		case "fault":
			store.SetFault(storeFaults[c.Fault])
		case "save":
			store.Save()
		case "restore":
			store.Restore()
		}
	})
}

// Sizes and times of what servers do. The query of a request selects the kind of answer.
const (
	streamEvents      = 8
	endlessCount      = 100
	streamPause       = 10 * time.Millisecond
	endlessPause      = 100 * time.Millisecond
	crashAfter        = 60 * time.Millisecond
	heartbeatInterval = 300 * time.Millisecond
)

// ownAnswer returns the body that a request with this id and body must get.
func ownAnswer(id, body string) string {
	return fmt.Sprintf("%s:%x\n", id, sha256.Sum256([]byte(body))) + strings.Repeat(id, 200)
}

func ownEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

func runServer(address, name string) {
	s, err := standin.ListenAt(address, name)
	if err != nil {
		panic(err)
	}
	var backOff atomic.Value // seconds; 0: it serves
	backOff.Store(0.0)
	var slowness atomic.Value // factor of the time for what it begins; 0: the usual time
	slowness.Store(0.0)
	var endless atomic.Pointer[command] // nil: it sends no endless answers
	var answers atomic.Int64
	slots, reader := newSlotCounter(name), &engineReader{}
	s.SetAnswer(func(w *bufio.Writer, r *http.Request) bool {
		id := standin.ID(r.Header)
		if seconds := backOff.Load().(float64); seconds > 0 {
			writeReport(report{What: "turned", ID: id, Server: name, Number: seconds, At: time.Now().UnixNano()})
			return s.AnswerNotExecuted(w, r, seconds)
		}
		if !slots.take() {
			writeReport(report{What: "full", ID: id, Server: name, At: time.Now().UnixNano()})
			return s.AnswerFull(w, r)
		}
		defer slots.free()
		writeReport(report{What: "ran", ID: id, Server: name, At: time.Now().UnixNano()})
		if r.URL.Query().Has("crash") || slices.ContainsFunc(standin.PromptParts(r.Header), isCrashingPart) {
			time.Sleep(crashAfter)
			writeReport(report{What: "crashed", ID: id, Server: name, At: time.Now().UnixNano()})
			os.Exit(crashExitStatus)
		}
		if answer := endlessAnswer(s, endless.Load(), int(answers.Add(1))); answer != nil {
			writeReport(report{What: "endless", ID: id, Server: name, At: time.Now().UnixNano()})
			return answer(w, r)
		}
		whole := false
		switch {
		case r.URL.Query().Has(piecesQuery):
			whole = answerInPieces(s, w, r, id, name)
		case r.URL.Query().Has("figures"):
			whole = reader.answerByFigures(s, w, r, id)
		default:
			whole = writeAnswer(s, w, r, id, max(slowness.Load().(float64), 1))
		}
		writeReport(report{What: "ended", ID: id, Server: name, Whole: whole, At: time.Now().UnixNano()})
		return whole
	})
	writeReport(report{What: "listening", Address: s.Address()})
	go func() {
		for range time.Tick(heartbeatInterval) {
			writeReport(report{What: "beat", Server: name})
		}
	}()
	readCommands(func(c command) {
		switch c.Op {
		case "limit":
			s.SetLimit(c.Number)
			writeReport(report{What: "limits", Server: name, Number: c.Number, At: time.Now().UnixNano()})
		case "leave":
			s.MarkLeaving()
			writeReport(report{What: "leaves", Server: name, At: time.Now().UnixNano()})
		case "turn away":
			backOff.Store(c.Number)
		case "endless":
			endless.Store(&c)
		case "slow":
			slowness.Store(c.Number)
		case "cool":
			s.SetCold(time.Duration(c.Number * float64(time.Second)))
			writeReport(report{What: "cold", Server: name, Number: c.Number, At: time.Now().UnixNano()})
		}
	})
}

func writeAnswer(s *standin.Server, w *bufio.Writer, r *http.Request, id string, slowness float64) bool {
	query := r.URL.Query()
	ms, _ := strconv.Atoi(query.Get("work")) // 0 if absent
	time.Sleep(time.Duration(float64(ms) * slowness * float64(time.Millisecond)))
	if !query.Has("stream") {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return false
		}
		text := ownAnswer(id, string(body))
		s.WriteHead(w, r, fmt.Sprintf("Content-Length: %d\r\n", len(text)))
		fmt.Fprint(w, text)
		return w.Flush() == nil
	}
	events, pause := streamEvents, streamPause
	if query.Get("stream") == "endless" {
		events, pause = endlessCount, endlessPause
	}
	return s.WriteEvents(w, r, events, time.Duration(float64(pause)*slowness), func(n int) string { return ownEvent(id, n) })
}

// runMutant runs a proxy in front of a daemon that breaks one promise, to show that its check
// can fail. SOAK_TO is the daemon's address, SOAK_NAME the name of the mutant.
func runMutant(ip string) {
	m := &mutant{name: os.Getenv("SOAK_NAME"), to: os.Getenv("SOAK_TO")}
	l := listen(ip)
	go func() { panic(http.Serve(l, m)) }()
	writeReport(report{What: "listening", Address: l.Addr().String()})
	readCommands(func(c command) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.servers = c.List
	})
}

type mutant struct {
	name, to string

	mu      sync.Mutex
	servers []string // address/id of each
	key     string   // the newest that was accepted
	started bool     // repeatForever has been called
}

// useNewestKey replaces a key by the newest that was accepted.
func (m *mutant) useNewestKey(header http.Header) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if standin.Key(header) < m.key {
		standin.SetKey(header, m.key)
	}
}

func (m *mutant) recordAccepted(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.key = max(m.key, key)
}

func (m *mutant) serverList() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.servers
}

func (m *mutant) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch m.name {
	case "mute":
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "stale":
		w.WriteHeader(http.StatusUnauthorized)
		return
	case "dead":
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "backward":
		m.useNewestKey(r.Header)
	case "leaving":
		m.sendToServers(r, body)
	case "leaky":
		m.leakMemory()
	case "unfair":
		if strings.HasSuffix(standin.Key(r.Header), lowRanked.name) {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	case "restless":
		m.repeatForever(r, body)
	case "boaster":
		if m.findsFull(r, body) {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
	case "hoarder":
		r = r.WithContext(detachedContext{r.Context()})
	case "late":
		if r.URL.Query().Has("work") { // only those of callers; probes would make the test slow
			time.Sleep(3 * callerDeadline)
		}
	}
	res, err := m.forward(r, body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer res.Body.Close()
	answer, _ := io.ReadAll(res.Body) // of a stream that breaks off, the part that arrived
	if res.StatusCode == http.StatusOK {
		m.recordAccepted(standin.Key(r.Header))
	}
	switch m.name {
	case "twice", "eager":
		for range 3 {
			if again, err := m.forward(r, body); err == nil {
				again.Body.Close()
			}
		}
	case "swapped":
		answer = []byte(strings.Replace(string(answer), standin.ID(r.Header), "another", 1))
	case "cutter":
		panic(http.ErrAbortHandler)
	case "liar":
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	for name, values := range res.Header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(res.StatusCode)
	_, _ = w.Write(answer)
}

// detachedContext is a context that does not end when its caller disconnects.
type detachedContext struct{ context.Context }

func (detachedContext) Deadline() (time.Time, bool) { return time.Time{}, false }
func (detachedContext) Done() <-chan struct{}       { return nil }
func (detachedContext) Err() error                  { return nil }

func (m *mutant) forward(r *http.Request, body []byte) (*http.Response, error) {
	return m.send(r, m.to, body, "")
}

func (m *mutant) send(r *http.Request, to string, body []byte, instance string) (*http.Response, error) {
	out := r.Clone(r.Context())
	out.RequestURI, out.Host = "", r.Host
	out.URL = &url.URL{Scheme: "http", Host: to, Path: r.URL.Path, RawQuery: r.URL.RawQuery}
	out.Body, out.ContentLength = io.NopCloser(strings.NewReader(string(body))), int64(len(body))
	if instance != "" {
		standin.SetExpectedInstance(out.Header, instance)
	}
	return http.DefaultTransport.RoundTrip(out)
}

// sendToServers bypasses the daemon and sends a request to each server, also to leaving ones.
func (m *mutant) sendToServers(r *http.Request, body []byte) {
	for _, s := range m.serverList() {
		address, instance, _ := strings.Cut(s, "/")
		if res, err := m.send(r, address, body, instance); err == nil {
			res.Body.Close()
		}
	}
}

// leakMemory reserves memory at each server and never releases it.
func (m *mutant) leakMemory() {
	for _, s := range m.serverList() {
		address, _, _ := strings.Cut(s, "/")
		_ = standin.ReserveLease(address, "leak", 10*time.Minute) // a server that has exited leaks nothing
	}
}
