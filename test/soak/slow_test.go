package soak

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/platform/standin"
)

const (
	slowCallers = 150
	slowBody    = 2 << 20 // bytes of each of their requests
	memoryMB    = 256     // limit of a daemon, from its configuration file
	slowWork    = 2 * time.Second
)

// TestMemoryOfADaemonStaysBoundedUnderSlowReaders guards against a daemon that buffers all that
// callers send while its servers are slow, or all that servers answer while callers do not
// read: 150 callers send 2 MiB each and read nothing.
func TestMemoryOfADaemonStaysBoundedUnderSlowReaders(t *testing.T) {
	t.Parallel()
	r := newRig(t, scenario{seed: 1, daemons: 1, servers: 2})
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
	maxMB, left := 0, slowCallers
	for left > 0 {
		select {
		case <-done:
			left--
		case <-time.After(20 * time.Millisecond):
			maxMB = max(maxMB, processMB(d.proc.cmd.Process.Pid, "VmRSS:"))
		}
	}
	t.Logf("%d MB at most", maxMB)
	if maxMB == 0 {
		t.Error("the daemon has ended")
	}
	if maxMB >= memoryMB {
		t.Errorf("the daemon took %d MB; its limit is %d", maxMB, memoryMB)
	}
	if !r.eventually(recoveryWait, func() bool { return r.allServe(1) }) {
		t.Error("the daemon does not serve afterwards")
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
		kindOnce, slowWork.Milliseconds(), slowBody, standin.HeaderLines(fmt.Sprint("slow-", n), apiKey(r.history.newestVersion())))
	if _, err := c.Write([]byte(head)); err != nil {
		return
	}
	_, _ = c.Write(make([]byte, slowBody)) // the daemon may refuse it meanwhile
	time.Sleep(slowWork)
}
