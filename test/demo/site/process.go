package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	addressTimeout = 10 * time.Second // for a process to say its address
	stopTimeout    = 10 * time.Second // for a process to end by itself
)

// addressPrefix starts the first line of every stand-in.
const addressPrefix = "listening address="

// process is one running program.
type process struct {
	name    string
	cmd     *exec.Cmd
	address string // of a stand-in
	ended   chan struct{}
	err     error // of the end
}

// startProcess starts a program in a process group of its own, so that only the
// site's orderly stop ends it. Its standard error goes to a log file.
func startProcess(dir, name, program string, args ...string) (p *process, stdout io.Reader, err error) {
	log, err := os.Create(filepath.Join(dir, "logs", name+".log"))
	if err != nil {
		return nil, nil, err
	}
	defer log.Close()
	cmd := exec.Command(program, args...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Stderr = log
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, nil, fmt.Errorf("start %s: %w", name, err)
	}
	return &process{name: name, cmd: cmd, ended: make(chan struct{})}, out, nil
}

// watch reads the standard output to its end and then waits for the process.
func (p *process) watch(stdout io.Reader, firstLine chan<- string) {
	r := bufio.NewReader(stdout)
	line, _ := r.ReadString('\n')
	firstLine <- strings.TrimSpace(line)
	_, _ = io.Copy(io.Discard, r)
	p.err = p.cmd.Wait()
	close(p.ended)
}

// startStandin starts a stand-in and waits for its address.
func startStandin(o options, name string, args ...string) (*process, error) {
	p, stdout, err := startProcess(o.dir, name, filepath.Join(o.bin, "standin"), args...)
	if err != nil {
		return nil, err
	}
	line := make(chan string, 1)
	go p.watch(stdout, line)
	select {
	case text := <-line:
		address, ok := strings.CutPrefix(text, addressPrefix)
		if !ok {
			return p, fmt.Errorf("%s gave %q in place of its address; see its log", name, text)
		}
		p.address = address
		return p, nil
	case <-time.After(addressTimeout):
		return p, fmt.Errorf("%s gave no address", name)
	}
}

// startDaemon starts a daemon.
func startDaemon(o options, name, config string) (*process, error) {
	p, stdout, err := startProcess(o.dir, name, filepath.Join(o.bin, "buckthorndockd"), "--config", config)
	if err != nil {
		return nil, err
	}
	go p.watch(stdout, make(chan string, 1))
	return p, nil
}

// stop ends a process: by a signal first, by force after a while.
func (p *process) stop() error {
	select {
	case <-p.ended:
		return fmt.Errorf("%s had ended: %v", p.name, p.err)
	default:
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	_ = p.cmd.Process.Signal(syscall.SIGCONT) // one that was stopped
	select {
	case <-p.ended:
		return nil
	case <-time.After(stopTimeout):
	}
	_ = p.cmd.Process.Kill()
	<-p.ended
	return fmt.Errorf("%s did not end within %v and was killed", p.name, stopTimeout)
}
