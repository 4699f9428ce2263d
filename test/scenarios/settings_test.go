package scenarios

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// settingsState is the part of a daemon's status about the settings in force.
type settingsState struct {
	Offset int64  `json:"settings_offset"`
	Digest string `json:"settings_digest"`
}

// cmdAgree waits until daemons have the same settings in force, at an offset of
// the log:
// agree OFFSET DAEMON...
func cmdAgree(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "agree OFFSET DAEMON...")
	want, err := strconv.ParseInt(args[0], 10, 64)
	ts.Check(err)
	waitFor(ts, "agree "+strings.Join(args, " "), func() error {
		var states []settingsState
		for _, name := range args[1:] {
			text, err := getText(siteOf(ts).process(ts, name).address, "/operator/v1/status", operatorToken)
			if err != nil {
				return err
			}
			var st settingsState
			if err := json.Unmarshal([]byte(text), &st); err != nil {
				return err
			}
			states = append(states, st)
		}
		if states[0].Offset != want || states[0].Digest == "" || len(slices.Compact(slices.Clone(states))) != 1 {
			return fmt.Errorf("got %v", states)
		}
		return nil
	})
}

// cmdCount sets a variable to the number of runs that a stand-in has recorded so
// far: count VARIABLE NAME.
func cmdCount(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "count VARIABLE NAME")
	var w witness
	ts.Check(get(siteOf(ts).process(ts, args[1]).address, "/standin/witness", &w))
	ts.Setenv(args[0], strconv.Itoa(len(w.Runs)))
}

// cmdCodes checks the exit codes that several commands wrote to files, in any
// order: codes FILE[,FILE...] CODE...
func cmdCodes(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "codes FILE[,FILE...] CODE...")
	var got []string
	for _, file := range strings.Split(args[0], ",") {
		got = append(got, strings.TrimSpace(ts.ReadFile(file)))
	}
	want := slices.Clone(args[1:])
	slices.Sort(got)
	slices.Sort(want)
	if !slices.Equal(got, want) {
		ts.Fatalf("exit codes %v, not %v", got, want)
	}
}
