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
		Usage:     "switch a fault, set the host list or read the witness of a running stand-in",
		ArgsUsage: "PATH [JSON]",
		Description: "Posts JSON to /standin/PATH or, without JSON, reads that path. Examples:\n" +
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

// control sends one control call to a stand-in and prints the answer: a POST if args
// holds a body after the path, else a GET.
func control(ctx context.Context, out io.Writer, address string, args []string) error {
	if len(args) < 1 || len(args) > 2 {
		return merry.New("control takes a path and, to post, one JSON argument")
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
