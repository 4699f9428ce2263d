package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// site holds the processes of a running site.
type site struct {
	dir       string
	processes []*exec.Cmd
	daemons   []*daemon
	log       string // IP:port of the platform's log
	hosts     string // IP:port of the platform's host list
	weights   string // IP:port of the platform's weight store
}

// daemon is one daemon process.
type daemon struct {
	name    string
	domain  string
	address string // IP:port for callers
	peer    string // IP:port for peers
	pid     int
	process *os.Process
}

const (
	peerKey       = "capacity-key-0123456789abcdef0123"
	operatorToken = "capacity-operator"
	// unusedUpstreamIP is the IP address of the upstreams that are only in the settings.
	// Each has its own port, and no daemon sends them anything.
	unusedUpstreamIP = "127.1.0.0"
)

func customerToken(i int) string { return fmt.Sprintf("capacity-customer-%d", i) }

func tokenHash(token string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(token))) }

// startSite starts n daemons with their engines and publishes the settings.
func startSite(ctx context.Context, o options, n int) (s *site, err error) {
	dir, err := os.MkdirTemp("", "buckthorndock-capacity-")
	if err != nil {
		return nil, err
	}
	s = &site{dir: dir}
	defer func() {
		if err != nil {
			s.stop()
		}
	}()
	if s.log, err = s.startStandin(o, "log"); err != nil {
		return s, err
	}
	if s.hosts, err = s.startStandin(o, "hosts"); err != nil {
		return s, err
	}
	if s.weights, err = s.startStandin(o, "weights"); err != nil {
		return s, err
	}
	var upstreams strings.Builder
	for i := range n * o.engines {
		domain := domainName(i % o.domains)
		address, err := s.startStandin(o, "engine", "--name", fmt.Sprintf("e%d", i), "--model", "m",
			"--decode-step", o.step.String(), "--batch", strconv.Itoa(o.batch))
		if err != nil {
			return s, err
		}
		fmt.Fprintf(&upstreams, "      - {name: e%d, address: %q, domain: %s}\n", i, address, domain)
	}
	for i := range n {
		d, err := s.startDaemon(o, fmt.Sprintf("d%d", i), domainName(i%o.domains))
		if err != nil {
			return s, err
		}
		s.daemons = append(s.daemons, d)
	}
	if err := s.setHostList(); err != nil {
		return s, err
	}
	for i := range o.unservedUpstreams {
		fmt.Fprintf(&upstreams, "      - {name: other%d, address: \"%s:%d\", domain: %s}\n",
			i, unusedUpstreamIP, minPort+i, domainName(o.domains+i%otherDomains))
	}
	services, err := s.startServices(o)
	if err != nil {
		return s, err
	}
	return s, s.publish(ctx, o, upstreams.String(), services)
}

// otherDomains is the number of domains without daemons over which the unserved
// upstreams are spread: 7 domains minus the one that runs.
const otherDomains = 6

// startServices starts a service in each domain and returns the settings of their pool.
// It returns an empty string when no requests call a service.
func (s *site) startServices(o options) (string, error) {
	if o.keyed == 0 {
		return "", nil
	}
	text := "  - name: sp\n    kind: service\n    upstreams:\n"
	for i := range o.domains {
		address, err := s.startStandin(o, "service", "--operation", "confirm")
		if err != nil {
			return "", err
		}
		text += fmt.Sprintf("      - {name: s%d, address: %q, domain: %s}\n", i, address, domainName(i))
	}
	return text, nil
}

func domainName(i int) string { return fmt.Sprintf("domain-%d", i) }

// startStandin starts a stand-in of the given kind and returns its IP:port.
func (s *site) startStandin(o options, kind string, args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(o.bin, "standin"), append([]string{kind, "--listen", "127.0.0.1:0"}, args...)...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return "", err
	}
	if err := cmd.Start(); err != nil {
		return "", err
	}
	s.processes = append(s.processes, cmd)
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return "", fmt.Errorf("%s printed no address: %w", kind, err)
	}
	_, address, ok := strings.Cut(strings.TrimSpace(line), "address=")
	if !ok {
		return "", fmt.Errorf("%s printed %q", kind, line)
	}
	return address, nil
}

func (s *site) startDaemon(o options, name, domain string) (*daemon, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	peer, err := freeAddress()
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf(`host: %s
domain: %s
region: r
listen: %s
peer_listen: %s
peer_key: %s
operator_token_sha256: %s
platform: {log: "%s", hosts: "%s", weights: "%s"}
`, name, domain, address, peer, peerKey, tokenHash(operatorToken), s.log, s.hosts, s.weights)
	file := filepath.Join(s.dir, name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	logFile, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(o.bin, "buckthorndockd"), "--config", file)
	cmd.Stderr = logFile
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	s.processes = append(s.processes, cmd)
	return &daemon{name: name, domain: domain, address: address, peer: peer, pid: cmd.Process.Pid, process: cmd.Process}, nil
}

// Ports of daemons are below the range that the kernel uses for outgoing connections.
const (
	minPort  = 10000
	numPorts = 20000
)

func freeAddress() (string, error) {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", minPort+rand.IntN(numPorts))
		l, err := net.Listen("tcp", address)
		if err == nil {
			return address, l.Close()
		}
	}
	return "", fmt.Errorf("no free port")
}

// setHostList sets the platform's list of hosts to the site's daemons.
func (s *site) setHostList() error {
	type entry struct {
		Name    string `json:"name"`
		Kind    string `json:"kind"`
		Domain  string `json:"domain"`
		Region  string `json:"region"`
		Address string `json:"address"`
		State   string `json:"state"`
	}
	var entries []entry
	for _, d := range s.daemons {
		entries = append(entries, entry{d.name, "entry", d.domain, "r", d.peer, "live"})
	}
	body, err := json.Marshal(entries)
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+s.hosts+"/standin/hosts", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// publish publishes the settings through the first daemon, retrying until it accepts.
func (s *site) publish(ctx context.Context, o options, upstreams, services string) error {
	if err := os.Mkdir(s.settingsDir(), 0o700); err != nil {
		return err
	}
	text := "pools:\n  - name: p\n    kind: engine\n    upstreams:\n" + upstreams + services +
		"models:\n  - {name: m, pool: p}\n"
	if services != "" {
		text += "services:\n  - {name: s, pool: sp, operations: [{name: confirm, repeatable: false}]}\n"
	}
	text += "customers:\n"
	for i := range o.customers {
		text += fmt.Sprintf("  - {name: c%d, token_sha256: [%s], limits: {requests_in_flight: 1000000}}\n", i, tokenHash(customerToken(i)))
	}
	if err := os.WriteFile(filepath.Join(s.settingsDir(), "_root.yaml"), []byte(text), 0o600); err != nil {
		return err
	}
	var err error
	for range 50 {
		var out []byte
		if out, err = s.applyCommand(ctx, o, s.daemons[0]).CombinedOutput(); err == nil {
			return nil
		}
		err = fmt.Errorf("publish: %w: %s", err, out)
		time.Sleep(100 * time.Millisecond)
	}
	return err
}

// stop kills all processes of the site and removes its directory.
func (s *site) stop() {
	for _, p := range s.processes {
		_ = p.Process.Signal(syscall.SIGKILL)
	}
	for _, p := range s.processes {
		_ = p.Wait()
	}
	_ = os.RemoveAll(s.dir)
}
