package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/user"
	"path"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/buckthorndock/buckthorndock/internal/api/callerapi"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

const (
	flagAt     = "at"
	flagAuthor = "author"
	flagBase   = "base"
	flagFile   = "file"
	flagTo     = "to"
	flagPrune  = "prune"
	flagLimit  = "limit"
)

func newSettings() *cli.Command {
	return newGroup("settings", "read and change the settings of the site",
		newSettingsGet(), newSettingsSet(), newSettingsDelete(), newSettingsApply(), newSettingsDiff(), newSettingsHistory())
}

func authorFlag() cli.Flag {
	return &cli.StringFlag{
		Name: flagAuthor, Usage: "`NAME` recorded with the change",
		Sources: cli.EnvVars("BUCKTHORNDOCK_AUTHOR"), Value: defaultAuthor(), HideDefault: true,
	}
}

func baseFlag() cli.Flag {
	return &cli.Int64Flag{
		Name: flagBase, Usage: "`VERSION` on which the change is based, 0 when there is no document; the current one by default",
		HideDefault: true,
	}
}

func newSettingsGet() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "print the documents in force under a path, or write them to a directory",
		ArgsUsage: "[PATH]",
		Description: `With --to, every document is written to a file whose location mirrors its path,
and the versions are written to .versions.json in the same directory. "settings
apply" uses these versions as the bases of its change, so that a change made by
somebody else in the meantime is a conflict and is not overwritten.

Examples:
   buckthorndock settings get /frigolijst
   buckthorndock settings get --to mine /frigolijst`,
		Flags:  []cli.Flag{&cli.StringFlag{Name: flagTo, Usage: "write the documents to `DIR`"}},
		Action: settingsGet,
	}
}

func settingsGet(ctx context.Context, c *cli.Command) error {
	prefix, err := pathArg(c, "/")
	if err != nil {
		return err
	}
	view, err := getView(ctx, c, prefix)
	if err != nil {
		return err
	}
	if dir := c.String(flagTo); dir != "" {
		return withFailureCode(writeTree(dir, prefix, view))
	}
	return emit(c, view, func(w io.Writer) {
		fmt.Fprintf(w, "# offset %d, digest %s\n", view.Offset, view.Digest)
		for _, d := range view.Documents {
			fmt.Fprintf(w, "--- # %s, version %d\n%s", d.Path, d.Version, ensureTrailingNewline(d.Yaml))
		}
	})
}

func newSettingsSet() *cli.Command {
	return &cli.Command{
		Name:      "set",
		Usage:     "replace the document at a path",
		ArgsUsage: "PATH",
		Description: `Examples:
   buckthorndock settings set --file baskets.yaml /frigolijst/baskets
   echo 'routing: {policy: length-aware}' | buckthorndock settings set --file - /kuopio`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagFile, Aliases: []string{"f"}, Usage: "`FILE` with the YAML document, - for standard input", Required: true},
			authorFlag(), baseFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			text, err := readInput(c, c.String(flagFile))
			if err != nil {
				return err
			}
			return changeDocument(ctx, c, callerapi.NewOptString(text))
		},
	}
}

func newSettingsDelete() *cli.Command {
	return &cli.Command{
		Name:        "delete",
		Usage:       "remove the document at a path",
		ArgsUsage:   "PATH",
		Description: "Example:\n   buckthorndock settings delete /frigolijst/baskets",
		Flags:       []cli.Flag{authorFlag(), baseFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return changeDocument(ctx, c, callerapi.OptString{})
		},
	}
}

// changeDocument publishes a change of the one path given as an argument. A yaml
// value that is not set deletes the document.
func changeDocument(ctx context.Context, c *cli.Command, yaml callerapi.OptString) error {
	p, err := pathArg(c, "")
	if err != nil {
		return err
	}
	base := c.Int64(flagBase)
	if !c.IsSet(flagBase) {
		view, err := getView(ctx, c, p)
		if err != nil {
			return err
		}
		base = documentVersions(view)[p]
	}
	_, err = sendChange(ctx, c, []callerapi.SettingsEdit{{Path: p, Base: base, Yaml: yaml}})
	return err
}

func newSettingsHistory() *cli.Command {
	return &cli.Command{
		Name:        "history",
		Usage:       "list accepted and refused changes of a path and its subtree, newest first",
		ArgsUsage:   "[PATH]",
		Description: "Example:\n   buckthorndock settings history --limit 10 /frigolijst",
		Flags:       []cli.Flag{&cli.IntFlag{Name: flagLimit, Usage: "`NUMBER` of changes", Value: 50}},
		Action:      settingsHistory,
	}
}

func settingsHistory(ctx context.Context, c *cli.Command) error {
	p, err := pathArg(c, "/")
	if err != nil {
		return err
	}
	history, err := getHistory(ctx, c, p, c.Int(flagLimit))
	if err != nil {
		return err
	}
	return emit(c, history, func(w io.Writer) { writeHistory(w, history) })
}

func writeHistory(w io.Writer, h *callerapi.SettingsHistory) {
	rows := [][]string{{"OFFSET", "AT", "AUTHOR", "PATHS", "VERDICT", "REASON"}}
	for _, ch := range h.Changes {
		verdict := "refused"
		if ch.Accepted {
			verdict = "accepted"
		}
		at := ch.At.UTC().Format(time.RFC3339)
		rows = append(rows, []string{fmt.Sprint(ch.Offset), at, ch.Author, strings.Join(ch.Paths, " "), verdict, ch.Reason})
	}
	writeTable(w, rows)
}

