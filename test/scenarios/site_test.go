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

// kindDaemon is a kind of process in addition to the stand-ins of cmd/standin.
const kindDaemon = "daemon"

const (
	region        = "testland"
	peerKey       = "scenario-key-0123456789abcdef0123"
	operatorToken = "operator-token"
	// operatorHash is the SHA-256 of operatorToken.
	operatorHash = "0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e"
)

// site holds all that one scenario has started.
type site struct {
	dir       string
	processes map[string]*process
	order     []string // names of the processes, as started
	links     map[string]*link
	watch     *watch
	crowd     crowd
	deaths    atomic.Int64 // exits of processes that keepalive has seen
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
		p.kill()
	}
}

// maxLogTail is how much of the end of each process's log a failed scenario
// shows, in bytes.
const maxLogTail = 6000

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
		t.Log(fmt.Sprintf("== log of %s\n%s", name, text[max(0, len(text)-maxLogTail):]))
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

// addressOf returns the address of a started process, for a daemon's
// configuration file.
func (s *site) addressOf(name string) (string, error) {
	p := s.processes[name]
	if p == nil {
		return "", fmt.Errorf("start %q before a daemon", name)
	}
	return p.address, nil
}

func (s *site) daemonFile(p *process, extra []string) (string, error) {
	var b strings.Builder
	host, extra := extractOverride("host", p.name, extra)
	key, extra := extractOverride("peer_key", peerKey, extra)
	fmt.Fprintf(&b, "host: %s\ndomain: %s\nregion: %s\n", host, p.domain, region)
	fmt.Fprintf(&b, "listen: %s\npeer_listen: %s\npeer_key: %s\n", p.address, p.peer, key)
	fmt.Fprintf(&b, "operator_token_sha256: %s\ntest_faults: true\nlog_level: debug\nplatform:\n", operatorHash)
	for _, name := range []string{"log", "hosts", "weights"} {
		server, rest := extractOverride(name, name, extra)
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

// extractOverride returns the value of a line KEY=VALUE in extra, or the given
// value if there is none, and the other lines.
func extractOverride(key, value string, extra []string) (result string, rest []string) {
	for _, line := range extra {
		if other, ok := strings.CutPrefix(line, key+"="); ok {
			value = other
			continue
		}
		rest = append(rest, line)
	}
	return value, rest
}

// waitFor polls a condition until it returns nil. After waitTimeout the script
// fails with its last error.
func waitFor(ts *testscript.TestScript, what string, condition func() error) {
	deadline := time.Now().Add(waitTimeout)
	for {
		err := condition()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s: %v", what, err)
		}
		time.Sleep(pollInterval)
	}
}
