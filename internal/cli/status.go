package cli

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/buckthorndock/buckthorndock/internal/api/callerapi"
)

// daemonStatus is the status of the daemon at one address, or the error of reading it.
type daemonStatus struct {
	Address string            `json:"address"`
	Error   string            `json:"error,omitempty"`
	Status  *callerapi.Status `json:"status,omitempty"`
}

func newStatus() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the state of daemons, their peers and their upstreams",
		Description: `Queries every given address. The exit code is 1 when one of them did not answer.

Examples:
   buckthorndock -a 127.0.0.1:8080 -a 127.0.0.1:8081 status
   buckthorndock -a 127.0.0.1:8080 --output json status`,
		Action: status,
	}
}

func status(ctx context.Context, c *cli.Command) error {
	ds, err := newDaemonClients(c)
	if err != nil {
		return err
	}
	var all []daemonStatus
	failures := 0
	for _, d := range ds {
		s := getStatus(ctx, d)
		if s.Status == nil {
			failures++
		}
		all = append(all, s)
	}
	if err := emit(c, all, func(w io.Writer) { writeStatus(w, all) }); err != nil {
		return err
	}
	if failures > 0 {
		return exitf(ExitFailed, "%d of %d daemons returned no status", failures, len(ds))
	}
	return nil
}

func getStatus(ctx context.Context, d daemonClient) daemonStatus {
	s := daemonStatus{Address: d.address}
	res, err := d.api.GetStatus(ctx)
	if err != nil {
		s.Error = err.Error()
		return s
	}
	switch r := res.(type) {
	case *callerapi.Status:
		s.Status = r
	case *callerapi.ErrorStatusCode:
		s.Error = apiError(r).Error()
	}
	return s
}

func writeStatus(w io.Writer, all []daemonStatus) {
	for i, d := range all {
		if i > 0 {
			fmt.Fprintln(w)
		}
		if d.Status == nil {
			fmt.Fprintf(w, "%s: %s\n", d.Address, d.Error)
			continue
		}
		writeDaemon(w, d.Address, d.Status)
	}
}

func writeDaemon(w io.Writer, address string, s *callerapi.Status) {
	fmt.Fprintf(w, "%s: host %s, domain %s, %s\n", address, s.Host, s.Domain, s.State)
	fmt.Fprintf(w, "settings: offset %d, digest %s, %.1f s behind\n", s.SettingsOffset, s.SettingsDigest, s.SettingsLagS)
	fmt.Fprintf(w, "requests: %d in flight, %d queued\n", s.InFlight, s.Queued)
	if len(s.Evacuated) > 0 {
		fmt.Fprintf(w, "evacuated: %s\n", strings.Join(s.Evacuated, ", "))
	}
	if len(s.Peers) > 0 {
		rows := [][]string{{"PEER", "DOMAIN", "ADDRESS", "STATE", "HEARTBEAT AGE"}}
		for _, p := range s.Peers {
			rows = append(rows, []string{p.Host, p.Domain, p.Address, p.State, fmt.Sprintf("%.1f s", p.HeartbeatAgeS)})
		}
		writeTable(w, rows)
	}
	if len(s.Upstreams) > 0 {
		rows := [][]string{{"UPSTREAM", "POOL", "DOMAIN", "STATE", "OWNER", "IN FLIGHT", "QUEUED TOKENS", "MEMORY", "REPORT AGE"}}
		for _, u := range s.Upstreams {
			rows = append(rows, []string{
				u.Name, u.Pool, u.Domain, u.State, u.Owner, fmt.Sprint(u.InFlight), fmt.Sprint(u.QueueTokens),
				fmt.Sprintf("%d/%d", u.MemoryUsedTokens, u.MemoryTotalTokens), fmt.Sprintf("%.1f s", u.ReportAgeS),
			})
		}
		writeTable(w, rows)
	}
}
