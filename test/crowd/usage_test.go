//go:build crowd

package crowd

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// usage watches what a process takes while a crowd plays.
type usage struct {
	pid       int
	limitMB   int                     // of its memory
	addresses map[netip.AddrPort]bool // on which it listens
	stop      chan struct{}
	stopped   sync.WaitGroup

	memoryKB int // resident and unread, at most
	unreadKB int // held by the kernel for the process, at most
	files    int // open, at most
}

// watch starts to watch a process that listens on the addresses.
func watch(t *testing.T, p *process, addresses ...string) *usage {
	t.Helper()
	u := &usage{pid: p.cmd.Process.Pid, limitMB: p.memoryMB, addresses: map[netip.AddrPort]bool{}, stop: make(chan struct{})}
	for _, a := range addresses {
		u.addresses[netip.MustParseAddrPort(a)] = true
	}
	u.stopped.Go(func() {
		for {
			u.sample()
			select {
			case <-u.stop:
				return
			case <-time.After(pollInterval):
			}
		}
	})
	return u
}

func (u *usage) sample() {
	unread := unreadBytes(u.addresses) / 1024
	u.unreadKB = max(u.unreadKB, unread)
	u.memoryKB = max(u.memoryKB, statusKB(u.pid, "VmRSS:")+unread, statusKB(u.pid, "VmHWM:"))
	if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", u.pid)); err == nil {
		u.files = max(u.files, len(files))
	}
}

// judge ends the watch and compares what the process took with its settings.
func (u *usage) judge(t *testing.T) {
	t.Helper()
	close(u.stop)
	u.stopped.Wait()
	const kbPerMB = 1024
	t.Logf("%d MB at most, of them unread in the kernel up to %d MB; %d files", u.memoryKB/kbPerMB, u.unreadKB/kbPerMB, u.files)
	if u.memoryKB == 0 || u.files == 0 {
		t.Error("the process was not seen")
	}
	if u.memoryKB > u.limitMB*kbPerMB {
		t.Errorf("%d MB of %d", u.memoryKB/kbPerMB, u.limitMB)
	}
	if u.files > maxFiles {
		t.Errorf("%d files of %d", u.files, maxFiles)
	}
}

// statusKB returns a figure of a process's memory, 0 if the process has ended.
func statusKB(pid int, field string) int {
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
	return kb
}

// stateListen is the state of listening sockets in /proc/net/tcp. Their queue counts connections.
const stateListen = "0A"

// unreadBytes returns what the kernel has received and not yet passed on for connections whose local
// address is one of the addresses.
func unreadBytes(addresses map[netip.AddrPort]bool) int {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	sum := 0
	for line := range bytes.Lines(text) {
		fields := strings.Fields(string(line))
		const local, state, queues = 1, 3, 4
		if len(fields) <= queues || fields[state] == stateListen || !addresses[parseLocal(fields[local])] {
			continue
		}
		_, received, _ := strings.Cut(fields[queues], ":")
		n, err := strconv.ParseInt(received, 16, 64)
		if err == nil {
			sum += int(n)
		}
	}
	return sum
}

// parseLocal parses an address as /proc/net/tcp has it: the IP in the machine's byte order.
func parseLocal(s string) netip.AddrPort {
	ip, port, _ := strings.Cut(s, ":")
	raw, err := hex.DecodeString(ip)
	if err != nil || len(raw) != net.IPv4len {
		return netip.AddrPort{}
	}
	var b [net.IPv4len]byte
	binary.NativeEndian.PutUint32(b[:], binary.BigEndian.Uint32(raw))
	n, err := strconv.ParseUint(port, 16, 16)
	if err != nil {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(netip.AddrFrom4(b), uint16(n))
}
