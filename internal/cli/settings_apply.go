package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"github.com/buckthorndock/buckthorndock/internal/api/callerapi"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

// versionsFile holds the versions that the documents of a directory had when they
// were read; see "settings get --to".
const versionsFile = ".versions.json"

const (
	filePerm = 0o644
	dirPerm  = 0o755
)

const treeDescription = `The location of a file in the directory gives the path of its document:
   frigolijst/baskets.yaml  is  /frigolijst/baskets
   _root.yaml               is  the path of its own directory
With --at, the directory itself corresponds to another path than /.
`

func treeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagAt, Usage: "settings `PATH` to which the directory corresponds", Value: "/"},
		&cli.BoolFlag{Name: flagPrune, Usage: "delete the documents at and under that path that the directory does not have, except evacuations"},
	}
}

func newSettingsApply() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "publish a directory of documents as one change",
		ArgsUsage: "DIR",
		Description: treeDescription + `Either all documents are accepted or none. Unchanged ones are left out. Bases are
the versions in .versions.json of the directory or, without it, those in force.

Examples:
   buckthorndock settings apply examples
   buckthorndock settings apply --at /frigolijst examples/frigolijst`,
		Flags:  append(treeFlags(), authorFlag()),
		Action: settingsApply,
	}
}

func settingsApply(ctx context.Context, c *cli.Command) error {
	dir, edits, _, err := planTree(ctx, c)
	if err != nil {
		return err
	}
	if len(edits) == 0 {
		fmt.Fprintln(c.Root().ErrWriter, "nothing to change")
		return nil
	}
	version, err := sendChange(ctx, c, edits)
	if err != nil {
		return err
	}
	return withFailureCode(updateVersions(dir, edits, version))
}

func newSettingsDiff() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what apply would change",
		ArgsUsage: "DIR",
		Description: treeDescription + `
Examples:
   buckthorndock settings diff examples
   buckthorndock settings diff --prune --at /frigolijst examples/frigolijst`,
		Flags:  treeFlags(),
		Action: settingsDiff,
	}
}

// editDiff is one edit as printed by "settings diff".
type editDiff struct {
	Path   string `json:"path"`
	Action string `json:"action"` // create, change or delete
	Base   int64  `json:"base"`
	Diff   string `json:"diff"`
}

func settingsDiff(ctx context.Context, c *cli.Command) error {
	_, edits, view, err := planTree(ctx, c)
	if err != nil {
		return err
	}
	old := documentTexts(view)
	diffs := make([]editDiff, 0, len(edits))
	for _, e := range edits {
		d := editDiff{Path: e.Path, Action: "change", Base: e.Base, Diff: lineDiff(old[e.Path], e.Yaml.Value)}
		if _, exists := old[e.Path]; !exists {
			d.Action = "create"
		}
		if !e.Yaml.Set {
			d.Action = "delete"
		}
		diffs = append(diffs, d)
	}
	return emit(c, diffs, func(w io.Writer) {
		for _, d := range diffs {
			fmt.Fprintf(w, "%s %s (base version %d)\n%s", d.Action, d.Path, d.Base, d.Diff)
		}
		if len(diffs) == 0 {
			fmt.Fprintln(w, "no difference")
		}
	})
}

// planTree returns the directory given as an argument, the edits that make the
// settings equal to it, and the view of the settings in force.
func planTree(ctx context.Context, c *cli.Command) (string, []callerapi.SettingsEdit, *callerapi.SettingsView, error) {
	if c.NArg() != 1 {
		return "", nil, nil, exitf(ExitUsage, "%s takes one directory", c.FullName())
	}
	dir, at := c.Args().First(), c.String(flagAt)
	docs, findings, err := readTree(dir, at)
	if err == nil {
		err = findings.Err()
	}
	if err != nil {
		return "", nil, nil, &exitError{code: ExitUsage, err: err}
	}
	bases, err := readVersions(dir)
	if err != nil {
		return "", nil, nil, &exitError{code: ExitUsage, err: err}
	}
	view, err := getView(ctx, c, at)
	if err != nil {
		return "", nil, nil, err
	}
	return dir, planEdits(docs, view, bases, c.Bool(flagPrune)), view, nil
}

