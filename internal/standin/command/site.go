package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"github.com/buckthorndock/buckthorndock/internal/standin"
)

const (
	siteFile     = "site.json"
	siteFileMode = 0o644
	siteDirMode  = 0o755
)

func siteCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "site",
		Usage: "a whole small site in one process: log, hosts, weights, three engines, one service",
		Description: "Prints the address of each part and writes them to site.json in the directory.\n" +
			"Example: standin site --dir demo --first-port 7100 --model assistant",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Required: true, Usage: "directory for site.json; created if missing"},
			memoryFlag(),
			&cli.IntFlag{Name: "first-port", Usage: "port of the log, the others follow; 0 takes free ports"},
			&cli.StringSliceFlag{Name: "model", Value: []string{"assistant"}, Usage: "model of the engines; repeatable"},
			&cli.FloatFlag{Name: "time-scale", Value: 1, Usage: "engine seconds in a real second"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runSite(ctx, c, out)
		},
	}
}

func runSite(ctx context.Context, c *cli.Command, out io.Writer) error {
	s, err := standin.NewSite(standin.SiteOptions{
		Bounds:    boundsOf(c),
		FirstPort: c.Int("first-port"),
		Models:    c.StringSlice("model"),
		Engine:    standin.EngineOptions{TimeScale: c.Float("time-scale")},
	})
	if err != nil {
		return err
	}
	defer s.Close()
	if err := writeSite(c.String("dir"), s.Parts); err != nil {
		return err
	}
	if err := printSite(out, s.Parts); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// writeSite writes the parts to site.json in dir.
func writeSite(dir string, parts []standin.Part) error {
	if err := os.MkdirAll(dir, siteDirMode); err != nil {
		return err
	}
	data, err := json.MarshalIndent(parts, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, siteFile), append(data, '\n'), siteFileMode)
}

// printSite prints the log's address in the line that scripts wait for, then one
// line for each part.
func printSite(out io.Writer, parts []standin.Part) error {
	if _, err := fmt.Fprintf(out, listeningLine, parts[0].Address); err != nil {
		return err
	}
	for _, p := range parts {
		if _, err := fmt.Fprintf(out, "part name=%s kind=%s domain=%s address=%s\n", p.Name, p.Kind, p.Domain, p.Address); err != nil {
			return err
		}
	}
	return nil
}
