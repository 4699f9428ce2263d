package scenarios

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// Kinds of process besides those that cmd/standin names.
const kindDaemon = "daemon"

const (
	region        = "testland"
	peerKey       = "scenario-key-0123456789abcdef0123"
	operatorToken = "operator-token"
	// operatorHash is the SHA-256 of operatorToken.
	operatorHash = "0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e"
)

// site is all that one scenario has started.
type site struct {
	dir       string
	processes map[string]*process
	order     []string
	links     map[string]*link
	watch     *watch
	crowd     crowd
	deaths    atomic.Int64 // ends of processes that keepalive has seen
}

type siteKey struct{}

func setupSite(env *testscript.Env) error {
	s := &site{dir: env.WorkDir, processes: map[string]*process{}, links: map[string]*link{}}
	env.Values[siteKey{}] = s
	env.Setenv("PATH", binDir+string(os.PathListSeparator)+env.Getenv("PATH"))
	env.Setenv("BUCKTHORNDOCK_TOKEN", "")
	env.Setenv("operator", operatorToken)
	env.Defer(func() {
		s.endAll()
		s.showLogs(env.T())
	})
	return nil
}

func (s *site) endAll() {
	for _, p := range s.processes {
		p.end()
	}
}

// logTail is how much of each process's log a failed scenario shows, in bytes.
const logTail = 6000

func (s *site) showLogs(t testscript.T) {
	f, ok := t.(interface{ Failed() bool })
	if !ok || !f.Failed() {
		return
	}
	for _, name := range s.order {
		text, err := os.ReadFile(s.processes[name].logFile)
		if err != nil {
			continue
		}
		t.Log(fmt.Sprintf("== log of %s\n%s", name, text[max(0, len(text)-logTail):]))
	}
}

func siteOf(ts *testscript.TestScript) *site {
	return ts.Value(siteKey{}).(*site)
}

func (s *site) process(ts *testscript.TestScript, name string) *process {
	p := s.processes[name]
	if p == nil {
		ts.Fatalf("no process %q", name)
	}
	return p
}

// addressOf returns the address of a started process, for a daemon file.
func (s *site) addressOf(name string) (string, error) {
	p := s.processes[name]
	if p == nil {
		return "", fmt.Errorf("start %q before a daemon", name)
	}
	return p.address, nil
}

func (s *site) daemonFile(p *process, extra []string) (string, error) {
	var b strings.Builder
	host, extra := pick("host", p.name, extra)
	key, extra := pick("peer_key", peerKey, extra)
	fmt.Fprintf(&b, "host: %s\ndomain: %s\nregion: %s\n", host, p.domain, region)
	fmt.Fprintf(&b, "listen: %s\npeer_listen: %s\npeer_key: %s\n", p.address, p.peer, key)
	fmt.Fprintf(&b, "operator_token_sha256: %s\ntest_faults: true\nlog_level: debug\nplatform:\n", operatorHash)
	for _, name := range []string{"log", "hosts", "weights"} {
		server, rest := pick(name, name, extra)
		extra = rest
		address, err := s.addressOf(server)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "  %s: %s\n", name, address)
	}
	for _, line := range extra {
		b.WriteString(strings.Replace(line, "=", ": ", 1) + "\n")
	}
	file := filepath.Join(s.dir, p.name+".daemon.yaml")
	return file, os.WriteFile(file, []byte(b.String()), 0o600)
}

// pick returns the value of a key, which a line KEY=VALUE changes, and the other
// lines.
func pick(key, value string, extra []string) (picked string, rest []string) {
	for _, line := range extra {
		if other, ok := strings.CutPrefix(line, key+"="); ok {
			value = other
			continue
		}
		rest = append(rest, line)
	}
	return value, rest
}

// until looks at a condition until it holds; the last reason is reported.
func until(ts *testscript.TestScript, what string, condition func() error) {
	deadline := time.Now().Add(patience)
	for {
		err := condition()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s: %v", what, err)
		}
		time.Sleep(pollEvery)
	}
}
