package scenarios

import (
	"path/filepath"
	"syscall"
	"testing"
)

// TestProcessesHaveTheirOwnProcessGroups guards against frozen processes that continue: the kernel
// continues the stopped processes of a group that becomes orphaned, as when the shell exits that
// started the tests. A log that a scenario had frozen answered then.
func TestProcessesHaveTheirOwnProcessGroups(t *testing.T) {
	p := &process{name: "log", kind: "log", args: []string{"log", "--listen", "127.0.0.1:0"}, logFile: filepath.Join(t.TempDir(), "log")}
	if err := p.launch(); err != nil {
		t.Fatal(err)
	}
	defer p.kill()
	group, err := syscall.Getpgid(p.cmd.Process.Pid)
	if err != nil {
		t.Fatal(err)
	}
	if group != p.cmd.Process.Pid {
		t.Errorf("process %d is in process group %d, that of the tests", p.cmd.Process.Pid, group)
	}
}
