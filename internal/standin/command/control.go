package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"
)

const controlTimeout = 10 * time.Second

func controlCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "control",
		Usage:     "switch a fault, set the host list or read the witness of a stand-in that runs",
		ArgsUsage: "PATH [JSON]",
		Description: "Posts JSON to /standin/PATH, or reads the path without JSON. Examples:\n" +
			"  standin control --at 127.0.0.1:7100 fault '{\"kind\":\"outage\",\"on\":true}'\n" +
			"  standin control --at 127.0.0.1:7103 witness",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "at", Required: true, Usage: "IP:port of the stand-in"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, controlTimeout)
			defer cancel()
			return control(ctx, out, c.String("at"), c.Args().Slice())
		},
	}
}

func control(ctx context.Context, out io.Writer, address string, args []string) error {
	if len(args) < 1 || len(args) > 2 {
		return merry.New("control needs a path, and JSON to post")
	}
	method, body := http.MethodGet, ""
	if len(args) == 2 {
		method, body = http.MethodPost, args[1]
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/standin/"+args[0], strings.NewReader(body))
	if err != nil {
		return merry.Prependf(err, "stand-in %s", address)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return merry.Prependf(err, "stand-in %s", address)
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return merry.Prependf(err, "stand-in %s", address)
	}
	if res.StatusCode != http.StatusOK {
		return merry.Errorf("stand-in %s: status %d: %s", address, res.StatusCode, answer)
	}
	_, err = fmt.Fprintf(out, "%s", answer)
	return err
}
