package front

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/api/callerapi"
	"github.com/buckthorndock/buckthorndock/internal/core/finding"
	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
	"github.com/buckthorndock/buckthorndock/internal/router"
)

// Operator is the state that the operator API shows and changes.
type Operator interface {
	// SettingsLag returns for how long the settings may have been out of date; ok
	// is false before the first settings.
	SettingsLag() (lag time.Duration, ok bool)
	// SettingsState returns the offset of the last record applied and the digest
	// of all up to it.
	SettingsState() (offset int64, digest uint64)
	Documents(prefix string) []settings.StoredDocument
	History(path string, limit int) []settings.Verdict
	// Change publishes a change and returns the verdict on it from the replay of the
	// log. The error is a finding.List when the change is invalid and not published.
	Change(ctx context.Context, c settings.Change) (settings.Verdict, error)
	Members() []membership.Member
	// UpstreamOwner returns the host that owns an upstream, empty when unknown.
	UpstreamOwner(upstream string) string
}

// GetStatus implements callerapi.Handler.
func (s *Server) GetStatus(context.Context) (callerapi.GetStatusRes, error) {
	offset, digest := s.opts.Operator.SettingsState()
	lag, _ := s.opts.Operator.SettingsLag()
	st := &callerapi.Status{
		Host:           s.opts.Host,
		Domain:         s.opts.Domain,
		Incarnation:    s.opts.Incarnation,
		State:          s.state(),
		SettingsOffset: offset,
		SettingsDigest: digestText(digest),
		SettingsLagS:   lag.Seconds(),
		InFlight:       s.InFlight(),
		Queued:         s.Queued(),
		Peers:          []callerapi.PeerStatus{},
		Upstreams:      []callerapi.UpstreamStatus{},
		Evacuated:      s.opts.Settings.Current().EvacuatedDomains(),
	}
	now := time.Now()
	for _, m := range s.opts.Operator.Members() {
		st.Peers = append(st.Peers, callerapi.PeerStatus{
			Host: m.Host, Domain: m.Domain, Address: m.Address,
			State: m.State.String(), HeartbeatAgeS: now.Sub(m.LastHeard).Seconds(),
		})
	}
	for _, p := range s.opts.Settings.Current().Pools() {
		for _, u := range s.opts.Router.Upstreams(p.Name) {
			st.Upstreams = append(st.Upstreams, s.upstreamStatus(p.Kind, u))
		}
	}
	return st, nil
}

func digestText(digest uint64) string { return fmt.Sprintf("%016x", digest) }

func (s *Server) upstreamStatus(kind string, u router.UpstreamStatus) callerapi.UpstreamStatus {
	return callerapi.UpstreamStatus{
		Name: u.Name, Pool: u.Pool, Kind: kind, Domain: u.Domain, Address: u.Address,
		State:             u.State.String(),
		Owner:             s.opts.Operator.UpstreamOwner(u.Name),
		InFlight:          u.InFlight,
		QueueTokens:       u.QueueTokens,
		MemoryUsedTokens:  u.MemoryUsed,
		MemoryTotalTokens: u.MemoryTotal,
		ReportAgeS:        u.ReportAge.Seconds(),
	}
}

// ListPlacements implements callerapi.Handler. An operator sees the requests of
// its own subtree.
func (s *Server) ListPlacements(ctx context.Context, p callerapi.ListPlacementsParams) (callerapi.ListPlacementsRes, error) {
	op := identityOf(ctx).operator
	list := &callerapi.PlacementList{Placements: []callerapi.Placement{}}
	for _, e := range s.opts.Journal.List(p.RequestID.Or(""), p.Limit.Or(defaultListLimit)) {
		if op.MayAccess(e.Request.Path) {
			list.Placements = append(list.Placements, placementView(e))
		}
	}
	return list, nil
}

// defaultListLimit is the default limit of lists of placements and of history.
const defaultListLimit = 100

func placementView(e router.Entry) callerapi.Placement {
	v := callerapi.Placement{
		RequestID:    e.RequestID,
		Attempt:      e.Attempt,
		At:           e.At,
		Customer:     e.Request.Customer,
		Path:         e.Request.Path,
		Target:       e.Request.Target,
		Class:        e.Decision.Class.String(),
		PromptTokens: e.Request.PromptTokens,
		Chosen:       e.Members,
		EstimateMs:   float64(e.Decision.Chosen.Estimate.FirstToken.Microseconds()) / 1000,
		Rejected:     []callerapi.PlacementRejectedItem{},
		Reason:       e.Decision.Verdict.String() + ":" + string(e.Decision.Reason),
	}
	if v.Chosen == nil {
		v.Chosen = []string{}
	}
	for _, r := range e.Decision.Rejected {
		if r.Name == "" {
			continue
		}
		v.Rejected = append(v.Rejected, callerapi.PlacementRejectedItem{
			Upstream:   r.Name,
			EstimateMs: float64(r.Estimate.FirstToken.Microseconds()) / 1000,
			Why:        string(r.Reason),
		})
	}
	if e.Outcome != "" {
		v.Outcome = callerapi.NewOptString(e.Outcome)
	}
	return v
}

