package cli

import (
	"os"
	"path/filepath"
	"testing"
)

func TestDocumentPath(t *testing.T) {
	cases := []struct{ at, rel, want string }{
		{"/", "_root.yaml", "/"},
		{"/", "frigolijst.yaml", "/frigolijst"},
		{"/", "frigolijst/_root.yaml", "/frigolijst"},
		{"/", "frigolijst/baskets.yaml", "/frigolijst/baskets"},
		{"/kuopio", "_root.yaml", "/kuopio"},
		{"/kuopio", "clubs/night.yaml", "/kuopio/clubs/night"},
	}
	for _, c := range cases {
		if got := documentPath(c.at, filepath.FromSlash(c.rel)); got != c.want {
			t.Errorf("documentPath(%q, %q) = %q, want %q", c.at, c.rel, got, c.want)
		}
	}
}

func TestDocumentFileInvertsDocumentPath(t *testing.T) {
	for _, at := range []string{"/", "/kuopio"} {
		for _, p := range []string{at, filepath.Join(at, "a"), filepath.Join(at, "a/b")} {
			if got := documentPath(at, documentFile(at, p)); got != p {
				t.Errorf("at %s: path %s becomes %s", at, p, got)
			}
		}
	}
}

func TestReadTreeReportsDuplicatePaths(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, filepath.Join(dir, "a.yaml"), "limits: {}\n")
	writeFile(t, filepath.Join(dir, "a", "_root.yaml"), "limits: {}\n")
	writeFile(t, filepath.Join(dir, ".hidden.yaml"), "garbage")
	docs, findings, err := readTree(dir, "/")
	if err != nil || len(findings) != 1 || len(docs) != 2 {
		t.Fatalf("got %d documents, findings %v and error %v, want 2 and one finding", len(docs), findings, err)
	}
}

func writeFile(t *testing.T, file, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(file), dirPerm); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, []byte(text), filePerm); err != nil {
		t.Fatal(err)
	}
}
