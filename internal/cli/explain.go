package cli

import (
	"context"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/buckthorndock/buckthorndock/internal/api/callerapi"
)

// decision is a placement and the daemon that reported it.
type decision struct {
	Daemon    string               `json:"daemon"`
	Placement *callerapi.Placement `json:"placement"`
}

func newExplain() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show why a request was placed on its upstreams",
		ArgsUsage: "REQUEST_ID",
		Description: `Queries every given address and shows the placement decisions of the request, by
attempt: the upstreams chosen, the best ones rejected with their estimates, and why.
The exit code is 1 when no daemon has a record of the request.

Examples:
   buckthorndock -a 127.0.0.1:8080 -a 127.0.0.1:8081 explain 0192f1c4`,
		Action: explain,
	}
}

func explain(ctx context.Context, c *cli.Command) error {
	if c.NArg() != 1 {
		return exitf(ExitUsage, "explain takes one request id")
	}
	ds, err := newDaemonClients(c)
	if err != nil {
		return err
	}
	var found []decision
	for _, d := range ds {
		placements, err := listPlacements(ctx, d, c.Args().First())
		if err != nil {
			fmt.Fprintf(c.Root().ErrWriter, "daemon %s: %v\n", d.address, err)
			continue
		}
		for i := range placements {
			found = append(found, decision{Daemon: d.address, Placement: &placements[i]})
		}
	}
	if len(found) == 0 {
		return exitf(ExitFailed, "no queried daemon has a record of request %s", c.Args().First())
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].Placement.Attempt < found[j].Placement.Attempt })
	return emit(c, found, func(w io.Writer) { writeDecisions(w, found) })
}

func listPlacements(ctx context.Context, d daemonClient, id string) ([]callerapi.Placement, error) {
	res, err := d.api.ListPlacements(ctx, callerapi.ListPlacementsParams{RequestID: callerapi.NewOptString(id)})
	if err != nil {
		return nil, err
	}
	switch r := res.(type) {
	case *callerapi.PlacementList:
		return r.Placements, nil
	case *callerapi.ErrorStatusCode:
		return nil, apiError(r)
	default:
		return nil, unexpectedAnswerError(res)
	}
}

func writeDecisions(w io.Writer, all []decision) {
	for _, d := range all {
		p := d.Placement
		fmt.Fprintf(w, "attempt %d at %s by %s: %s of customer %s (%s)\n",
			p.Attempt, p.At.Format("15:04:05.000"), d.Daemon, p.Target, p.Customer, p.Path)
		fmt.Fprintf(w, "  class %s, %d prompt tokens\n", p.Class, p.PromptTokens)
		fmt.Fprintf(w, "  chosen %s, first token estimated in %.0f ms: %s\n", strings.Join(p.Chosen, ", "), p.EstimateMs, p.Reason)
		for _, r := range p.Rejected {
			fmt.Fprintf(w, "  rejected %s, estimated %.0f ms: %s\n", r.Upstream, r.EstimateMs, r.Why)
		}
		if p.Outcome.Set {
			fmt.Fprintf(w, "  outcome %s\n", p.Outcome.Value)
		}
	}
}
