package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/platform/standin"
)

// endlessInterval is the mean interval at which servers begin to send answers without end.
const endlessInterval = 6 * time.Second

// drawEndless returns periods in which a server sends some answers without end.
func drawEndless(seed uint64, length time.Duration, servers int) []disruption {
	return drawEach(seed, 13, endlessInterval, length, func(rng *rand.Rand) disruption {
		form := standin.EndlessForms[rng.IntN(len(standin.EndlessForms))]
		lasts := minDuration + time.Duration(rng.Int64N(int64(maxDuration)))
		return disruption{kind: endlessServer, param: string(form), target: rng.IntN(servers), duration: lasts}
	})
}

// sendEndless has a server send some answers without end, for the duration of the disruption.
func (r *rig) sendEndless(s *server, dis disruption) {
	r.sendCommand(s.proc, command{Op: "endless", Fault: dis.param, Number: endlessShare})
	time.Sleep(dis.duration)
	r.sendCommand(s.proc, command{Op: "endless"})
}

// endlessShare is the share of its answers that a server sends without end.
const endlessShare = 0.3

// anyEndless stands for all forms, each also broken off with the connection kept open.
const anyEndless = "any"

// Choices among the answers of a server, which follow from their number.
const (
	endlessCycle = 10
	stallStep    = 131_071
	maxStall     = 1 << 20 // bytes
)

// endlessAnswer returns what the command asks for in place of the server's nth answer, nil for the usual
// answer.
func endlessAnswer(s *standin.Server, c *command, n int) standin.Answer {
	if c == nil || float64(n%endlessCycle) >= c.Number*endlessCycle {
		return nil
	}
	form, stall := standin.EndlessForm(c.Fault), 0
	if c.Fault == anyEndless {
		form = standin.EndlessForms[n%len(standin.EndlessForms)]
		stall = n % 2 * (n * stallStep % maxStall)
	}
	return s.Endless(form, stall, 2*callerDeadline)
}

// greedy is the mutant whose daemons are allowed less memory than any daemon takes.
const (
	greedy         = "greedy"
	greedyMemoryMB = 8
)

// checkMemory checks that a daemon has not taken more memory than its file allows. One that has is
// killed where the platform applies the limit.
func (r *rig) checkMemory(d *daemon) {
	if mb := processMB(d.proc.cmd.Process.Pid, "VmHWM:"); mb >= r.memoryMB {
		r.history.addFinding("memory stays within its limit", "%s took %d MB of %d", d.name, mb, r.memoryMB)
	}
}

// processMB returns a figure of a process's memory in MB (2^20 bytes), 0 if the process has ended.
func processMB(pid int, field string) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), field)
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, err := strconv.Atoi(fields[0])
	if err != nil {
		return 0
	}
	return kb / 1024
}

// Sizes of the test of the memory of all exchanges in progress.
const (
	smallestMemoryMB = 160 // of the smallest host that a daemon is made for
	endlessCallers   = 700
	endlessPeriod    = 8 * time.Second // longer than a request's deadline
	soundCallers     = 8
)

// TestEndlessAnswersStayWithinTheMemory has hundreds of callers at the smallest host whose servers send
// answers without end in every form, or stop in the middle of one. It guards against a daemon that
// exceeds its memory, by one exchange or by all together, and loses the requests of the
// callers of sound servers.
func TestEndlessAnswersStayWithinTheMemory(t *testing.T) {
	r := newRig(t, scenario{seed: 1, daemons: 1, servers: 2, fewServers: 1, memoryMB: smallestMemoryMB})
	d := r.daemons[0]
	if !r.eventually(recoveryWait, r.allListen) || !r.eventually(recoveryWait, func() bool { return r.allServe(1) }) {
		t.Fatal("the site does not serve")
	}
	for _, s := range r.servers {
		if s.service != fewService {
			r.sendCommand(s.proc, command{Op: "endless", Fault: anyEndless, Number: 1})
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), endlessPeriod)
	defer cancel()
	var all sync.WaitGroup
	var answered, lost, sent atomic.Int64
	for n := range endlessCallers {
		all.Go(func() { r.askFaulty(ctx, d, n, &sent) })
	}
	for n := range soundCallers {
		all.Go(func() { r.askSound(ctx, d, n, &answered, &lost) })
	}
	all.Wait()
	t.Logf("%d requests to faulty servers; %d of sound servers answered, %d lost; %d MB at most", sent.Load(), answered.Load(), lost.Load(), processMB(d.proc.cmd.Process.Pid, "VmHWM:"))
	r.checkMemory(d)
	if lost.Load() > 0 || answered.Load() == 0 {
		t.Errorf("sound servers: %d answered, %d lost", answered.Load(), lost.Load())
	}
	for _, f := range r.history.findings {
		t.Error(f)
	}
	for _, s := range r.servers {
		r.sendCommand(s.proc, command{Op: "endless"})
	}
	if !r.eventually(recoveryWait, func() bool { return r.allServe(1) }) {
		t.Error("the daemon does not serve afterwards")
	}
	held := func() bool {
		return strings.Contains(getPage(d.metrics, "/metrics"), "\nbuckthorndock_inbound_memory_bytes{use=\"answers\"} 0\n")
	}
	if !r.eventually(recoveryWait, held) {
		t.Error("memory for answers is left")
	}
}

// askFaulty sends requests to faulty servers, and reads what comes.
func (r *rig) askFaulty(ctx context.Context, d *daemon, n int, sent *atomic.Int64) {
	c := r.newCaller(d, n, uint64(n))
	c.name = fmt.Sprint("faulty-", n)
	c.client.Timeout = endlessPeriod
	for ctx.Err() == nil {
		kind, query := kindOnce, ""
		switch n % 3 {
		case 1:
			kind = kindAgain
		case 2:
			kind, query = kindStream, "stream=1"
		}
		req, _ := c.request(ctx, kind, query, r.history.newestVersion())
		res, err := c.client.Do(req)
		sent.Add(1)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, res.Body) // it ends with the deadline, or in an error
		res.Body.Close()
	}
}

// askSound sends requests to sound servers on a kept connection.
func (r *rig) askSound(ctx context.Context, d *daemon, n int, answered, lost *atomic.Int64) {
	c := r.newCaller(d, n, uint64(n))
	c.name = fmt.Sprint("sound-", n)
	c.customer = competitors[0].name
	for ctx.Err() == nil {
		o := c.send(kindFew, "", r.history.newestVersion())
		switch {
		case o.failed != nil:
			lost.Add(1)
		case o.status == http.StatusOK:
			answered.Add(1)
		}
		time.Sleep(callerPause)
	}
}
