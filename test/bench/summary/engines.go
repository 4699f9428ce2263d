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

// maxLogLineBytes bounds a line of a log.
const maxLogLineBytes = 1 << 20

// countEngineRuns sets what the engines of a site began beside the ends that its daemons
// have logged. It returns nil without a record of the engines.
func countEngineRuns(dir string) (*EngineRuns, error) {
	files, err := filepath.Glob(filepath.Join(dir, "witness-*.jsonl"))
	if err != nil || len(files) == 0 {
		return nil, err
	}
	ends, err := loggedOutcomes(dir)
	if err != nil {
		return nil, err
	}
	use := &EngineRuns{}
	for _, file := range files {
		err := forEachLine(file, func(line []byte) {
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

// loggedOutcomes returns the outcome of each request by its id.
func loggedOutcomes(dir string) (map[string]string, error) {
	files, err := filepath.Glob(filepath.Join(dir, "logs", "*entry*.log"))
	if err != nil {
		return nil, err
	}
	ends := map[string]string{}
	for _, file := range files {
		err := forEachLine(file, func(line []byte) {
			id, outcome := logValue(line, "request_id="), logValue(line, "outcome=")
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

// logValue returns the value of a key in a log line, empty without it.
func logValue(line []byte, key string) string {
	for _, part := range bytes.Fields(line) {
		if value, ok := bytes.CutPrefix(part, []byte(key)); ok {
			return string(bytes.Trim(value, `"`))
		}
	}
	return ""
}

func forEachLine(file string, f func([]byte)) error {
	in, err := os.Open(file)
	if err != nil {
		return err
	}
	defer in.Close()
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLogLineBytes)
	for s.Scan() {
		f(s.Bytes())
	}
	return s.Err()
}
