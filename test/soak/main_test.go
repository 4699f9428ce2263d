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
	flagSeed        = flag.Uint64("seed", 1, "seed of the disruptions; 0: one is chosen and printed")
	flagSeeds       = flag.Int("seeds", 1, "how many seeds to run, from -seed upwards")
	flagMinutes     = flag.Float64("minutes", 8.0/60, "how long disruptions start for each seed")
	flagDaemons     = flag.Int("daemons", 3, "number of daemons")
	flagServers     = flag.Int("servers", 3, "number of servers of each of the two services")
	flagLosses      = flag.Int("losses", 2, "number of losses of power in TestPowerLoss")
	flagLossDaemons = flag.Int("loss-daemons", 8, "number of daemons in TestPowerLoss")
	flagLogs        = flag.String("logs", "", "keep the daemons' logs in this directory")
)

// roleEnv is the environment variable that names the role of a process of this binary.
const roleEnv = "SOAK_ROLE"

var daemonBinary string

func TestMain(m *testing.M) {
	if role := os.Getenv(roleEnv); role != "" {
		runRole(role)
		return
	}
	flag.Parse()
	os.Exit(withDaemon(m))
}

// withDaemon builds the daemon from the current sources and runs the tests with it.
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

// command is an instruction of the test to a stand-in: one line of JSON on its input.
type command struct {
	Op     string   `json:"op"`
	Name   string   `json:"name,omitempty"` // of a put: it is reported as stored under this name
	Fault  string   `json:"how,omitempty"`
	Stream string   `json:"stream,omitempty"`
	Key    string   `json:"key,omitempty"`
	Value  string   `json:"value,omitempty"`
	To     string   `json:"to,omitempty"`
	List   []string `json:"list,omitempty"`
	Number float64  `json:"number,omitempty"` // of a limit, requests a second; of a back-off, seconds; of slowness, a factor; of endless answers, a share
}

// report is an event that a stand-in reports to the test: one line of JSON on its output.
type report struct {
	What    string  `json:"what"` // listening, ran, ended, beat, limits, leaves, turned, full, crashed, cold, endless or stored
	Address string  `json:"address,omitempty"`
	ID      string  `json:"id,omitempty"`
	Server  string  `json:"server,omitempty"`
	Whole   bool    `json:"whole,omitempty"`
	At      int64   `json:"at,omitempty"`     // Unix time in ns
	Number  float64 `json:"number,omitempty"` // as in command
}

var outputMu sync.Mutex

// writeReport writes a report unbuffered: the pipe keeps it if this process is killed afterwards.
func writeReport(r report) {
	line, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	outputMu.Lock()
	defer outputMu.Unlock()
	_, _ = os.Stdout.Write(append(line, '\n'))
}

// readCommands calls do for each command. The process exits at the end of its input, so that
// none outlives the test.
func readCommands(do func(command)) {
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
