package soak

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/platform/standin"
)

const (
	slowCallers = 150
	slowBody    = 2 << 20 // bytes of each of their requests
	memoryMB    = 256     // of a daemon, by its file
	slowWork    = 2 * time.Second
)

// TestMemoryOfADaemonStaysBoundedUnderSlowReaders guards against a daemon that holds all that
// callers send while its servers are slow, or all that servers answer while callers do not
// read: 150 callers send 2 MiB each and read nothing.
func TestMemoryOfADaemonStaysBoundedUnderSlowReaders(t *testing.T) {
	t.Parallel()
	r := newRig(t, play{seed: 1, daemons: 1, servers: 2})
	d := r.daemons[0]
	if !r.eventually(recoveryWait, r.allListen) || !r.eventually(recoveryWait, func() bool { return r.allServe(1) }) {
		t.Fatal("the site does not serve")
	}
	done := make(chan bool, slowCallers)
	for n := range slowCallers {
		go func() {
			defer func() { done <- true }()
			r.sendSlowly(d, n)
		}()
	}
	most, left := 0, slowCallers
	for left > 0 {
		select {
		case <-done:
			left--
		case <-time.After(20 * time.Millisecond):
			most = max(most, residentMB(t, d.proc.cmd.Process.Pid))
		}
	}
	t.Logf("%d MB at the most", most)
	if most >= memoryMB {
		t.Errorf("the daemon took %d MB of %d", most, memoryMB)
	}
	if !r.eventually(recoveryWait, func() bool { return r.allServe(1) }) {
		t.Error("the daemon does not serve after it")
	}
}

// sendSlowly sends a large request and reads nothing of its answer.
func (r *rig) sendSlowly(d *daemon, n int) {
	c, err := net.Dial("tcp", d.front)
	if err != nil {
		return // a daemon that takes no more callers holds nothing for them
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * slowWork))
	head := fmt.Sprintf("POST /%s/x?work=%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n",
		kindOnce, slowWork.Milliseconds(), slowBody, standin.HeaderLines(fmt.Sprint("slow-", n), key(r.history.newest())))
	if _, err := c.Write([]byte(head)); err != nil {
		return
	}
	_, _ = c.Write(make([]byte, slowBody)) // it may be refused meanwhile
	time.Sleep(slowWork)
}

// residentMB returns the memory of a process that is resident.
func residentMB(t *testing.T, pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		t.Fatal("the daemon has ended")
	}
	kb, err := strconv.Atoi(fields[0])
	if err != nil {
		t.Fatal(err)
	}
	return kb / 1024
}
