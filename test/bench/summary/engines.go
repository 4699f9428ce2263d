package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/buckthorndock/buckthorndock/internal/standin"
)

// EngineRuns counts the executions that engines began, and those of them that were
// wasted on refused requests.
type EngineRuns struct {
	Runs            int `json:"runs"`              // executions begun by all engines
	RanAfterRefusal int `json:"ran_after_refusal"` // of requests that were refused as not run
}

// maxLogLineBytes bounds a line of a log or a witness file.
const maxLogLineBytes = 1 << 20

// countEngineRuns compares the executions in the witness files of a site's engines with
// the request outcomes in its daemons' logs. It returns nil when there are no witness
// files.
func countEngineRuns(dir string) (*EngineRuns, error) {
	files, err := filepath.Glob(filepath.Join(dir, "witness-*.jsonl"))
	if err != nil || len(files) == 0 {
		return nil, err
	}
	ends, err := loggedOutcomes(dir)
	if err != nil {
		return nil, err
	}
	counts := &EngineRuns{}
	for _, file := range files {
		err := forEachLine(file, func(line []byte) {
			var run standin.Run
			if json.Unmarshal(line, &run) != nil || run.State != standin.RunStarted {
				return
			}
			counts.Runs++
			if ends[run.RequestID] == "not_run" {
				counts.RanAfterRefusal++
			}
		})
		if err != nil {
			return nil, err
		}
	}
	return counts, nil
}

// loggedOutcomes returns the outcome of each request by its id, read from the logs of
// the daemons.
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

// logValue returns the value of a key, given with its =, in a log line, or an empty
// string when the line does not have the key.
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
