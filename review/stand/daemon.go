package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fields are the platform's settings of one machine, by the names of the pages.
type fields map[string]any

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// fill fills in a template of the deploy file.
func (f fields) fill(text string) (string, error) {
	var missing []string
	out := placeholder.ReplaceAllStringFunc(text, func(m string) string {
		parts := placeholder.FindStringSubmatch(m)
		v, ok := f[parts[1]]
		if !ok {
			missing = append(missing, parts[1])
			return ""
		}
		if parts[2] != "" {
			b, _ := json.Marshal(v)
			return string(b)
		}
		return fmt.Sprint(v)
	})
	if len(missing) > 0 {
		return "", fmt.Errorf("the template asks for %v", missing)
	}
	return out, nil
}

// deploy is what the deploy file says of the role: its command and its template.
type deploy struct {
	root     string
	run      []string
	template string
}

var deployLine = regexp.MustCompile(`(?m)^(run|template)\s*=\s*"([^"]*)"`)

func readDeploy(root string) (*deploy, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	d := &deploy{root: root}
	for _, m := range deployLine.FindAllStringSubmatch(string(text), -1) {
		if m[1] == "run" {
			d.run = strings.Fields(m[2])
			continue
		}
		t, err := os.ReadFile(filepath.Join(root, m[2]))
		if err != nil {
			return nil, err
		}
		d.template = string(t)
	}
	if len(d.run) == 0 || d.template == "" {
		return nil, fmt.Errorf("deploy/system.toml has no run or template")
	}
	if _, err := os.Stat(filepath.Join(root, d.run[0])); err != nil {
		return nil, fmt.Errorf("build the deploy file first: %w", err)
	}
	return d, nil
}

// machine is one entry machine with its process. It plays the platform's part: the settings file, the
// memory limit, and the restart of a process that has ended.
type machine struct {
	name   string
	fields fields
	deploy *deploy
	rec    *recorder
	dir    string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	starts  int
	ends    []processEnd
	peakMB  float64
	done    chan struct{}
}

// processEnd is an end of a process that nobody asked for.
type processEnd struct {
	at       time.Time
	overMB   float64 // its memory if that was over the limit
	exitText string
}

// restartDelay is the short delay after which the platform starts a process again.
const restartDelay = 500 * time.Millisecond

// freePorts returns n free loopback ports.
func freePorts(n int) []int {
	var ports []int
	var open []net.Listener
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		open = append(open, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	for _, l := range open {
		l.Close()
	}
	return ports
}

// site has the settings of a small deployment.
type siteSettings struct {
	store    string
	memoryMB float64
}

// newMachine returns a machine that is not started. Its seeds have to be set.
func newMachine(d *deploy, rec *recorder, dir, name, zone string, s siteSettings) *machine {
	p := freePorts(4)
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", p[i]) }
	return &machine{
		name: name, deploy: d, rec: rec, dir: dir, done: make(chan struct{}),
		fields: fields{
			"node": name, "zone": zone, "region": "region-1", "ip": "127.0.0.1",
			"listen.front": at(0), "listen.ready": at(1), "listen.control": at(2), "internal_ports.0": p[3],
			"platform.address": s.store, "limits.memory_mb": s.memoryMB, "limits.max_fds": 4100, "limits.cpu_share": 0.4,
			"bounds.config_apply_ms": 2000, "bounds.drain_ms": 2000, "bounds.grace_s": 8,
			"bounds.retry_budget_ratio": 0.2, "bounds.budget_window_s": 10, "bounds.retry_budget_slack": 106,
		},
	}
}

func (m *machine) front() string   { return m.fields["listen.front"].(string) }
func (m *machine) control() string { return m.fields["listen.control"].(string) }
func (m *machine) file() string    { return filepath.Join(m.dir, m.name+".conf") }

// writeSettings puts the filled-in template where the process reads it.
func (m *machine) writeSettings() error {
	text, err := m.fields.fill(m.deploy.template)
	if err != nil {
		return err
	}
	next := m.file() + ".next"
	if err := os.WriteFile(next, []byte(text), 0o644); err != nil {
		return err
	}
	return os.Rename(next, m.file())
}

// start starts the process and keeps it running until stop.
func (m *machine) start() error {
	if err := m.writeSettings(); err != nil {
		return err
	}
	if err := m.launch(); err != nil {
		return err
	}
	go m.watch()
	return nil
}

func (m *machine) launch() error {
	log, err := os.OpenFile(filepath.Join(m.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	run := m.deploy.run
	cmd := exec.Command(filepath.Join(m.deploy.root, run[0]), run[1:]...)
	cmd.Dir = m.deploy.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BUCKTHORNDOCK_CONFIG=" + m.file()}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	m.mu.Lock()
	m.cmd = cmd
	m.starts++
	m.mu.Unlock()
	m.rec.add("%s: process %d started", m.name, m.starts)
	return nil
}

// watch waits for the end of the process and starts it again, until stop. It ends a process that holds
// more memory than the machine's limit, as the platform does.
func (m *machine) watch() {
	defer close(m.done)
	for {
		m.mu.Lock()
		cmd := m.cmd
		m.mu.Unlock()
		ended := make(chan struct{})
		over := make(chan float64, 1)
		go m.limitMemory(cmd.Process, ended, over)
		err := cmd.Wait()
		close(ended)
		m.mu.Lock()
		stopped := m.stopped
		m.mu.Unlock()
		if stopped {
			return
		}
		e := processEnd{at: time.Now(), exitText: fmt.Sprint(err)}
		select {
		case e.overMB = <-over:
		default:
		}
		m.mu.Lock()
		m.ends = append(m.ends, e)
		m.mu.Unlock()
		m.rec.say("%s: its process has ended by itself (%s; %.0f MB of %v)", m.name, e.exitText, e.overMB, m.fields["limits.memory_mb"])
		time.Sleep(restartDelay)
		m.mu.Lock()
		stopped = m.stopped
		m.mu.Unlock()
		if stopped {
			return
		}
		if err := m.launch(); err != nil {
			m.rec.say("%s: cannot be started again: %v", m.name, err)
			return
		}
	}
}

// limitMemory kills a process that exceeds memory_mb.
func (m *machine) limitMemory(p *os.Process, ended <-chan struct{}, over chan<- float64) {
	limit := m.fields["limits.memory_mb"].(float64)
	for {
		select {
		case <-ended:
			return
		case <-time.After(10 * time.Millisecond):
		}
		mb := residentMB(p.Pid)
		m.mu.Lock()
		m.peakMB = max(m.peakMB, mb)
		m.mu.Unlock()
		if mb > limit {
			over <- mb
			_ = p.Signal(syscall.SIGKILL)
			return
		}
	}
}

// residentMB returns the resident memory of a process, 0 if it is not known.
func residentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	columns := bytes.Fields(text)
	if len(columns) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(string(columns[1]), 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// stop ends the process for good.
func (m *machine) stop() {
	m.mu.Lock()
	m.stopped = true
	started := m.cmd != nil
	m.mu.Unlock()
	if !started {
		return
	}
	m.signal(syscall.SIGKILL)
	<-m.done
}

// awaitReady waits until the machine's daemon says that it is ready.
func (m *machine) awaitReady(within time.Duration) error {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		res, err := client.Get("http://" + m.fields["listen.ready"].(string) + "/api/ready")
		if err != nil {
			continue
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", m.name, within)
}
