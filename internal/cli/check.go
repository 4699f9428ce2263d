package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/buckthorndock/buckthorndock/internal/config"
	"github.com/buckthorndock/buckthorndock/internal/core/finding"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
	"github.com/buckthorndock/buckthorndock/internal/edge"
)

// checkReport is the result of a check command.
type checkReport struct {
	Documents int            `json:"documents"`
	Findings  []checkFinding `json:"findings"`
}

type checkFinding struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"`
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
}

func newCheck() *cli.Command {
	return newGroup("check", "validate files without a daemon", newCheckSettings(), newCheckDaemon(), newCheckEdge())
}

func newCheckSettings() *cli.Command {
	return &cli.Command{
		Name:      "settings",
		Usage:     "validate settings documents",
		ArgsUsage: "FILE|DIR...",
		Description: treeDescription + `A file is checked on its own. The documents of all directories are also checked
against each other: duplicate names, tokens and addresses, and models and services
whose pool does not exist. All findings are printed, one per line, and the exit
code is 2 when there are any.

Examples:
   buckthorndock check settings examples
   buckthorndock check settings --at /frigolijst examples/frigolijst`,
		Flags:  []cli.Flag{&cli.StringFlag{Name: flagAt, Usage: "settings `PATH` to which a directory corresponds", Value: "/"}},
		Action: checkSettings,
	}
}

func newCheckDaemon() *cli.Command {
	return &cli.Command{
		Name:      "daemon",
		Usage:     "validate a daemon file",
		ArgsUsage: "FILE",
		Description: `All findings are printed, one per line, and the exit code is 2 when there are any.

Example:
   buckthorndock check daemon daemon.yaml`,
		Action: checkDaemon,
	}
}

func newCheckEdge() *cli.Command {
	return &cli.Command{
		Name:      "edge",
		Usage:     "validate a daemon file of buckthorndockd edge with the platform's values filled in",
		ArgsUsage: "FILE",
		Description: `All findings are printed, one per line, and the exit code is 2 when there are any.

Example:
   buckthorndock check edge daemon.yaml`,
		Action: checkEdge,
	}
}

func checkDaemon(_ context.Context, c *cli.Command) error {
	return checkFile(c, func(file string) error {
		_, err := config.Load(file)
		return err
	})
}

func checkEdge(_ context.Context, c *cli.Command) error {
	return checkFile(c, func(file string) error {
		_, err := edge.LoadConfig(file)
		return err
	})
}

// checkFile loads the one file given as an argument and reports its findings.
func checkFile(c *cli.Command, load func(file string) error) error {
	if c.NArg() != 1 {
		return exitf(ExitUsage, "%s takes one file", c.FullName())
	}
	err := load(c.Args().First())
	var list finding.List
	if err != nil && !errors.As(err, &list) {
		return &exitError{code: ExitUsage, err: err}
	}
	return reportCheck(c, 1, list)
}

func checkSettings(_ context.Context, c *cli.Command) error {
	if !c.Args().Present() {
		return exitf(ExitUsage, "%s takes files or directories", c.FullName())
	}
	var site, single []treeDocument
	var list finding.List
	for _, arg := range c.Args().Slice() {
		info, err := os.Stat(arg)
		if err != nil {
			return &exitError{code: ExitUsage, err: err}
		}
		if !info.IsDir() {
			doc, err := readDocument(arg, c.String(flagAt))
			if err != nil {
				return &exitError{code: ExitUsage, err: err}
			}
			single = append(single, doc)
			continue
		}
		docs, findings, err := readTree(arg, c.String(flagAt))
		if err != nil {
			return &exitError{code: ExitUsage, err: err}
		}
		list = append(list, findings...)
		site = append(site, docs...)
	}
	list = append(list, checkDocuments(site)...)
	for _, d := range single {
		_, findings := parseTreeDocument(d)
		list = append(list, findings...)
	}
	return reportCheck(c, len(site)+len(single), list)
}

func readDocument(file, at string) (treeDocument, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return treeDocument{}, err
	}
	return treeDocument{Path: documentPath(at, filepath.Base(file)), File: file, Text: string(text)}, nil
}

// checkDocuments checks each document and, when none has a finding, all of them
// against each other. Findings name files instead of settings paths.
func checkDocuments(docs []treeDocument) finding.List {
	var list finding.List
	var sources []settings.Source
	files := map[string]string{}
	for _, d := range docs {
		parsed, findings := parseTreeDocument(d)
		list = append(list, findings...)
		sources = append(sources, settings.Source{Path: d.Path, Document: parsed})
		files[d.Path] = d.File
	}
	if len(list) > 0 || len(docs) == 0 {
		return list
	}
	_, across := settings.Compile(sources)
	for i := range across {
		if file, ok := files[across[i].Place.File]; ok {
			across[i].Place.File = file
		}
	}
	return across
}

// parseTreeDocument parses and checks one document. Its findings name the file.
func parseTreeDocument(d treeDocument) (*settings.Document, finding.List) {
	parsed, findings := settings.ParseDocument(d.Path, []byte(d.Text))
	for i := range findings {
		findings[i].Place.File = d.File
	}
	return parsed, findings
}

func reportCheck(c *cli.Command, documents int, list finding.List) error {
	report := checkReport{Documents: documents, Findings: []checkFinding{}}
	for _, f := range list {
		report.Findings = append(report.Findings, checkFinding{
			File: f.Place.File, Line: f.Place.Line, Key: f.Place.Key, Message: f.Message,
		})
	}
	err := emit(c, report, func(w io.Writer) {
		if len(list) > 0 {
			fmt.Fprintln(w, strings.TrimSpace(list.Error()))
			return
		}
		fmt.Fprintf(w, "%d documents are valid\n", documents)
	})
	if err != nil {
		return err
	}
	if len(list) > 0 {
		return exitf(ExitUsage, "%d findings in %d documents", len(list), documents)
	}
	return nil
}
