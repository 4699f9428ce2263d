package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// slowLdd replaces ldd. It still writes after the check has found the line it looks for,
// and fails when it cannot write all its output.
const slowLdd = `#!/bin/sh
echo "	libc.so.6 => /lib/libc.so.6 (0x1)"
sleep 0.2
echo "	/lib64/ld-linux-x86-64.so.2 (0x2)"
`

const noLibc = `#!/bin/sh
echo "	linux-vdso.so.1 (0x1)"
`

const static = `#!/bin/sh
echo "	not a dynamic executable" >&2
exit 1
`

func TestLinkedReadsWholeListing(t *testing.T) {
	if out, err := runLinked(t, slowLdd); err != nil {
		t.Errorf("a linked program is rejected: %v\n%s", err, out)
	}
}

func TestLinkedRejectsOtherPrograms(t *testing.T) {
	for name, ldd := range map[string]string{"no libc": noLibc, "static": static} {
		if out, err := runLinked(t, ldd); err == nil {
			t.Errorf("%s: passed\n%s", name, out)
		}
	}
}

// runLinked runs .ci/linked with a script in place of ldd and returns its output.
func runLinked(t *testing.T, ldd string) ([]byte, error) {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "ldd"), []byte(ldd), 0o755); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command("../../.ci/linked", "program")
	cmd.Env = append(os.Environ(), "PATH="+dir+":"+os.Getenv("PATH"))
	return cmd.CombinedOutput()
}
