package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/api/platformapi"
)

const (
	healthTimeout      = 15 * time.Second
	healthPollInterval = 50 * time.Millisecond
)

// Secrets for demonstration; the operator token matches examples/_root.yaml.
const (
	peerKey       = "demo-peer-key-for-this-run-only-0001"
	operatorToken = "demo-operator"
)

// daemon is the configuration of one daemon: its addresses and its configuration file.
type daemon struct {
	host, domain         string
	listen, peer, config string
}

// site holds the processes of one run.
type site struct {
	opts      options
	log       *process
	hosts     *process
	weights   *process
	daemons   []daemon
	processes []*process // in the order of their start
}

// track records a process, even one that did not come up, so that stop ends it. It
// returns its arguments.
func (s *site) track(p *process, err error) (*process, error) {
	if p != nil {
		s.processes = append(s.processes, p)
	}
	return p, err
}

func (s *site) start(ctx context.Context) error {
	if err := s.startPlatform(); err != nil {
		return err
	}
	all, err := readExamples(s.opts.examples)
	if err != nil {
		return err
	}
	addresses := map[string]string{}
	var listed []platformapi.HostEntry
	for _, u := range listUpstreams(all) {
		p, err := s.track(startStandin(s.opts, u.name, s.upstreamArgs(u)...))
		if err != nil {
			return err
		}
		addresses[u.placeholder] = p.address
		listed = append(listed, hostEntry(u.name, platformapi.HostEntryKindUpstream, u.domain, p.address))
	}
	if err := writeSettings(filepath.Join(s.opts.dir, "settings"), all, addresses); err != nil {
		return err
	}
	if err := s.configureDaemons(); err != nil {
		return err
	}
	for _, d := range s.daemons {
		listed = append(listed, hostEntry(d.host, platformapi.HostEntryKindEntry, d.domain, d.peer))
	}
	if err := s.setHostList(listed); err != nil {
		return err
	}
	return s.startDaemons(ctx)
}

func (s *site) startPlatform() error {
	for _, part := range []struct {
		name string
		at   **process
	}{{"log", &s.log}, {"hosts", &s.hosts}, {"weights", &s.weights}} {
		p, err := s.track(startStandin(s.opts, part.name, part.name, "--listen", "127.0.0.1:0"))
		if err != nil {
			return err
		}
		*part.at = p
	}
	return nil
}

func (s *site) upstreamArgs(u upstream) []string {
	args := []string{u.kind, "--listen", "127.0.0.1:0", "--name", u.name}
	if u.kind == "service" {
		for _, op := range u.operations {
			args = append(args, "--operation", op)
		}
		return args
	}
	args = append(args,
		"--memory-tokens", fmt.Sprint(s.opts.memory),
		"--time-scale", fmt.Sprint(s.opts.timeScale),
		"--load-lag", s.opts.lag,
		"--event-delay", s.opts.lag,
		"--cache-tokens", fmt.Sprint(s.opts.cache),
	)
	if s.opts.witness {
		args = append(args, "--witness-file", filepath.Join(s.opts.dir, "witness-"+u.name+".jsonl"))
	}
	for _, m := range u.models {
		args = append(args, "--model", m)
	}
	if u.checksFencing {
		args = append(args, "--checks-fencing")
	}
	return args
}

func hostEntry(name string, kind platformapi.HostEntryKind, domain, address string) platformapi.HostEntry {
	return platformapi.HostEntry{
		Name: name, Kind: kind, Domain: domain, Region: region, Address: address, State: platformapi.HostEntryStateLive,
	}
}

// setHostList replaces the platform's list of hosts.
func (s *site) setHostList(list []platformapi.HostEntry) error {
	body, err := json.Marshal(list)
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+s.hosts.address+"/standin/hosts", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("set host list: %s", resp.Status)
	}
	return nil
}

// configureDaemons chooses free ports and writes the daemons' configuration files.
func (s *site) configureDaemons() error {
	domains := strings.Split(s.opts.daemons, ",")
	ports, err := freeAddresses(2 * len(domains))
	if err != nil {
		return err
	}
	hosts := map[string]int{} // number of hosts in each domain
	for i, domain := range domains {
		hosts[domain]++
		host := fmt.Sprintf("%s-entry-%d", domain, hosts[domain])
		s.daemons = append(s.daemons, daemon{
			host: host, domain: domain, listen: ports[2*i], peer: ports[2*i+1],
			config: filepath.Join(s.opts.dir, host+".yaml"),
		})
	}
	for _, d := range s.daemons {
		if err := os.WriteFile(d.config, []byte(s.daemonConfig(d)), filePerm); err != nil {
			return err
		}
	}
	return nil
}

