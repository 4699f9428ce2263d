package cli

import (
	"context"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/buckthorndock/buckthorndock/internal/api/callerapi"
)

// followPollInterval is the time between two reads of a daemon's settings offset.
const followPollInterval = 50 * time.Millisecond

// policySetter changes the placement policy in the document at one path and can
// restore the original document.
type policySetter struct {
	c        *cli.Command
	path     string
	existed  bool
	original string
	version  int64
	changed  bool
}

func newPolicySetter(ctx context.Context, c *cli.Command) (*policySetter, error) {
	p := &policySetter{c: c, path: c.String(flagPolicyPath)}
	view, err := getView(ctx, c, p.path)
	if err != nil {
		return nil, err
	}
	p.original, p.existed = documentTexts(view)[p.path]
	p.version = documentVersions(view)[p.path]
	return p, nil
}

// set publishes a policy and returns once every daemon has applied it.
func (p *policySetter) set(ctx context.Context, policy string) error {
	text, err := withPolicy(p.original, policy)
	if err != nil {
		return withFailureCode(err)
	}
	return p.publish(ctx, callerapi.NewOptString(text))
}

// restore publishes the original document, or deletes it when there was none.
func (p *policySetter) restore(ctx context.Context) error {
	switch {
	case !p.changed:
		return nil
	case p.existed:
		return p.publish(ctx, callerapi.NewOptString(p.original))
	default:
		return p.publish(ctx, callerapi.OptString{})
	}
}

func (p *policySetter) publish(ctx context.Context, yaml callerapi.OptString) error {
	edits := []callerapi.SettingsEdit{{Path: p.path, Base: p.version, Yaml: yaml}}
	v, err := publishChange(ctx, p.c, &callerapi.SettingsChange{ChangeID: uuid.NewString(), Author: "bench", Edits: edits})
	if err != nil {
		return err
	}
	if !v.Accepted {
		return exitf(ExitConflict, "policy change refused: %v", v.Findings)
	}
	p.changed = true
	p.version = v.Offset
	if !yaml.Set {
		p.version = 0
	}
	return awaitOffset(ctx, p.c, v.Offset)
}

// withPolicy returns the document with its placement policy replaced.
func withPolicy(document, policy string) (string, error) {
	var doc yaml.MapSlice
	if err := yaml.UnmarshalWithOptions([]byte(document), &doc, yaml.UseOrderedMap()); err != nil {
		return "", err
	}
	routing, _ := doc.ToMap()["routing"].(yaml.MapSlice)
	doc = setKey(doc, "routing", setKey(routing, "policy", policy))
	text, err := yaml.Marshal(doc)
	return string(text), err
}

// setKey sets a key of an ordered map, appending it when it is missing.
func setKey(m yaml.MapSlice, key string, value any) yaml.MapSlice {
	for i := range m {
		if m[i].Key == key {
			m[i].Value = value
			return m
		}
	}
	return append(m, yaml.MapItem{Key: key, Value: value})
}

// awaitOffset waits until every daemon has applied the settings log up to an offset,
// at most for followTimeout.
func awaitOffset(ctx context.Context, c *cli.Command, offset int64) error {
	ds, err := newDaemonClients(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	for _, d := range ds {
		for {
			s := getStatus(ctx, d)
			if s.Status != nil && s.Status.SettingsOffset >= offset {
				break
			}
			if ctx.Err() != nil {
				return exitf(ExitFailed, "daemon %s has not applied settings offset %d: %s", d.address, offset, s.Error)
			}
			time.Sleep(followPollInterval)
		}
	}
	return nil
}
