//go:build crowd

package crowd

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// binDir has the programs, built from the current sources.
var binDir string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(withPrograms(m))
}

func withPrograms(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	build := exec.Command("go", "build", "-o", dir+"/", "../../cmd/buckthorndockd", "../../cmd/standin")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "the programs do not build:", err)
		return 1
	}
	return m.Run()
}
