//go:build crowd

package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// waitTimeout bounds every wait for a condition. It is generous, so that it passes only if the
// condition never becomes true.
const waitTimeout = 60 * time.Second

const pollInterval = 20 * time.Millisecond

// Limits of each process under test, in its settings.
const (
	memoryMB = 128
	maxFiles = 1600
)

// process is one program under test.
type process struct {
	cmd       *exec.Cmd
	memoryMB  int           // its limit
	log       string        // file with what it wrote
	firstLine chan string   // of its standard output
	ended     chan struct{} // closed when it has exited
	result    error         // of its exit
}

// start starts a program of binDir, whose settings allow it memoryMB. It is killed at the end of the test.
func start(t *testing.T, memoryMB int, program string, args ...string) *process {
	t.Helper()
	p := &process{memoryMB: memoryMB, log: filepath.Join(t.TempDir(), program+".log"), firstLine: make(chan string, 1), ended: make(chan struct{})}
	log, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(filepath.Join(binDir, program), args...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	p.cmd.Stderr = log
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		r := bufio.NewReader(out)
		line, _ := r.ReadString('\n')
		p.firstLine <- line
		_, _ = io.WriteString(log, line)
		_, _ = io.Copy(log, r)
		p.result = p.cmd.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // it may have exited
		<-p.ended
	})
	return p
}

// alive reports whether the process has not exited.
func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// stop sends SIGTERM and checks that the process ends by itself, as one that is done.
func (p *process) stop(t *testing.T) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case <-p.ended:
	case <-time.After(waitTimeout):
		t.Fatalf("the daemon does not stop\n%s", p.logTail())
	}
	if p.result != nil {
		t.Errorf("it ended with %v\n%s", p.result, p.logTail())
	}
}

// logTail returns the last lines that the process wrote.
func (p *process) logTail() string {
	const lines = 12
	text, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	all := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(all[max(len(all)-lines, 0):], "\n")
}

// await polls until a condition holds.
func await(t *testing.T, p *process, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if holds() {
			return
		}
		if !p.alive() {
			t.Fatalf("%s: the process has ended: %v\n%s", what, p.result, p.logTail())
		}
	}
	t.Fatalf("never: %s\n%s", what, p.logTail())
}

var numIPs atomic.Int64

// ownIP returns a loopback address for one test alone.
func ownIP() string {
	const maxOctet = 250
	return fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()%maxOctet, 1+numIPs.Add(1)%maxOctet)
}

// freeAddresses returns n free addresses of an IP.
func freeAddresses(t *testing.T, ip string, n int) []string {
	t.Helper()
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}