// planEdits returns the edits that turn the documents in force, given by view, into
// docs. The base of an edit comes from bases, or from the view when bases is nil. With
// prune, documents that are not in docs are deleted, except evacuations.
func planEdits(docs []treeDocument, view *callerapi.SettingsView, bases map[string]int64, prune bool) []callerapi.SettingsEdit {
	if bases == nil {
		bases = documentVersions(view)
	}
	old := documentTexts(view)
	wanted := make(map[string]bool, len(docs))
	var edits []callerapi.SettingsEdit
	for _, d := range docs {
		wanted[d.Path] = true
		if text, exists := old[d.Path]; exists && ensureTrailingNewline(text) == ensureTrailingNewline(d.Text) {
			continue
		}
		edits = append(edits, callerapi.SettingsEdit{Path: d.Path, Base: bases[d.Path], Yaml: callerapi.NewOptString(d.Text)})
	}
	if !prune {
		return edits
	}
	for _, d := range view.Documents {
		if !wanted[d.Path] && !settings.IsEvacuationPath(d.Path) {
			edits = append(edits, callerapi.SettingsEdit{Path: d.Path, Base: bases[d.Path]})
		}
	}
	return edits
}

// documentTexts returns the YAML text of each document by its path.
func documentTexts(view *callerapi.SettingsView) map[string]string {
	m := make(map[string]string, len(view.Documents))
	for _, d := range view.Documents {
		m[d.Path] = d.Yaml
	}
	return m
}

// writeTree writes documents and their versions to a directory that corresponds to
// the settings path at.
func writeTree(dir, at string, view *callerapi.SettingsView) error {
	for _, d := range view.Documents {
		file := filepath.Join(dir, documentFile(at, d.Path))
		if err := os.MkdirAll(filepath.Dir(file), dirPerm); err != nil {
			return merry.Prepend(err, "write settings")
		}
		if err := os.WriteFile(file, []byte(ensureTrailingNewline(d.Yaml)), filePerm); err != nil {
			return merry.Prepend(err, "write settings")
		}
	}
	return writeVersions(dir, documentVersions(view))
}

func writeVersions(dir string, bases map[string]int64) error {
	if err := os.MkdirAll(dir, dirPerm); err != nil {
		return merry.Prepend(err, "write versions")
	}
	data, err := json.MarshalIndent(bases, "", "  ")
	if err != nil {
		return err
	}
	return merry.Prepend(os.WriteFile(filepath.Join(dir, versionsFile), append(data, '\n'), filePerm), "write versions")
}

// readVersions returns the versions stored in a directory, nil when it has no
// versionsFile.
func readVersions(dir string) (map[string]int64, error) {
	data, err := os.ReadFile(filepath.Join(dir, versionsFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, merry.Prepend(err, "read versions")
	}
	m := map[string]int64{}
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, merry.Prependf(err, "read %s", filepath.Join(dir, versionsFile))
	}
	return m, nil
}

// updateVersions applies an accepted change to the versions stored in a directory.
// It does nothing when the directory has no versionsFile.
func updateVersions(dir string, edits []callerapi.SettingsEdit, version int64) error {
	bases, err := readVersions(dir)
	if err != nil || bases == nil {
		return err
	}
	for _, e := range edits {
		bases[e.Path] = version
		if !e.Yaml.Set {
			delete(bases, e.Path)
		}
	}
	return writeVersions(dir, bases)
}

// lineDiff returns the lines of both texts, prefixed with "- " when removed, "+ " when
// added and "  " when unchanged.
func lineDiff(old, wanted string) string {
	a, b := splitLines(old), splitLines(wanted)
	common := lcsLengths(a, b)
	var out strings.Builder
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			fmt.Fprintln(&out, "  "+a[i])
			i, j = i+1, j+1
		case j == len(b) || (i < len(a) && common[i+1][j] >= common[i][j+1]):
			fmt.Fprintln(&out, "- "+a[i])
			i++
		default:
			fmt.Fprintln(&out, "+ "+b[j])
			j++
		}
	}
	return out.String()
}

// lcsLengths returns, for each pair of positions i and j, the length of the longest
// common subsequence of a[i:] and b[j:].
func lcsLengths(a, b []string) [][]int {
	n := make([][]int, len(a)+1)
	for i := range n {
		n[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			n[i][j] = max(n[i+1][j], n[i][j+1])
			if a[i] == b[j] {
				n[i][j] = n[i+1][j+1] + 1
			}
		}
	}
	return n
}

func splitLines(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(s, "\n"), "\n")
}
