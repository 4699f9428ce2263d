package platform

import (
	"context"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/api/platformapi"
)

// HTTP is a client of the platform's HTTP services. It implements Log, Hosts and
// Weights.
type HTTP struct {
	client *platformapi.Client
}

// NewHTTP returns a client of the service at an IP:port. The http.Client should
// have no overall timeout: each call is bounded by its context.
func NewHTTP(address string, c *http.Client) (*HTTP, error) {
	client, err := platformapi.NewClient("http://"+address, platformapi.WithClient(hostFilter{c}))
	if err != nil {
		return nil, merry.Prependf(err, "platform client for %s", address)
	}
	return &HTTP{client: client}, nil
}

// Append implements Log.
func (h *HTTP) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	res, err := h.client.Append(ctx, &platformapi.AppendRequest{Records: records}, platformapi.AppendParams{Stream: stream})
	if err != nil {
		return 0, merry.Prependf(err, "append to stream %s", stream)
	}
	return res.FirstOffset, nil
}

// Read implements Log.
func (h *HTTP) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error) {
	params := platformapi.ReadParams{
		Stream: stream,
		From:   from,
		Max:    platformapi.NewOptInt(limit),
		WaitMs: platformapi.NewOptInt(int(wait.Milliseconds())),
	}
	res, err := h.client.Read(ctx, params)
	if err != nil {
		return Page{}, merry.Prependf(err, "read stream %s from %d", stream, from)
	}
	page := Page{FirstKept: res.FirstKept, EndOffset: res.Next, Era: res.Era.Or(NoEra)}
	for _, r := range res.Records {
		page.Records = append(page.Records, Record{Offset: r.Offset, At: time.UnixMilli(r.AtMs), Data: r.Data})
	}
	return page, nil
}

// List implements Hosts.
func (h *HTTP) List(ctx context.Context) ([]Host, error) {
	res, err := h.client.ListHosts(ctx)
	if err != nil {
		return nil, merry.Prepend(err, "list hosts")
	}
	hosts := make([]Host, 0, len(res.Hosts))
	for _, e := range res.Hosts {
		hosts = append(hosts, Host{
			Name:    e.Name,
			Kind:    HostKind(e.Kind),
			Domain:  e.Domain,
			Region:  e.Region,
			Address: e.Address,
			State:   HostState(e.State),
		})
	}
	return hosts, nil
}

// TakePermit implements Weights.
func (h *HTTP) TakePermit(ctx context.Context, model string) (time.Duration, error) {
	res, err := h.client.TakeWeightPermit(ctx, platformapi.TakeWeightPermitParams{Model: model})
	if err != nil {
		return 0, merry.Prependf(err, "weight permit for %s", model)
	}
	return time.Duration(res.WaitMs) * time.Millisecond, nil
}
