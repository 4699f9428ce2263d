// Command stand2 plays the platform, the servers and the callers of a small site around the project's
// daemons, and checks what callers and servers see.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes what happens, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// site is the whole deployment.
type site struct {
	rec     *recorder
	store   *store
	engines []*engine
	tmp     string

	mu      sync.Mutex
	reached map[string]bool // ids of requests that a server has got
}

func (s *site) noteReached(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reached[id] = true
}

func (s *site) hasReached(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reached[id]
}

func (s *site) engineAt(address string) *engine {
	for _, e := range s.engines {
		if e.address == address {
			return e
		}
	}
	return nil
}

const service, routeHost = "lijst-llm", "ficu95.example"

// Figures of the sheet of azahar-refill and frigolijst-prod.
const (
	promptTokens = 210000
	warmUpTokens = 1000
	answerTokens = 782 // 17 events
	deadlineMs   = 15000
	graceS       = 8
)

func (s *site) publish() {
	config := map[string]any{
		"version": 1,
		"routes": []any{map[string]any{"name": "pantry-audit", "host": routeHost, "path_prefix": "/audit/", "kind": "streaming",
			"timeout_ms": deadlineMs, "target_latency_ms": 3000, "gap_target_ms": 800, "priority": 1, "service": service,
			"max_attempts": 2, "allow_anonymous": true, "sticky": true, "resumable": true}},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_connections": 364, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": engineSlot, "kv_capacity_tokens": kvTokens, "stride": eventSize, "step_ms": stepMs,
				"per_seq_ms": 0.00483, "context_per_k": 0.00254, "read_per_s": readPerMs * 1000, "pairs_per_m": pairsPerM, "chunk": 2048,
				"report_lag_ms": 200.0, "usual": map[string]any{"prompt": 13239, "answer": 1540}, "hop_ms": 0.1}}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	text, _ := json.Marshal(config)
	s.store.append("keyed.op", record{"config", text})
}

// beat writes the entries of the servers, as they do every heartbeat_ms.
func (s *site) beat() {
	for seq := 1; ; seq++ {
		for i, e := range s.engines {
			text, _ := json.Marshal(map[string]any{"service": service, "address": e.address, "zone": zones[i%len(zones)], "version": "v1",
				"slots": engineSlot, "state": "ready", "cold_remaining_ms": 0, "seq": seq, "born": e.born})
			s.store.append("keyed.servers", record{e.id, text})
		}
		time.Sleep(1200 * time.Millisecond)
	}
}

var zones = []string{"hal-a", "hal-b", "hal-c"}

// daemon is one of the project's daemons.
type daemon struct {
	name         string
	cmd          *exec.Cmd
	front, ready string
	ended        chan struct{}
}

func freePort() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startDaemon fills in the project's template and starts a daemon with the command of the deploy file.
func (s *site) startDaemon(root, name, zone, control, storeAddress string, seeds []string) *daemon {
	template, err := os.ReadFile(filepath.Join(root, "deploy/daemon.yaml"))
	if err != nil {
		fail(err)
	}
	d := &daemon{name: name, front: freePort(), ready: freePort(), ended: make(chan struct{})}
	metrics := freePort()
	_, metricsPort, _ := net.SplitHostPort(metrics)
	seedText, _ := json.Marshal(seeds)
	text := strings.NewReplacer(
		"{{node}}", name, "{{zone}}", zone, "{{region}}", "be-central", "{{listen.front}}", d.front, "{{listen.ready}}", d.ready,
		"{{listen.control}}", control, "{{ip}}", "127.0.0.1", "{{internal_ports.0}}", metricsPort, "{{seeds|json}}", string(seedText),
		"{{platform.address}}", storeAddress, "{{limits.memory_mb}}", "284", "{{limits.max_fds}}", "4200", "{{limits.cpu_share}}", "0.4",
		"{{bounds.config_apply_ms}}", "2000", "{{bounds.drain_ms}}", "2000", "{{bounds.grace_s}}", fmt.Sprint(graceS),
		"{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.budget_window_s}}", "10", "{{bounds.retry_budget_slack}}", "104",
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		fail(fmt.Errorf("a field of the template is not filled in"))
	}
	file := filepath.Join(s.tmp, name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		fail(err)
	}
	log, err := os.Create(filepath.Join(s.tmp, name+".log"))
	if err != nil {
		fail(err)
	}
	d.cmd = exec.Command(filepath.Join(root, "target/buckthorndockd"), "edge")
	d.cmd.Dir, d.cmd.Stdout, d.cmd.Stderr = root, log, log
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BUCKTHORNDOCK_CONFIG=" + file}
	if err := d.cmd.Start(); err != nil {
		fail(err)
	}
	go func() {
		_ = d.cmd.Wait()
		s.rec.add("daemon %s has ended", name)
		close(d.ended)
	}()
	return d
}

func (d *daemon) isReady() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + d.ready + "/api/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// fail ends the run: the case could not run.
func fail(err error) {
	fmt.Fprintln(os.Stderr, "stand2:", err)
	stopAll()
	os.Exit(2)
}

var daemons []*daemon

func stopAll() {
	for _, d := range daemons {
		_ = d.cmd.Process.Kill()
	}
	for _, d := range daemons {
		<-d.ended
	}
}

// result is what a caller saw.
type result struct {
	id     string
	status int
	whole  bool // a complete answer
	after  time.Duration
	err    error
}

