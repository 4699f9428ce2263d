package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
	"github.com/buckthorndock/buckthorndock/internal/obs"
)

// Options configure a Client. The zero value uses the defaults.
type Options struct {
	DialTimeout time.Duration // to open a connection; 500 ms by default
	PollTimeout time.Duration // for polls and orders; 2 s by default
}

// Defaults of Options.
const (
	DefaultDialTimeout = 500 * time.Millisecond
	DefaultPollTimeout = 2 * time.Second
)

// Client reaches upstreams by IP:port. Work is dispatched on a new connection
// each time, since an idle one may have gone silent unnoticed; polls share
// connections, which are dropped after a timeout.
type Client struct {
	opts     Options
	dispatch *http.Client
	poll     *http.Client
	pollPool *http.Transport

	mu      sync.Mutex
	workers map[string]*engineapi.Client // by address, over dispatch
	pollers map[string]*engineapi.Client // by address, over poll
}

// NewClient returns a Client.
func NewClient(opts Options) *Client {
	if opts.DialTimeout == 0 {
		opts.DialTimeout = DefaultDialTimeout
	}
	if opts.PollTimeout == 0 {
		opts.PollTimeout = DefaultPollTimeout
	}
	dialer := &net.Dialer{Timeout: opts.DialTimeout}
	fresh := &http.Transport{DialContext: dialPermitted(dialer), DisableKeepAlives: true}
	shared := &http.Transport{DialContext: obs.CountBytes(obs.PurposeEngines, dialer.DialContext), MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}
	return &Client{
		opts:     opts,
		dispatch: &http.Client{Transport: backOffNoter{fresh}, CheckRedirect: followNone},
		poll:     &http.Client{Transport: shared, Timeout: opts.PollTimeout},
		pollPool: shared,
		workers:  map[string]*engineapi.Client{},
		pollers:  map[string]*engineapi.Client{},
	}
}

// followNone makes a redirect an answer like others: a second sending would be a
// second dispatch, and an error in it no proof that the first did not run.
func followNone(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// worker returns the client whose calls each open a connection.
func (c *Client) worker(address string) (*engineapi.Client, error) {
	return c.cached(c.workers, address, c.dispatch)
}

// poller returns the client whose calls share a connection.
func (c *Client) poller(address string) (*engineapi.Client, error) {
	return c.cached(c.pollers, address, c.poll)
}

func (c *Client) cached(m map[string]*engineapi.Client, address string, hc *http.Client) (*engineapi.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ec, ok := m[address]; ok {
		return ec, nil
	}
	ec, err := engineapi.NewClient("http://"+address, engineapi.WithClient(hc))
	if err != nil {
		return nil, merry.Prependf(err, "client of upstream %s", address)
	}
	m[address] = ec
	return ec, nil
}

// withTimeout bounds a short call.
func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.opts.PollTimeout)
}

// pollFailed drops the shared connections after a failed poll, so that the next
// one does not wait on a connection that has gone silent.
func (c *Client) pollFailed(err error) error {
	c.pollPool.CloseIdleConnections()
	return classify(err)
}
