package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

// Streams holds the standard streams of the tool.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Names of the global flags.
const (
	flagAddress = "address"
	flagToken   = "token"
	flagOutput  = "output"
)

// Formats of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

const rootDescription = `Daemons are given as IP:port; several addresses may be given. Commands that
need one daemon use the first that answers.

Exit codes:
   0  done; a request was completed
   1  failed; a request may have run
   2  bad usage or bad input
   3  refused; a request was not run
   4  a change conflicts with another one
   5  the outcome is unknown

Examples:
   export BUCKTHORNDOCK_ADDRESS=127.0.0.1:8080
   export BUCKTHORNDOCK_TOKEN=...
   buckthorndock check settings examples
   buckthorndock settings apply examples
   buckthorndock status
   buckthorndock call completion --model list-writer "milk, eggs, rye bread"`

// Run runs the tool with the given arguments, the program name first, prints an
// error to s.Err and returns the exit code of the process.
func Run(ctx context.Context, args []string, s Streams) int {
	err := newRoot(s).Run(ctx, args)
	if err != nil {
		fmt.Fprintln(s.Err, "buckthorndock: "+err.Error())
	}
	return exitCode(err)
}

func newRoot(s Streams) *cli.Command {
	root := &cli.Command{
		Name:                  "buckthorndock",
		Usage:                 "operate and call buckthorndock daemons",
		Description:           rootDescription,
		Reader:                s.In,
		Writer:                s.Out,
		ErrWriter:             s.Err,
		EnableShellCompletion: true,
		Suggest:               true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
		},
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name: flagAddress, Aliases: []string{"a"}, Usage: "`IP:PORT` of a daemon; repeatable",
				Sources: cli.EnvVars("BUCKTHORNDOCK_ADDRESS"), Validator: checkAddresses,
			},
			&cli.StringFlag{
				Name: flagToken, Usage: "bearer `TOKEN` of an operator or a customer",
				Sources: cli.EnvVars("BUCKTHORNDOCK_TOKEN"), HideDefault: true,
			},
			&cli.StringFlag{
				Name: flagOutput, Aliases: []string{"o"}, Usage: "`FORMAT` of results: text or json",
				Value: outputText, Validator: checkOutput,
			},
		},
		Commands: []*cli.Command{
			newCheck(),
			newSettings(),
			newStatus(),
			newEvacuate(),
			newCall(),
			newExplain(),
			newBench(),
			newEdge(),
		},
	}
	shortenUsageErrors(root)
	return root
}

// shortenUsageErrors makes c and its subcommands report a usage error in one line,
// without the help text.
func shortenUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, cmd *cli.Command, err error, _ bool) error {
		return exitf(ExitUsage, "%w; see %s --help", err, cmd.FullName())
	}
	for _, sub := range c.Commands {
		shortenUsageErrors(sub)
	}
}

// newGroup returns a command that only has subcommands. Calling it without one of
// them is a usage error.
func newGroup(name, usage string, commands ...*cli.Command) *cli.Command {
	return &cli.Command{
		Name:     name,
		Usage:    usage,
		Commands: commands,
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return exitf(ExitUsage, "no such command: %s %s", name, c.Args().First())
			}
			_ = cli.ShowSubcommandHelp(c)
			return exitf(ExitUsage, "%s needs a command", name)
		},
	}
}

func checkOutput(s string) error {
	if s == outputText || s == outputJSON {
		return nil
	}
	return fmt.Errorf("output format %q is neither text nor json", s)
}
