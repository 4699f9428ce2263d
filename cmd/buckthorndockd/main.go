// Command buckthorndockd is the daemon: the front for callers and operators on
// one entry host. It keeps nothing on disk.
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
	"github.com/buckthorndock/buckthorndock/internal/obs"
)

// Exit codes.
const (
	exitFailed   = 1
	exitBadInput = 2 // the daemon file or the command line
)

func main() {
	cmd := &cli.Command{
		Name:  "buckthorndockd",
		Usage: "serve prompts of very unlike lengths on one entry host",
		Description: `Reads the daemon file, follows the settings on the platform's log and serves
callers until SIGTERM or SIGINT, after which it finishes all that is in progress.

Example:
   buckthorndockd --config daemon.yaml`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "daemon `FILE`", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, c.String("config"))
		},
	}
	err := cmd.Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	var findings finding.List
	if errors.As(err, &findings) || errors.Is(err, os.ErrNotExist) {
		os.Exit(exitBadInput)
	}
	os.Exit(exitFailed)
}

func run(ctx context.Context, file string) error {
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
