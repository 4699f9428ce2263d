// Command buckthorndockd is the daemon that serves callers and operators on one
// entry host. It keeps nothing on disk.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/buckthorndock/buckthorndock/internal/config"
	"github.com/buckthorndock/buckthorndock/internal/core/finding"
	"github.com/buckthorndock/buckthorndock/internal/daemon"
	"github.com/buckthorndock/buckthorndock/internal/edge"
	"github.com/buckthorndock/buckthorndock/internal/obs"
	"github.com/buckthorndock/buckthorndock/platform"
)

// Exit codes.
const (
	exitFailed   = 1
	exitBadInput = 2 // the daemon file or the command line
)

func main() {
	cmd := &cli.Command{
		Name:  "buckthorndockd",
		Usage: "serve prompts of widely different lengths on one entry host",
		Description: `Reads the daemon file, follows the settings on the platform's log and serves
callers until SIGTERM or SIGINT, after which it finishes the requests in progress.

Example:
   buckthorndockd --config daemon.yaml`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "daemon `FILE`"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, c.String("config"))
		},
		Commands: []*cli.Command{edgeCommand()},
	}
	err := cmd.Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	var findings finding.List
	if errors.As(err, &findings) || errors.Is(err, os.ErrNotExist) || errors.Is(err, errNoConfig) {
		os.Exit(exitBadInput)
	}
	os.Exit(exitFailed)
}

// edgeCommand returns the subcommand for a platform that stores the settings and the
// list of upstreams.
func edgeCommand() *cli.Command {
	return &cli.Command{
		Name:  "edge",
		Usage: "serve behind the platform's entry, with settings and upstreams from its store",
		Description: `Reads the daemon file that the platform has filled in and serves until SIGTERM,
after which it finishes the requests in progress within the grace period.

Example:
   buckthorndockd edge --config daemon.yaml`,
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "config", Aliases: []string{"c"}, Usage: "daemon `FILE`", Sources: cli.EnvVars(platform.ConfigEnv),
		}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runEdge(ctx, c.String("config"))
		},
	}
}

// maxQueuedLogLines is how many log lines are queued for a slow reader of the output
// before further ones are dropped and counted.
const maxQueuedLogLines = 4096

func runEdge(ctx context.Context, file string) error {
	// Signals are handled from the start to the end: without a handler they kill.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	cfg, err := edge.LoadConfig(file)
	if err != nil {
		return err
	}
	out := obs.NewBoundedWriter(os.Stdout, maxQueuedLogLines)
	defer out.Close()
	log, err := obs.NewLogger(out, cfg.LogLevel)
	if err != nil {
		return err
	}
	return edge.Run(ctx, cfg, platform.Provider{}, reloads, log.WithField("host", cfg.Host))
}

// errNoConfig reports a command line without a daemon file.
var errNoConfig = errors.New("--config is missing")

func run(ctx context.Context, file string) error {
	if file == "" {
		return errNoConfig
	}
	cfg, err := config.Load(file)
	if err != nil {
		return err
	}
	log, err := obs.NewLogger(os.Stderr, cfg.LogLevel)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return daemon.Run(ctx, cfg, log.WithField("host", cfg.Host))
}
