package scenarios

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// run is one run of a request in a stand-in's record (/standin/witness).
type run struct {
	RequestID    string `json:"request_id"`
	Attempt      int    `json:"attempt"`
	Target       string `json:"target"`
	PromptSHA256 string `json:"prompt_sha256"`
	State        string `json:"state"`
}

type witness struct {
	Runs []run `json:"runs"`
}

// cmdRuns waits until the stand-ins together have recorded a number of runs, of
// one state if given: runs NAME[,NAME...] [STATE] COUNT. COUNT+ allows more.
func cmdRuns(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "runs NAME[,NAME...] [STATE] COUNT[+]")
	s := siteOf(ts)
	count := args[len(args)-1]
	atLeast := strings.HasSuffix(count, "+")
	want, err := strconv.Atoi(strings.TrimSuffix(count, "+"))
	ts.Check(err)
	state := ""
	if len(args) == 3 {
		state = args[1]
	}
	waitFor(ts, strings.Join(append([]string{"runs"}, args...), " "), func() error {
		got := 0
		for _, name := range strings.Split(args[0], ",") {
			var w witness
			if err := get(s.process(ts, name).address, "/standin/witness", &w); err != nil {
				return err
			}
			for _, r := range w.Runs {
				if state == "" || r.State == state {
					got++
				}
			}
		}
		if got == want || atLeast && got >= want {
			return nil
		}
		return fmt.Errorf("got %d", got)
	})
}

// books is an engine's report of what holds its memory.
type books struct {
	Used         int64             `json:"memory_used_tokens"`
	Running      []json.RawMessage `json:"running"`
	Reservations []json.RawMessage `json:"reservations"`
	Exports      []json.RawMessage `json:"exports"`
}

// cmdBooks waits until nothing holds memory on the engines; with ! until
// something does on each: [!] books NAME...
func cmdBooks(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, false, args, 1, "[!] books NAME...")
	for _, name := range args {
		p := siteOf(ts).process(ts, name)
		waitFor(ts, "books "+name, func() error {
			var b books
			if err := get(p.address, "/v1/books", &b); err != nil {
				return err
			}
			held := len(b.Running) + len(b.Reservations) + len(b.Exports)
			empty := b.Used == 0 && held == 0
			if empty == neg {
				return fmt.Errorf("%d tokens held by %d", b.Used, held)
			}
			return nil
		})
	}
}

// cmdLogged waits until a process has logged a line that matches: logged NAME
// REGEXP. With ! it checks once that there is no such line.
func cmdLogged(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, false, args, 2, "[!] logged NAME REGEXP")
	p := siteOf(ts).process(ts, args[0])
	re, err := regexp.Compile("(?m)" + args[1])
	ts.Check(err)
	found := func() error {
		text, err := os.ReadFile(p.logFile)
		if err != nil {
			return err
		}
		if !re.Match(text) {
			return fmt.Errorf("no match")
		}
		return nil
	}
	if !neg {
		waitFor(ts, "logged "+args[0]+" "+args[1], found)
		return
	}
	if found() == nil {
		ts.Fatalf("%s has logged %s", args[0], args[1])
	}
}

// cmdStatus waits until a daemon's status, as JSON text, matches: [!] status
// DAEMON REGEXP.
func cmdStatus(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, false, args, 2, "[!] status DAEMON REGEXP")
	re, err := regexp.Compile(args[1])
	ts.Check(err)
	p := siteOf(ts).process(ts, args[0])
	waitFor(ts, "status "+args[0]+" "+args[1], func() error {
		text, err := getText(p.address, "/operator/v1/status", operatorToken)
		if err != nil {
			return err
		}
		if re.MatchString(text) == neg {
			return fmt.Errorf("got %s", text)
		}
		return nil
	})
}

// cmdMetric waits until the value of a metric of a daemon compares as given:
// metric DAEMON NAME OP NUMBER, with OP one of == >= <=. An absent metric counts
// as 0.
func cmdMetric(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 4, "metric DAEMON NAME ==|>=|<= NUMBER")
	want, err := strconv.ParseFloat(args[3], 64)
	ts.Check(err)
	p := siteOf(ts).process(ts, args[0])
	waitFor(ts, "metric "+strings.Join(args, " "), func() error {
		text, err := getText(p.address, "/metrics", "")
		if err != nil {
			return err
		}
		got := metricValue(text, args[1])
		switch {
		case args[2] == "==" && got == want, args[2] == ">=" && got >= want, args[2] == "<=" && got <= want:
			return nil
		}
		return fmt.Errorf("got %v", got)
	})
}

// metricValue returns the sum of a metric over all its labels.
func metricValue(text, name string) float64 {
	var sum float64
	for line := range strings.Lines(text) {
		rest, ok := strings.CutPrefix(line, name)
		if !ok || rest == "" || rest[0] != ' ' && rest[0] != '{' {
			continue
		}
		fields := strings.Fields(rest)
		v, err := strconv.ParseFloat(fields[len(fields)-1], 64)
		if err == nil {
			sum += v
		}
	}
	return sum
}

// cmdFetch waits until a stand-in's answer to a GET matches: [!] fetch NAME PATH
// REGEXP.
func cmdFetch(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, false, args, 3, "[!] fetch NAME PATH REGEXP")
	re, err := regexp.Compile(args[2])
	ts.Check(err)
	p := siteOf(ts).process(ts, args[0])
	waitFor(ts, "fetch "+strings.Join(args, " "), func() error {
		text, err := getText(p.address, args[1], "")
		if err != nil {
			return err
		}
		if re.MatchString(text) == neg {
			return fmt.Errorf("got %s", text)
		}
		return nil
	})
}

// cmdReady waits until daemons are ready (/readyz), with ! until they are not:
// [!] ready NAME...
func cmdReady(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, false, args, 1, "[!] ready NAME...")
	for _, name := range args {
		p := siteOf(ts).process(ts, name)
		waitFor(ts, "ready "+name, func() error {
			resp, err := http.Get("http://" + p.address + "/readyz")
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			if (resp.StatusCode == http.StatusOK) == neg {
				return fmt.Errorf("status %d", resp.StatusCode)
			}
			return nil
		})
	}
}
