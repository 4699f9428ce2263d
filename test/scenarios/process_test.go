package scenarios

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// waitTimeout bounds every wait for a condition. It is generous, so that it
// passes only if the condition never becomes true.
const waitTimeout = 30 * time.Second

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// process is one started program of a scenario.
type process struct {
	name    string
	kind    string // engine, service, log, hosts, weights or daemon
	args    []string
	domain  string
	address string // of its API
	peer    string // address of a daemon's peer listener
	logFile string

	cmd    *exec.Cmd
	exited chan struct{}
	state  *os.ProcessState
}

// launch starts the program and waits until it listens. A stand-in prints its
// address in its first line.
func (p *process) launch() error {
	program := "standin"
	if p.kind == kindDaemon {
		program = "buckthorndockd"
	}
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(context.Background(), filepath.Join(binDir, program), p.args...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // see TestProcessesHaveTheirOwnProcessGroups
	cmd.Stderr = log
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	p.exited = make(chan struct{})
	first := make(chan string, 1)
	copied := make(chan struct{})
	go func() {
		defer close(copied)
		r := bufio.NewReader(out)
		line, _ := r.ReadString('\n')
		first <- line
		_, _ = io.WriteString(log, line)
		_, _ = io.Copy(log, r)
	}()
	go func() {
		<-copied
		_ = cmd.Wait()
		p.state = cmd.ProcessState
		_ = log.Close()
		close(p.exited)
	}()
	if p.kind == kindDaemon {
		return p.waitListening()
	}
	select {
	case line := <-first:
		return p.parseAddress(line)
	case <-time.After(waitTimeout):
		return fmt.Errorf("%s printed no address", p.name)
	}
}

// waitListening waits until a daemon accepts connections, or has exited.
func (p *process) waitListening() error {
	deadline := time.Now().Add(waitTimeout)
	for p.running() && time.Now().Before(deadline) {
		conn, err := net.Dial("tcp", p.address)
		if err == nil {
			return conn.Close()
		}
		time.Sleep(pollInterval)
	}
	if !p.running() {
		return nil // a scenario may test that a daemon does not start
	}
	return fmt.Errorf("%s does not listen", p.name)
}

func (p *process) parseAddress(line string) error {
	_, address, ok := strings.Cut(strings.TrimSpace(line), "address=")
	if !ok {
		return fmt.Errorf("%s: no address in %q", p.name, line)
	}
	p.address = address
	return nil
}

func (p *process) signal(s syscall.Signal) error {
	return p.cmd.Process.Signal(s)
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// waitExit waits until the process has exited.
func (p *process) waitExit() error {
	select {
	case <-p.exited:
		return nil
	case <-time.After(waitTimeout):
		return fmt.Errorf("%s did not exit", p.name)
	}
}

// kill kills the process, also when it is frozen, and waits for its exit.
func (p *process) kill() {
	if p.cmd == nil || !p.running() {
		return
	}
	_ = p.signal(syscall.SIGKILL)
	<-p.exited
}

// Ports for daemons come from below the range that the kernel uses for outgoing
// connections, so that none is taken between its choice and its use.
const (
	firstPort = 10000
	numPorts  = 20000
)

var ports struct {
	sync.Mutex
	used map[int]bool
}

// freeAddress returns a loopback IP:port on which nothing listens. Each port is
// returned once.
func freeAddress() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	if ports.used == nil {
		ports.used = map[int]bool{}
	}
	for range numPorts {
		port := firstPort + rand.IntN(numPorts)
		if ports.used[port] {
			continue
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		ports.used[port] = true
		return address, nil
	}
	return "", fmt.Errorf("no free port")
}
