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
	addressTimeout = 10 * time.Second // for a stand-in to print its address
	stopTimeout    = 10 * time.Second // for a process to exit after SIGTERM
)

// addressPrefix is the start of the first line that every stand-in prints.
const addressPrefix = "listening address="

// process is one process of the site.
type process struct {
	name    string
	cmd     *exec.Cmd
	address string        // IP:port of a stand-in, empty for a daemon
	ended   chan struct{} // closed when the process has exited
	err     error         // result of Wait; read it after ended is closed
}

// startProcess starts a program in its own process group, so that signals from the
// terminal do not reach it and only stop ends it. Its standard error goes to a log file.
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

// watch sends the first line of the standard output to firstLine, reads the rest and
// waits until the process has exited.
func (p *process) watch(stdout io.Reader, firstLine chan<- string) {
	r := bufio.NewReader(stdout)
	line, _ := r.ReadString('\n')
	firstLine <- strings.TrimSpace(line)
	_, _ = io.Copy(io.Discard, r)
	p.err = p.cmd.Wait()
	close(p.ended)
}

// startStandin starts a stand-in and waits until it has printed its address. The process
// is returned also with an error when it was started.
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
			return p, fmt.Errorf("%s printed %q instead of its address; see its log", name, text)
		}
		p.address = address
		return p, nil
	case <-time.After(addressTimeout):
		return p, fmt.Errorf("%s printed no address within %v", name, addressTimeout)
	}
}

// startDaemon starts a daemon with its configuration file.
func startDaemon(o options, name, config string) (*process, error) {
	p, stdout, err := startProcess(o.dir, name, filepath.Join(o.bin, "buckthorndockd"), "--config", config)
	if err != nil {
		return nil, err
	}
	go p.watch(stdout, make(chan string, 1))
	return p, nil
}

// stop sends SIGTERM and, after stopTimeout, SIGKILL. It returns an error when the
// process had exited before or had to be killed.
func (p *process) stop() error {
	select {
	case <-p.ended:
		return fmt.Errorf("%s had already exited: %v", p.name, p.err)
	default:
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	_ = p.cmd.Process.Signal(syscall.SIGCONT) // a stopped process handles SIGTERM only then
	select {
	case <-p.ended:
		return nil
	case <-time.After(stopTimeout):
	}
	_ = p.cmd.Process.Kill()
	<-p.ended
	return fmt.Errorf("%s did not exit within %v and was killed", p.name, stopTimeout)
}
