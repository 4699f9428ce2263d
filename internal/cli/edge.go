package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	edgestatus "github.com/buckthorndock/buckthorndock/internal/edge/status"
)

// Limits on the queries of edge daemons.
const (
	edgeStatusTimeout = 5 * time.Second // for one daemon, with the connection
	maxEdgeStatusSize = 4 << 20         // bytes of one status
	parallelQueries   = 32
)

// edgeHost is the status of the edge daemon at one address, or the error of reading it.
type edgeHost struct {
	Address string             `json:"address"`
	Error   string             `json:"error,omitempty"`
	Status  *edgestatus.Status `json:"status,omitempty"`
}

// edgeReport is the result of "edge status".
type edgeReport struct {
	Hosts []edgeHost     `json:"hosts"`
	Sum   edgestatus.Sum `json:"sum"`
}

func newEdge() *cli.Command {
	return newGroup("edge", "operate daemons on a platform that keeps settings and upstreams", newEdgeStatus())
}

func newEdgeStatus() *cli.Command {
	return &cli.Command{
		Name:      "status",
		Usage:     "show scarcity and demand at edge daemons, with sums over all",
		ArgsUsage: "ADDRESS...",
		Description: `Each ADDRESS is the IP:port of a daemon's metrics (listen.metrics). Engines, demand and
shares are known as a whole to the daemon that keeps the book only: give its address among the
others. The exit code is 1 when a daemon did not answer.

Examples:
   buckthorndock edge status 10.0.0.1:9102 10.0.0.2:9102
   buckthorndock edge status --output json 10.0.0.1:9102`,
		Action: edgeStatus,
	}
}

func edgeStatus(ctx context.Context, c *cli.Command) error {
	addresses := c.Args().Slice()
	if len(addresses) == 0 {
		return exitf(ExitUsage, "%s needs the metrics address of a daemon", c.FullName())
	}
	if err := checkAddresses(addresses); err != nil {
		return exitf(ExitUsage, "%w", err)
	}
	report := edgeReport{Hosts: queryEdgeHosts(ctx, addresses)}
	var answered []*edgestatus.Status
	for _, h := range report.Hosts {
		if h.Status != nil {
			answered = append(answered, h.Status)
		}
	}
	report.Sum = edgestatus.Add(answered)
	if err := emit(c, report, func(w io.Writer) { writeEdgeReport(w, &report) }); err != nil {
		return err
	}
	if failures := len(addresses) - len(answered); failures > 0 {
		return exitf(ExitFailed, "%d of %d daemons returned no status", failures, len(addresses))
	}
	return nil
}

// queryEdgeHosts queries daemons, in the order of their addresses.
func queryEdgeHosts(ctx context.Context, addresses []string) []edgeHost {
	client := &http.Client{
		Timeout:   edgeStatusTimeout,
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext},
	}
	hosts := make([]edgeHost, len(addresses))
	var queries errgroup.Group
	queries.SetLimit(parallelQueries)
	for i, address := range addresses {
		queries.Go(func() error {
			hosts[i].Address = address
			s, err := getEdgeStatus(ctx, client, address)
			if err != nil {
				hosts[i].Error = err.Error()
				return nil // the others are queried all the same
			}
			hosts[i].Status = s
			return nil
		})
	}
	_ = queries.Wait() // the queries return no errors
	return hosts
}

// getEdgeStatus reads the status of one daemon.
func getEdgeStatus(ctx context.Context, client *http.Client, address string) (*edgestatus.Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+edgestatus.Path, nil)
	if err != nil {
		return nil, err
	}
	res, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("no answer: %w", err)
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return nil, fmt.Errorf("it serves no %s: a daemon of an earlier release, or not a metrics address", edgestatus.Path)
	default:
		return nil, fmt.Errorf("it answered %s", res.Status)
	}
	var s edgestatus.Status
	if err := json.NewDecoder(io.LimitReader(res.Body, maxEdgeStatusSize)).Decode(&s); err != nil {
		return nil, fmt.Errorf("its status cannot be decoded: %w", err)
	}
	return &s, nil
}