// getView returns the documents in force under a path.
func getView(ctx context.Context, c *cli.Command, prefix string) (*callerapi.SettingsView, error) {
	params := callerapi.GetSettingsParams{Prefix: callerapi.NewOptString(prefix)}
	res, err := callFirstReachable(c, true, func(api *callerapi.Client) (callerapi.GetSettingsRes, error) {
		return api.GetSettings(ctx, params)
	})
	if err != nil {
		return nil, err
	}
	switch r := res.(type) {
	case *callerapi.SettingsView:
		return r, nil
	case *callerapi.ErrorStatusCode:
		return nil, apiError(r)
	default:
		return nil, unexpectedAnswerError(res)
	}
}

// documentVersions returns the version of each document by its path.
func documentVersions(view *callerapi.SettingsView) map[string]int64 {
	m := make(map[string]int64, len(view.Documents))
	for _, d := range view.Documents {
		m[d.Path] = d.Version
	}
	return m
}

// sendChange publishes edits as one change, prints the verdict and returns the new
// version. The error is not nil when the change was refused.
func sendChange(ctx context.Context, c *cli.Command, edits []callerapi.SettingsEdit) (int64, error) {
	change := &callerapi.SettingsChange{ChangeID: uuid.NewString(), Author: c.String(flagAuthor), Edits: edits}
	v, err := publishChange(ctx, c, change)
	if err != nil {
		return 0, err
	}
	return v.Offset, reportVerdict(ctx, c, edits, v)
}

func reportVerdict(ctx context.Context, c *cli.Command, edits []callerapi.SettingsEdit, v *callerapi.SettingsVerdict) error {
	conflicts := map[string]int64{}
	if !v.Accepted {
		conflicts = findConflicts(ctx, c, edits)
	}
	err := emit(c, v, func(w io.Writer) { writeVerdict(w, edits, v, conflicts) })
	switch {
	case err != nil || v.Accepted:
		return err
	case len(conflicts) > 0, conflictedInLog(v):
		return exitf(ExitConflict, "conflict: nothing was changed; read the current documents and apply again")
	default:
		return exitf(ExitUsage, "refused: nothing was changed")
	}
}

// conflictedInLog reports whether a change was appended to the settings log and
// refused because of another change. A change with invalid documents is refused
// before it is appended, and its verdict has no offset.
func conflictedInLog(v *callerapi.SettingsVerdict) bool {
	return !v.Accepted && v.Offset > 0
}

// writeVerdict prints a verdict; conflicts holds the versions in force of the edits
// with an outdated base.
func writeVerdict(w io.Writer, edits []callerapi.SettingsEdit, v *callerapi.SettingsVerdict, conflicts map[string]int64) {
	if v.Accepted {
		fmt.Fprintf(w, "accepted: change %s, version %d\n", v.ChangeID, v.Offset)
	}
	for _, e := range edits {
		now, conflict := conflicts[e.Path]
		switch {
		case v.Accepted:
			fmt.Fprintln(w, "  "+e.Path)
		case conflict:
			fmt.Fprintf(w, "%s: conflict: the change starts from version %d, in force is %d\n", e.Path, e.Base, now)
		}
	}
	note := ""
	if conflictedInLog(v) {
		note = "conflict: "
	}
	for _, f := range v.Findings {
		if _, printed := conflicts[f.Place]; !printed {
			fmt.Fprintf(w, "%s: %s%s\n", f.Place, note, f.Message)
		}
	}
}

// findConflicts returns the versions in force, by path, of the edits whose base is
// another version.
func findConflicts(ctx context.Context, c *cli.Command, edits []callerapi.SettingsEdit) map[string]int64 {
	conflicts := map[string]int64{}
	view, err := getView(ctx, c, settings.Root)
	if err != nil {
		fmt.Fprintf(c.Root().ErrWriter, "cannot read the versions in force: %v\n", err)
		return conflicts
	}
	now := documentVersions(view)
	for _, e := range edits {
		if now[e.Path] != e.Base {
			conflicts[e.Path] = now[e.Path]
		}
	}
	return conflicts
}

// pathArg returns the only argument as a settings path. Without an argument it
// returns defaultPath, or an error when that is empty.
func pathArg(c *cli.Command, defaultPath string) (string, error) {
	switch {
	case c.NArg() == 0 && defaultPath != "":
		return defaultPath, nil
	case c.NArg() != 1:
		return "", exitf(ExitUsage, "%s takes one settings path", c.FullName())
	}
	p := c.Args().First()
	if !strings.HasPrefix(p, "/") {
		return "", exitf(ExitUsage, "settings path %q does not start with /", p)
	}
	return path.Clean(p), nil
}

// readInput returns the text of a file, or of standard input for "-".
func readInput(c *cli.Command, file string) (string, error) {
	var data []byte
	var err error
	if file == "-" {
		data, err = io.ReadAll(c.Root().Reader)
	} else {
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return "", &exitError{code: ExitUsage, err: err}
	}
	return string(data), nil
}

func ensureTrailingNewline(s string) string {
	return strings.TrimSuffix(s, "\n") + "\n"
}

func defaultAuthor() string {
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username
	}
	return "unknown"
}
