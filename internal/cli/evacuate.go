package cli

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/buckthorndock/buckthorndock/internal/api/callerapi"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

const flagUndo = "undo"

func newEvacuate() *cli.Command {
	return &cli.Command{
		Name:      "evacuate",
		Usage:     "send no new requests to the upstreams of a failure domain",
		ArgsUsage: "DOMAIN",
		Description: `Requests that already run there are not interrupted. The evacuation lasts until it
is undone; it is stored as the document at /evacuations/DOMAIN, and "status" shows it.

Examples:
   buckthorndock evacuate hal-b
   buckthorndock evacuate --undo hal-b`,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagUndo, Usage: "end the evacuation"},
			authorFlag(),
		},
		Action: evacuate,
	}
}

func evacuate(ctx context.Context, c *cli.Command) error {
	if c.NArg() != 1 {
		return exitf(ExitUsage, "%s takes one failure domain", c.FullName())
	}
	domain := c.Args().First()
	path := settings.EvacuationPath(domain)
	if !settings.ValidPath(path) {
		return exitf(ExitUsage, "%q is not a valid name of a failure domain", domain)
	}
	view, err := getView(ctx, c, path)
	if err != nil {
		return err
	}
	base, exists := documentVersions(view)[path]
	undo := c.Bool(flagUndo)
	if exists != undo {
		fmt.Fprintln(c.Root().ErrWriter, "nothing to change")
		return nil
	}
	edit := callerapi.SettingsEdit{Path: path, Base: base}
	if !undo {
		edit.Yaml = callerapi.NewOptString(fmt.Sprintf("evacuate: %q\n", domain))
	}
	_, err = sendChange(ctx, c, []callerapi.SettingsEdit{edit})
	return err
}
