package obs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// eventCall matches a call that logs an event at a level that operators see.
var eventCall = regexp.MustCompile(`\.(?:Info|Warn|Error)\("([a-z_ ]+)"\)`)

// TestPageNamesEveryEvent checks that docs/OPERATIONS.md names each event that the
// daemon logs.
func TestPageNamesEveryEvent(t *testing.T) {
	text, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(text)
	named := 0
	err = filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !isDaemonCode(path) {
			return err
		}
		code, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, m := range eventCall.FindAllStringSubmatch(string(code), -1) {
			named++
			if !strings.Contains(page, "`"+m[1]+"`") && !strings.HasSuffix(m[1], "_undecodable") {
				t.Errorf("%s: docs/OPERATIONS.md does not name the event %q", path, m[1])
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if named < 30 {
		t.Errorf("only %d events found: has the way of logging changed?", named)
	}
}

// isDaemonCode reports whether a file is Go code that a daemon runs, neither a test
// nor generated.
func isDaemonCode(path string) bool {
	if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, "_gen.go") {
		return false
	}
	for _, other := range []string{"../standin/", "../cli/", "../bench/"} {
		if strings.HasPrefix(path, other) {
			return false
		}
	}
	return true
}
