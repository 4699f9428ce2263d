package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/buckthorndock/buckthorndock/internal/api/callerapi"
)

// A change whose verdict was lost is looked for this often in the history.
const (
	maxHistoryReads     = 20
	historyReadInterval = 500 * time.Millisecond
)

// publishChange sends a change to the first daemon that takes it. When the
// verdict is lost, the change is not sent again: it is looked for by its id in
// the history that every daemon replays.
func publishChange(ctx context.Context, c *cli.Command, change *callerapi.SettingsChange) (*callerapi.SettingsVerdict, error) {
	v, err := submitChange(ctx, c, change)
	if err == nil {
		return v, nil
	}
	if exitCode(err) == ExitUnknown {
		fmt.Fprintf(c.Root().ErrWriter, "change %s: the verdict was lost, looking for it in the history\n", change.ChangeID)
		if v := awaitVerdictInHistory(ctx, c, change); v != nil {
			return v, nil
		}
	}
	return nil, fmt.Errorf("change %s: %w", change.ChangeID, err)
}

func submitChange(ctx context.Context, c *cli.Command, change *callerapi.SettingsChange) (*callerapi.SettingsVerdict, error) {
	res, err := callFirstReachable(c, false, func(api *callerapi.Client) (callerapi.ChangeSettingsRes, error) {
		return api.ChangeSettings(ctx, change)
	})
	if err != nil {
		return nil, err
	}
	switch r := res.(type) {
	case *callerapi.SettingsVerdict:
		return r, nil
	case *callerapi.ErrorStatusCode:
		return nil, apiError(r)
	default:
		return nil, unexpectedAnswerError(res)
	}
}

// awaitVerdictInHistory returns the verdict of a change from the history, nil when no
// daemon comes to know of it.
func awaitVerdictInHistory(ctx context.Context, c *cli.Command, change *callerapi.SettingsChange) *callerapi.SettingsVerdict {
	for range maxHistoryReads {
		history, err := getHistory(ctx, c, change.Edits[0].Path, maxHistoryReads)
		if err == nil {
			if v := findVerdict(history, change); v != nil {
				return v
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(historyReadInterval):
		}
	}
	return nil
}

func findVerdict(history *callerapi.SettingsHistory, change *callerapi.SettingsChange) *callerapi.SettingsVerdict {
	for _, h := range history.Changes {
		if h.ChangeID != change.ChangeID {
			continue
		}
		v := &callerapi.SettingsVerdict{ChangeID: h.ChangeID, Accepted: h.Accepted, Offset: h.Offset, Findings: []callerapi.Finding{}}
		if !h.Accepted {
			v.Findings = append(v.Findings, callerapi.Finding{Place: change.Edits[0].Path, Message: h.Reason})
		}
		return v
	}
	return nil
}

// getHistory reads the changes of a path and its subtree, newest first.
func getHistory(ctx context.Context, c *cli.Command, path string, limit int) (*callerapi.SettingsHistory, error) {
	params := callerapi.GetSettingsHistoryParams{
		Path:  callerapi.NewOptString(path),
		Limit: callerapi.NewOptInt(limit),
	}
	res, err := callFirstReachable(c, true, func(api *callerapi.Client) (callerapi.GetSettingsHistoryRes, error) {
		return api.GetSettingsHistory(ctx, params)
	})
	if err != nil {
		return nil, err
	}
	switch r := res.(type) {
	case *callerapi.SettingsHistory:
		return r, nil
	case *callerapi.ErrorStatusCode:
		return nil, apiError(r)
	default:
		return nil, unexpectedAnswerError(res)
	}
}
