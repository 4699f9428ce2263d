package scenarios

import (
	"context"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// binDir holds the programs under test.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// lookAtSources walks the sources of the programs under test. go test notes what
// a test looks at, and does not report an old result after a change to it.
func lookAtSources() error {
	for _, dir := range []string{"../../cmd", "../../internal"} {
		err := filepath.WalkDir(dir, func(_ string, _ fs.DirEntry, err error) error { return err })
		if err != nil {
			return err
		}
	}
	return nil
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
	if err := lookAtSources(); err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir:                 ".",
		RequireExplicitExec: true,
		Setup:               setupSite,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"start":         cmdStart,
			"restart":       cmdRestart,
			"end":           cmdEnd,
			"hold":          cmdHold,
			"together":      cmdTogether,
			"freeze":        cmdFreeze,
			"resume":        cmdResume,
			"stop":          cmdStop,
			"leave":         cmdLeave,
			"exited":        cmdExited,
			"hosts":         cmdHosts,
			"fault":         cmdFault,
			"publish":       cmdPublish,
			"ready":         cmdReady,
			"runs":          cmdRuns,
			"books":         cmdBooks,
			"logged":        cmdLogged,
			"status":        cmdStatus,
			"answer":        cmdAnswer,
			"metric":        cmdMetric,
			"nap":           cmdNap,
			"promptof":      cmdPromptOf,
			"crowd":         cmdCrowd,
			"crowdcomplete": cmdCrowdComplete,
			"keepalive":     cmdKeepAlive,
			"deaths":        cmdDeaths,
			"fetch":         cmdFetch,
			"cut":           cmdCut,
			"silence":       cmdSilence,
			"garbage":       cmdGarbage,
			"openai":        cmdOpenAI,
			"http":          cmdHTTP,
			"abandon":       cmdAbandon,
			"neverread":     cmdNeverRead,
		},
	})
}
