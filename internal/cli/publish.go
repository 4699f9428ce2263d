package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/buckthorndock/buckthorndock/internal/api/callerapi"
)

// Limits of the search of the history for a change whose verdict was lost.
const (
	maxHistoryReads     = 20
	historyReadInterval = 500 * time.Millisecond
)

// publishChange sends a change to the first daemon that can be reached. When the
// verdict is lost, the change is not sent again, but searched by its id in the
// settings history that every daemon replays.
func publishChange(ctx context.Context, c *cli.Command, change *callerapi.SettingsChange) (*callerapi.SettingsVerdict, error) {
	v, err := submitChange(ctx, c, change)
	if err == nil {
		return v, nil
	}
	if exitCode(err) == ExitUnknown {
		fmt.Fprintf(c.Root().ErrWriter, "change %s: the verdict was lost, searching the history for it\n", change.ChangeID)
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

// awaitVerdictInHistory polls the settings history and returns the verdict of a
// change, or nil when it does not appear.
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

// findVerdict returns the verdict of a change in a history, nil when it is not there.
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

// getHistory returns the newest changes of a path and its subtree, newest first, at
// most limit of them.
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
