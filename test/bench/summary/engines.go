package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/buckthorndock/buckthorndock/internal/standin"
)

// EngineRuns tells what engines ran that was of no use to a caller.
type EngineRuns struct {
	Runs            int `json:"runs"`              // executions that an engine began
	RanAfterRefusal int `json:"ran_after_refusal"` // of requests that were refused as not run
}

// longestLine bounds a line of a log.
const longestLine = 1 << 20

// engineUse sets what the engines of a site began beside the ends that its daemons
// have logged. It returns nil without a record of the engines.
func engineUse(dir string) (*EngineRuns, error) {
	files, err := filepath.Glob(filepath.Join(dir, "witness-*.jsonl"))
	if err != nil || len(files) == 0 {
		return nil, err
	}
	ends, err := loggedEnds(dir)
	if err != nil {
		return nil, err
	}
	use := &EngineRuns{}
	for _, file := range files {
		err := eachLine(file, func(line []byte) {
			var run standin.Run
			if json.Unmarshal(line, &run) != nil || run.State != standin.RunStarted {
				return
			}
			use.Runs++
			if ends[run.RequestID] == "not_run" {
				use.RanAfterRefusal++
			}
		})
		if err != nil {
			return nil, err
		}
	}
	return use, nil
}

// loggedEnds returns the outcome of each request by its id.
func loggedEnds(dir string) (map[string]string, error) {
	files, err := filepath.Glob(filepath.Join(dir, "logs", "*entry*.log"))
	if err != nil {
		return nil, err
	}
	ends := map[string]string{}
	for _, file := range files {
		err := eachLine(file, func(line []byte) {
			id, outcome := field(line, "request_id="), field(line, "outcome=")
			if id != "" && outcome != "" {
				ends[id] = outcome
			}
		})
		if err != nil {
			return nil, err
		}
	}
	return ends, nil
}

// field returns the value of a key in a log line, empty without it.
func field(line []byte, key string) string {
	for _, part := range bytes.Fields(line) {
		if value, ok := bytes.CutPrefix(part, []byte(key)); ok {
			return string(bytes.Trim(value, `"`))
		}
	}
	return ""
}

func eachLine(file string, f func([]byte)) error {
	in, err := os.Open(file)
	if err != nil {
		return err
	}
	defer in.Close()
	s := bufio.NewScanner(in)
	s.Buffer(nil, longestLine)
	for s.Scan() {
		f(s.Bytes())
	}
	return s.Err()
}