// GetSettings implements callerapi.Handler. An operator sees its own subtree and
// the ancestors that it inherits from.
func (s *Server) GetSettings(ctx context.Context, p callerapi.GetSettingsParams) (callerapi.GetSettingsRes, error) {
	prefix := p.Prefix.Or(settings.Root)
	op := identityOf(ctx).operator
	if !settings.ValidPath(prefix) {
		return errorResponse(request.Refuse(request.CodeBadRequest, 0, "%q is not a settings path", prefix)), nil
	}
	offset, digest := s.opts.Operator.SettingsState()
	view := &callerapi.SettingsView{Offset: offset, Digest: digestText(digest), Documents: []callerapi.SettingsDocument{}}
	for _, d := range s.opts.Operator.Documents(prefix) {
		if op.MayAccess(d.Path) {
			view.Documents = append(view.Documents, callerapi.SettingsDocument{Path: d.Path, Version: d.Version, Yaml: d.YAML})
		}
	}
	return view, nil
}

// GetSettingsHistory implements callerapi.Handler.
func (s *Server) GetSettingsHistory(ctx context.Context, p callerapi.GetSettingsHistoryParams) (callerapi.GetSettingsHistoryRes, error) {
	op := identityOf(ctx).operator
	history := &callerapi.SettingsHistory{Changes: []callerapi.SettingsHistoryChangesItem{}}
	for _, v := range s.opts.Operator.History(p.Path.Or(settings.Root), p.Limit.Or(defaultListLimit)) {
		if !mayAccessAll(op, v.Paths) {
			continue
		}
		history.Changes = append(history.Changes, callerapi.SettingsHistoryChangesItem{
			Offset: v.Offset, ChangeID: v.ChangeID, Author: v.Author, At: v.At(),
			Paths: v.Paths, Accepted: v.Accepted(), Reason: v.Reason(),
		})
	}
	return history, nil
}

func mayAccessAll(op *settings.OperatorView, paths []string) bool {
	for _, p := range paths {
		if !op.MayAccess(p) {
			return false
		}
	}
	return true
}

// ChangeSettings implements callerapi.Handler.
func (s *Server) ChangeSettings(ctx context.Context, req *callerapi.SettingsChange) (callerapi.ChangeSettingsRes, error) {
	op := identityOf(ctx).operator
	change := settings.Change{ID: req.ChangeID, Author: op.Name + "/" + req.Author}
	for _, e := range req.Edits {
		if !op.MayAccess(e.Path) {
			refusal := request.Refuse(request.CodeForbidden, 0, "operator %s may not change %s", op.Name, e.Path)
			return errorResponse(refusal), nil
		}
		edit := settings.Edit{Path: e.Path, Base: e.Base}
		if text, ok := e.Yaml.Get(); ok {
			edit.YAML = &text
		}
		change.Edits = append(change.Edits, edit)
	}
	verdict, err := s.opts.Operator.Change(ctx, change)
	var findings finding.List
	switch {
	case errors.As(err, &findings):
		return refusedChange(req.ChangeID, findings), nil
	case err != nil:
		s.log.WithError(err).WithField("change_id", req.ChangeID).Warn("settings_change_undecided")
		refusal := &request.Refusal{
			Outcome: request.Unknown, Code: request.CodeOutcomeLost, RetryAfter: retryElsewhere,
			Message: "the change was not read back from the log; retry with the same change id: " + err.Error(),
		}
		return errorResponse(refusal), nil
	}
	return verdictView(&verdict), nil
}

func refusedChange(id string, findings finding.List) *callerapi.SettingsVerdict {
	v := &callerapi.SettingsVerdict{ChangeID: id, Findings: []callerapi.Finding{}}
	for _, f := range findings {
		v.Findings = append(v.Findings, callerapi.Finding{Place: f.Place.String(), Message: f.Message})
	}
	return v
}

func verdictView(v *settings.Verdict) *callerapi.SettingsVerdict {
	view := &callerapi.SettingsVerdict{ChangeID: v.ChangeID, Accepted: v.Accepted(), Offset: v.Offset, Findings: []callerapi.Finding{}}
	if !v.Accepted() {
		view.Findings = append(view.Findings, callerapi.Finding{Place: v.Path, Message: v.Reason()})
	}
	return view
}

// errorResponse wraps a refusal for the operator API.
func errorResponse(r *request.Refusal) *callerapi.ErrorStatusCode {
	return &callerapi.ErrorStatusCode{StatusCode: status(r), Response: *errorBody(newID(), r)}
}
