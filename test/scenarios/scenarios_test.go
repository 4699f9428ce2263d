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

// walkSources walks the sources of the programs under test. go test records the
// files that a test stats, and does not use a cached result after a change to them.
func walkSources() error {
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
	for _, args := range [][]string{{raceFlag, "../../cmd/buckthorndockd"}, {"../../cmd/buckthorndock", "../../cmd/standin"}} {
		args = append([]string{"build", "-o", dir + string(filepath.Separator)}, args...)
		build := exec.CommandContext(context.Background(), "go", args...)
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
			return 1
		}
	}
	binDir = dir
	return m.Run()
}

func TestScenarios(t *testing.T) {
	if err := walkSources(); err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir:                 ".",
		RequireExplicitExec: true,
		Setup:               setupSite,
		Cmds:                commands(),
	})
}

// scriptCommand implements one command of the scenarios.
type scriptCommand = func(ts *testscript.TestScript, neg bool, args []string)

// commands returns the commands of the scenarios; one per line, to avoid merge
// conflicts.
func commands() map[string]scriptCommand {
	c := map[string]scriptCommand{}
	c["abandon"] = cmdAbandon
	c["agree"] = cmdAgree
	c["answer"] = cmdAnswer
	c["books"] = cmdBooks
	c["codes"] = cmdCodes
	c["connections"] = cmdConnections
	c["count"] = cmdCount
	c["crowd"] = cmdCrowd
	c["crowdcomplete"] = cmdCrowdComplete
	c["cut"] = cmdCut
	c["deaths"] = cmdDeaths
	c["end"] = cmdEnd
	c["exited"] = cmdExited
	c["export"] = cmdExport
	c["fault"] = cmdFault
	c["fetch"] = cmdFetch
	c["freeze"] = cmdFreeze
	c["garbage"] = cmdGarbage
	c["hold"] = cmdHold
	c["hosts"] = cmdHosts
	c["http"] = cmdHTTP
	c["keepalive"] = cmdKeepAlive
	c["leave"] = cmdLeave
	c["link"] = cmdLink
	c["logged"] = cmdLogged
	c["manyheaders"] = cmdManyHeaders
	c["metric"] = cmdMetric
	c["nap"] = cmdNap
	c["nosecrets"] = cmdNoSecrets
	c["openai"] = cmdOpenAI
	c["partition"] = cmdPartition
	c["promptof"] = cmdPromptOf
	c["publish"] = cmdPublish
	c["ready"] = cmdReady
	c["restart"] = cmdRestart
	c["resume"] = cmdResume
	c["runs"] = cmdRuns
	c["rush"] = cmdRush
	c["shutdown"] = cmdShutdown
	c["silence"] = cmdSilence
	c["start"] = cmdStart
	c["status"] = cmdStatus
	c["together"] = cmdTogether
	c["trickle"] = cmdTrickle
	c["watch"] = cmdWatch
	c["watched"] = cmdWatched
	return c
}