// daemonConfig returns the text of a daemon's configuration file.
func (s *site) daemonConfig(d daemon) string {
	var seeds []string
	for _, other := range s.daemons {
		if other.host != d.host {
			seeds = append(seeds, other.peer)
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "host: %s\ndomain: %s\nregion: %s\n", d.host, d.domain, region)
	fmt.Fprintf(&b, "listen: %s\npeer_listen: %s\npeer_key: %s\n", d.listen, d.peer, peerKey)
	fmt.Fprintf(&b, "operator_token_sha256: %x\n", sha256.Sum256([]byte(operatorToken)))
	fmt.Fprintf(&b, "platform:\n  log: %s\n  hosts: %s\n  weights: %s\n", s.log.address, s.hosts.address, s.weights.address)
	fmt.Fprintf(&b, "seeds: [%s]\n", strings.Join(seeds, ", "))
	return b.String()
}

// freeAddresses returns n addresses with ports that were free when it checked.
func freeAddresses(n int) ([]string, error) {
	var list []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		list = append(list, l.Addr().String())
	}
	return list, nil
}

func (s *site) startDaemons(ctx context.Context) error {
	for _, d := range s.daemons {
		if _, err := s.track(startDaemon(s.opts, d.host, d.config)); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	for _, d := range s.daemons {
		for !isHealthy(ctx, "http://"+d.listen+"/healthz") {
			if ctx.Err() != nil {
				return fmt.Errorf("daemon %s is not healthy; see its log", d.host)
			}
			time.Sleep(healthPollInterval)
		}
	}
	return nil
}

// isHealthy reports whether a GET of the URL returns status 200.
func isHealthy(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// writeEnv writes the file env with the shell variables for using the site. The file is
// written last and atomically, so that its existence means that the site is up.
func (s *site) writeEnv() error {
	var addresses, names []string
	for _, d := range s.daemons {
		addresses = append(addresses, d.listen)
		names = append(names, d.host)
	}
	text := fmt.Sprintf("BUCKTHORNDOCK_ADDRESS=%s\nBUCKTHORNDOCK_TOKEN=%s\nDAEMONS='%s'\nexport BUCKTHORNDOCK_ADDRESS BUCKTHORNDOCK_TOKEN\n",
		strings.Join(addresses, ","), operatorToken, strings.Join(names, " "))
	if err := s.writePIDs(); err != nil {
		return err
	}
	file := filepath.Join(s.opts.dir, "env")
	if err := os.WriteFile(file+".part", []byte(text), filePerm); err != nil {
		return err
	}
	return os.Rename(file+".part", file)
}

// writePIDs writes the name and id of each process, for tests that inject faults.
func (s *site) writePIDs() error {
	var b strings.Builder
	for _, p := range s.processes {
		fmt.Fprintf(&b, "%s %d\n", p.name, p.cmd.Process.Pid)
	}
	return os.WriteFile(filepath.Join(s.opts.dir, "pids"), []byte(b.String()), filePerm)
}

// mayEnd reports whether the test kills or stops the process.
func (s *site) mayEnd(p *process) bool {
	return slices.Contains(strings.Split(s.opts.mayEnd, ","), p.name)
}

// wait returns nil when the context ends, or an error when a process exits that must
// not end.
func (s *site) wait(ctx context.Context) error {
	ended := make(chan *process, len(s.processes))
	for _, p := range s.processes {
		if s.mayEnd(p) {
			continue
		}
		go func() {
			<-p.ended
			ended <- p
		}()
	}
	select {
	case <-ctx.Done():
		return nil
	case p := <-ended:
		return fmt.Errorf("%s exited on its own: %v; see its log", p.name, p.err)
	}
}

// stop ends every process in the reverse order of their start, so that daemons stop
// before the processes they depend on. It returns the errors of those that must not end.
func (s *site) stop() error {
	var errs []error
	for i := len(s.processes) - 1; i >= 0; i-- {
		err := s.processes[i].stop()
		if !s.mayEnd(s.processes[i]) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}
