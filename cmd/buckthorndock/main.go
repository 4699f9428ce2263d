// Command buckthorndock is the command-line tool of operators and callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/buckthorndock/buckthorndock/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args, cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
