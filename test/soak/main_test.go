package soak

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

var (
	flagSeed    = flag.Uint64("seed", 1, "draws the troubles; 0: one is chosen and printed")
	flagSeeds   = flag.Int("seeds", 1, "how many seeds to play, from -seed upwards")
	flagMinutes = flag.Float64("minutes", 8.0/60, "how long troubles come for each seed")
	flagDaemons = flag.Int("daemons", 3, "number of daemons")
	flagServers = flag.Int("servers", 3, "number of servers of each of the two services")
	flagLogs    = flag.String("logs", "", "keep the daemons' logs in this directory")
)

// roleEnv names the part that a process of this binary plays.
const roleEnv = "SOAK_ROLE"

var daemonBinary string

func TestMain(m *testing.M) {
	if role := os.Getenv(roleEnv); role != "" {
		playRole(role)
		return
	}
	flag.Parse()
	os.Exit(withDaemon(m))
}

// withDaemon builds the daemon as it stands and runs the tests with it.
func withDaemon(m *testing.M) int {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	daemonBinary = filepath.Join(dir, "buckthorndockd")
	build := exec.Command("go", "build", "-o", daemonBinary, "../../cmd/buckthorndockd")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "the daemon does not build:", err)
		return 1
	}
	return m.Run()
}

// command is what the test tells a stand-in: one line of JSON on its input.
type command struct {
	Op     string   `json:"op"`
	Name   string   `json:"name,omitempty"`
	How    string   `json:"how,omitempty"`
	Stream string   `json:"stream,omitempty"`
	Key    string   `json:"key,omitempty"`
	Value  string   `json:"value,omitempty"`
	To     string   `json:"to,omitempty"`
	List   []string `json:"list,omitempty"`
	Number float64  `json:"number,omitempty"` // of a limit, requests a second; of a back-off, seconds
}

// report is what a stand-in tells the test: one line of JSON on its output.
type report struct {
	What    string  `json:"what"` // listening, ran, ended, beat, limits, leaves, turned, crashed or cold
	Address string  `json:"address,omitempty"`
	ID      string  `json:"id,omitempty"`
	Server  string  `json:"server,omitempty"`
	Whole   bool    `json:"whole,omitempty"`
	At      int64   `json:"at,omitempty"`     // Unix time in ns
	Number  float64 `json:"number,omitempty"` // as of the command
}

var printing sync.Mutex

// tell writes a report at once: the pipe keeps it when this process is killed after it.
func tell(r report) {
	line, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	printing.Lock()
	defer printing.Unlock()
	_, _ = os.Stdout.Write(append(line, '\n'))
}

// commands calls do for each command; the process ends with its input, so none outlives
// the test.
func commands(do func(command)) {
	lines := bufio.NewScanner(os.Stdin)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var c command
		if err := json.Unmarshal(lines.Bytes(), &c); err != nil {
			panic(err)
		}
		do(c)
	}
	os.Exit(0)
}