// caller is one caller with a connection that it keeps.
type caller struct {
	site   *site
	daemon *daemon
	conn   net.Conn
	reader *bufio.Reader
}

func (s *site) connect(d *daemon) *caller {
	conn, err := net.DialTimeout("tcp", d.front, time.Second)
	if err != nil {
		fail(err)
	}
	return &caller{site: s, daemon: d, conn: conn, reader: bufio.NewReader(conn)}
}

// ask sends one prompt of a number of tokens and reads the answer.
func (c *caller) ask(id string, tokens int) result {
	began := time.Now()
	end := func(r result) result {
		r.id, r.after = id, time.Since(began)
		c.site.rec.add("%s: the client gets status %d, whole %v, after %.3f s: %v", id, r.status, r.whole, r.after.Seconds(), r.err)
		return r
	}
	_ = c.conn.SetDeadline(began.Add(deadlineMs*time.Millisecond + time.Second))
	c.site.rec.add("%s (%d tokens) is sent to %s", id, tokens, c.daemon.name)
	body := "audit"
	_, err := fmt.Fprintf(c.conn, "POST /audit/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nModel: m\r\nToken-Count: %d,%d\r\nPrompt-Prefix: 5c1e07a2:40,%s:%d\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		routeHost, id, tokens, answerTokens, id, tokens-40, deadlineMs, len(body), body)
	if err != nil {
		return end(result{err: err})
	}
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return end(result{err: err})
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return end(result{status: res.StatusCode, whole: err == nil, err: err})
}

func main() {
	root, folder := os.Args[1], os.Args[2]
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fail(err)
	}
	defer out.Close()
	tmp, err := os.MkdirTemp("", "stand2")
	if err != nil {
		fail(err)
	}
	defer os.RemoveAll(tmp)
	s := &site{rec: &recorder{out: out, start: time.Now()}, store: newStore(), tmp: tmp, reached: map[string]bool{}}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(timeLimit):
		}
		fail(fmt.Errorf("interrupted, or not done in time"))
	}()
	play := map[string]func(string, bool) int{"drain": s.playDrain, "writer": s.playOtherWriter}[os.Args[3]]
	code := play(root, os.Getenv("TROUBLE") != "0")
	os.RemoveAll(tmp)
	os.Exit(code)
}

// Times of the case.
const (
	settle    = 8 * time.Second // until all daemons know each other
	afterTerm = 1200 * time.Millisecond
	prompts   = 10
	promptGap = 80 * time.Millisecond
	timeLimit = 90 * time.Second
)

// start starts the store, the engines and the daemons, and waits until all are ready.
func (s *site) start(root string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail(err)
	}
	go func() { _ = (&http.Server{Handler: s.store}).Serve(l) }()
	for i := range zones {
		e := &engine{id: fmt.Sprintf("i-%d", i+1), site: s}
		if err := e.listen(); err != nil {
			fail(err)
		}
		s.engines = append(s.engines, e)
	}
	s.publish()
	go s.beat()
	var controls []string
	for range zones {
		controls = append(controls, freePort())
	}
	for i, z := range zones {
		daemons = append(daemons, s.startDaemon(root, "edge-"+z+"-1", z, controls[i], l.Addr().String(), controls))
	}
	time.Sleep(settle)
	for _, d := range daemons {
		if !d.isReady() {
			fail(fmt.Errorf("%s is not ready", d.name))
		}
	}
}

// playDrain sends long prompts, on connections that callers keep, to a daemon that has got SIGTERM.
// It returns 1 if one of them ends without an answer though no server ever got it.
func (s *site) playDrain(root string, trouble bool) int {
	s.start(root)
	first := daemons[0]
	var callers []*caller
	for i := range prompts {
		c := s.connect(first)
		if r := c.ask(fmt.Sprintf("%016x", 0x1000+i), warmUpTokens); r.status != http.StatusOK || !r.whole {
			fail(fmt.Errorf("a short prompt before the trouble was not served: %v", r))
		}
		callers = append(callers, c)
	}
	if trouble {
		s.rec.add("%s gets SIGTERM", first.name)
		_ = first.cmd.Process.Signal(syscall.SIGTERM)
	}
	time.Sleep(afterTerm)
	results := make(chan result, prompts)
	for i, c := range callers { // an open connection stays with its daemon
		go func() { results <- c.ask(fmt.Sprintf("%016x", 0xa000+i), promptTokens) }()
		time.Sleep(promptGap)
	}
	lost, answered, refused, other := 0, 0, 0, 0
	for range prompts {
		r := <-results
		switch {
		case r.status == http.StatusOK && r.whole:
			answered++
		case r.status != 0 && r.whole:
			refused++
		case r.status == 0 && !s.hasReached(r.id) && r.after < deadlineMs*time.Millisecond:
			lost++
			s.rec.add("LOST: %s ended after %.3f s without an answer; no server ever got it", r.id, r.after.Seconds())
		default:
			other++
		}
	}
	if trouble {
		<-first.ended
	}
	s.rec.add("answered whole %d, refused or failed with an answer %d, lost %d, other %d", answered, refused, lost, other)
	fmt.Printf("answered whole %d, refused or failed with an answer %d, lost %d, other %d\n", answered, refused, lost, other)
	stopAll()
	if lost > 0 {
		return 1
	}
	return 0
}
