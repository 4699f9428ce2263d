package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// runKnownRed runs .ci/known-red on a file with the text and returns the pattern of
// test names that it prints.
func runKnownRed(t *testing.T, text string) (pattern string, err error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := exec.Command("../../.ci/known-red", file).Output()
	return strings.TrimSpace(string(out)), err
}

func TestPatternMatchesOnlyListedTests(t *testing.T) {
	pattern, err := runKnownRed(t, "TestA: go test ./x, seed 7, issue 2\n  saw a lost event\nTestB_c: go test ./y\n  open as issue 31\n")
	if err != nil || pattern != "^(TestA|TestB_c)$" {
		t.Errorf("got %q, %v", pattern, err)
	}
}

func TestEmptyListGivesEmptyPattern(t *testing.T) {
	if pattern, err := runKnownRed(t, "Nothing is red.\n"); err != nil || pattern != "" {
		t.Errorf("got %q, %v", pattern, err)
	}
	out, err := exec.Command("../../.ci/known-red", filepath.Join(t.TempDir(), "none")).Output()
	if err != nil || len(out) > 0 {
		t.Errorf("without the file: %q, %v", out, err)
	}
}

func TestEntryWithoutAnIssueFails(t *testing.T) {
	if pattern, err := runKnownRed(t, "TestA: issue 2\nTestB: seen once\n"); err == nil {
		t.Errorf("got %q", pattern)
	}
}
