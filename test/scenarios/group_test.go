package scenarios

import (
	"path/filepath"
	"syscall"
	"testing"
)

// TestProcessesHaveGroupsOfTheirOwn: the kernel lets a stopped process go on when its group
// loses the last parent outside it, as when the shell ends that began the tests. A log that a
// scenario had frozen answered then.
func TestProcessesHaveGroupsOfTheirOwn(t *testing.T) {
	p := &process{name: "log", kind: "log", args: []string{"log", "--listen", "127.0.0.1:0"}, logFile: filepath.Join(t.TempDir(), "log")}
	if err := p.launch(); err != nil {
		t.Fatal(err)
	}
	defer p.end()
	group, err := syscall.Getpgid(p.cmd.Process.Pid)
	if err != nil {
		t.Fatal(err)
	}
	if group != p.cmd.Process.Pid {
		t.Errorf("process %d is in group %d, that of the tests", p.cmd.Process.Pid, group)
	}
}
