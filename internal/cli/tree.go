package cli

import (
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"sort"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/finding"
)

// rootFile is the name of the file that holds the document at the path of its
// directory.
const rootFile = "_root.yaml"

const documentExt = ".yaml"

// treeDocument is one document of a settings directory.
type treeDocument struct {
	Path string // settings path
	File string // file it was read from
	Text string
}

// documentPath returns the settings path of a file. The file name rel is relative to
// a directory that corresponds to the settings path at.
func documentPath(at, rel string) string {
	rel = filepath.ToSlash(rel)
	dir, name := path.Split(rel)
	if name == rootFile {
		return path.Join("/", at, dir)
	}
	return path.Join("/", at, dir, strings.TrimSuffix(name, documentExt))
}

// documentFile returns the file for a settings path, relative to the directory that
// corresponds to the settings path at.
func documentFile(at, docPath string) string {
	rel := strings.Trim(strings.TrimPrefix(docPath, path.Join("/", at)), "/")
	return filepath.Join(filepath.FromSlash(rel), rootFile)
}

// readTree reads every document below a directory and returns them sorted by path.
// Hidden files and files without the extension .yaml are skipped. Two files with the
// same settings path are a finding.
func readTree(dir, at string) ([]treeDocument, finding.List, error) {
	var docs []treeDocument
	err := filepath.WalkDir(dir, func(file string, e fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		hidden := strings.HasPrefix(e.Name(), ".") && file != dir
		if e.IsDir() && hidden {
			return filepath.SkipDir
		}
		if e.IsDir() || hidden || filepath.Ext(file) != documentExt {
			return nil
		}
		rel, err := filepath.Rel(dir, file)
		if err != nil {
			return err
		}
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		docs = append(docs, treeDocument{Path: documentPath(at, rel), File: file, Text: string(text)})
		return nil
	})
	if err != nil {
		return nil, nil, merry.Prependf(err, "read settings from %s", dir)
	}
	sort.Slice(docs, func(i, j int) bool { return docs[i].Path < docs[j].Path })
	return docs, duplicatePaths(docs), nil
}

func duplicatePaths(docs []treeDocument) finding.List {
	var list finding.List
	for i := 1; i < len(docs); i++ {
		if docs[i].Path == docs[i-1].Path {
			list.Addf(finding.Place{File: docs[i].File}, "path %s is also set by %s", docs[i].Path, docs[i-1].File)
		}
	}
	return list
}
