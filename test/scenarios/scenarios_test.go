package scenarios

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	// The programs under test are built from these; importing them keeps go test
	// from reporting an old result after a change to one.
	_ "github.com/buckthorndock/buckthorndock/internal/cli"
	_ "github.com/buckthorndock/buckthorndock/internal/daemon"
	_ "github.com/buckthorndock/buckthorndock/internal/standin/command"
)

// binDir holds the programs under test.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "buckthorndock-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.CommandContext(context.Background(), "go", "build", "-o", dir+string(filepath.Separator), "../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	binDir = dir
	return m.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 ".",
		RequireExplicitExec: true,
		Setup:               setupSite,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"start":     cmdStart,
			"restart":   cmdRestart,
			"end":       cmdEnd,
			"freeze":    cmdFreeze,
			"resume":    cmdResume,
			"shutdown":  cmdShutdown,
			"leave":     cmdLeave,
			"exited":    cmdExited,
			"hosts":     cmdHosts,
			"fault":     cmdFault,
			"publish":   cmdPublish,
			"ready":     cmdReady,
			"runs":      cmdRuns,
			"books":     cmdBooks,
			"logged":    cmdLogged,
			"status":    cmdStatus,
			"answer":    cmdAnswer,
			"metric":    cmdMetric,
			"nap":       cmdNap,
			"promptof":  cmdPromptOf,
			"fetch":     cmdFetch,
			"cut":       cmdCut,
			"silence":   cmdSilence,
			"garbage":   cmdGarbage,
			"openai":    cmdOpenAI,
			"http":      cmdHTTP,
			"abandon":   cmdAbandon,
			"neverread": cmdNeverRead,
		},
	})
}
