package soak

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthorndock/buckthorndock/platform/standin"
)

// playRole runs a stand-in until its input ends.
func playRole(role string) {
	ip := os.Getenv("SOAK_IP")
	switch role {
	case "store":
		playStore(ip)
	case "server":
		playServer(ip, os.Getenv("SOAK_NAME"))
	case "links":
		playLinks(ip)
	case "mutant":
		playMutant(ip)
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

// storeFaults are the ways in which the store can be wrong.
var storeFaults = map[string]standin.Fault{
	"refuses": {Status: http.StatusServiceUnavailable},
	"limits":  {Status: http.StatusTooManyRequests},
	"hangs":   {Hang: true},
	"slow":    {Delay: 300 * time.Millisecond},
	"loses":   {DropAnswers: true},
	"trimmed": {Trimmed: true},
}

func playStore(ip string) {
	store, l := standin.NewStore(), listen(ip)
	store.PageSize = 500
	go func() { panic(http.Serve(l, store)) }()
	tell(report{What: "listening", Address: l.Addr().String()})
	commands(func(c command) {
		switch c.Op {
		case "put":
			store.Put(c.Stream, c.Key, c.Value)
		case "fault":
			store.SetFault(storeFaults[c.How])
		case "save":
			store.Save()
		case "restore":
			store.Restore()
		}
	})
}

// Ways in which a server answers, by the query of a request.
const (
	streamEvents = 8
	endlessCount = 100
	streamPause  = 10 * time.Millisecond
	endlessPause = 100 * time.Millisecond
	deadlyRuns   = 60 * time.Millisecond
	heartbeat    = 300 * time.Millisecond
)

// ownAnswer is the body with which a request's own server answers.
func ownAnswer(id, body string) string {
	return fmt.Sprintf("%s:%x\n", id, sha256.Sum256([]byte(body))) + strings.Repeat(id, 200)
}

func ownEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

func playServer(ip, name string) {
	s, err := standin.Listen(ip, name)
	if err != nil {
		panic(err)
	}
	var backOff atomic.Value // seconds, zero: it serves
	backOff.Store(0.0)
	s.SetAnswer(func(w *bufio.Writer, r *http.Request) bool {
		id := standin.ID(r.Header)
		if seconds := backOff.Load().(float64); seconds > 0 {
			tell(report{What: "turned", ID: id, Server: name, Number: seconds, At: time.Now().UnixNano()})
			return s.AnswerNotExecuted(w, r, seconds)
		}
		tell(report{What: "ran", ID: id, Server: name, At: time.Now().UnixNano()})
		if r.URL.Query().Has("deadly") {
			time.Sleep(deadlyRuns)
			tell(report{What: "crashed", ID: id, Server: name, At: time.Now().UnixNano()})
			os.Exit(deadlyExit)
		}
		whole := serve(s, w, r, id)
		tell(report{What: "ended", ID: id, Server: name, Whole: whole, At: time.Now().UnixNano()})
		return whole
	})
	tell(report{What: "listening", Address: s.Address()})
	go func() {
		for range time.Tick(heartbeat) {
			tell(report{What: "beat", Server: name})
		}
	}()
	commands(func(c command) {
		switch c.Op {
		case "limit":
			s.SetLimit(c.Number)
			tell(report{What: "limits", Server: name, Number: c.Number, At: time.Now().UnixNano()})
		case "leave":
			s.MarkLeaving()
			tell(report{What: "leaves", Server: name, At: time.Now().UnixNano()})
		case "turn away":
			backOff.Store(c.Number)
		case "cool":
			s.SetCold(time.Duration(c.Number * float64(time.Second)))
			tell(report{What: "cold", Server: name, Number: c.Number, At: time.Now().UnixNano()})
		}
	})
}

func serve(s *standin.Server, w *bufio.Writer, r *http.Request, id string) bool {
	query := r.URL.Query()
	ms, _ := strconv.Atoi(query.Get("work")) // none: no work
	time.Sleep(time.Duration(ms) * time.Millisecond)
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
	return s.WriteEvents(w, r, events, pause, func(n int) string { return ownEvent(id, n) })
}

// playMutant stands before a daemon and breaks one promise, to show that its check can
// fail. SOAK_TO is the daemon's address, SOAK_NAME the promise's mutant.
func playMutant(ip string) {
	m := &mutant{how: os.Getenv("SOAK_NAME"), to: os.Getenv("SOAK_TO")}
	l := listen(ip)
	go func() { panic(http.Serve(l, m)) }()
	tell(report{What: "listening", Address: l.Addr().String()})
	commands(func(c command) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.servers = c.List
	})
}

type mutant struct {
	how, to string

	mu      sync.Mutex
	servers []string // address/instance of each
	key     string   // the newest that was accepted
}

// older replaces a key by the newest that was accepted.
func (m *mutant) older(header http.Header) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if standin.Key(header) < m.key {
		standin.SetKey(header, m.key)
	}
}

func (m *mutant) accepted(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.key = max(m.key, key)
}

func (m *mutant) listed() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.servers
}

func (m *mutant) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch m.how {
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
		m.older(r.Header)
	case "leaving":
		m.direct(r, body)
	case "leaky":
		m.reserve()
	case "hoarder":
		r = r.WithContext(noEnd{r.Context()})
	case "late":
		if r.URL.Query().Has("work") { // a caller's; probes would make the test long
			time.Sleep(3 * callerDeadline)
		}
	}
	res, err := m.pass(r, body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer res.Body.Close()
	answer, _ := io.ReadAll(res.Body) // of a stream that breaks off, what has come
	if res.StatusCode == http.StatusOK {
		m.accepted(standin.Key(r.Header))
	}
	switch m.how {
	case "twice", "eager":
		for range 3 {
			if again, err := m.pass(r, body); err == nil {
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

// noEnd is a context that outlives its caller.
type noEnd struct{ context.Context }

func (noEnd) Deadline() (time.Time, bool) { return time.Time{}, false }
func (noEnd) Done() <-chan struct{}       { return nil }
func (noEnd) Err() error                  { return nil }

func (m *mutant) pass(r *http.Request, body []byte) (*http.Response, error) {
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

// direct sends a request past the daemon to each server, also to those that leave.
func (m *mutant) direct(r *http.Request, body []byte) {
	for _, s := range m.listed() {
		address, instance, _ := strings.Cut(s, "/")
		if res, err := m.send(r, address, body, instance); err == nil {
			res.Body.Close()
		}
	}
}

// reserve takes memory at each server and never gives it back.
func (m *mutant) reserve() {
	for _, s := range m.listed() {
		address, _, _ := strings.Cut(s, "/")
		_ = standin.ReserveLease(address, "leak", 10*time.Minute) // one that has gone leaks nothing
	}
}
