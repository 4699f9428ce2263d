package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
	"github.com/buckthorndock/buckthorndock/internal/httpwire"
	"github.com/buckthorndock/buckthorndock/internal/inbound"
	"github.com/buckthorndock/buckthorndock/internal/obs"
)

// Options configure a Client. The zero value uses the defaults.
type Options struct {
	Dial        obs.DialFunc  // opens connections; over the network by default
	DialTimeout time.Duration // of opening a connection; 500 ms by default
	PollTimeout time.Duration // of polls and short calls such as Cancel; 2 s by default
	// Memory bounds what is held of answers, of all exchanges together; it is not bounded if nil.
	Memory *inbound.Memory
	Log    *logrus.Entry // for lines about broken answers; none if nil
}

// Defaults of Options.
const (
	DefaultDialTimeout = 500 * time.Millisecond
	DefaultPollTimeout = 2 * time.Second
)

// permitTimeout bounds opening a connection with the time in which its permit is asked. Requests end
// before it; the connection itself has Options.DialTimeout.
const permitTimeout = time.Hour

// Client calls upstreams by IP:port. Work is dispatched on a new connection each
// time, since an idle one may be broken unnoticed; polls share connections, which
// are closed after a failed poll.
type Client struct {
	opts     Options
	dial     obs.DialFunc
	dispatch *http.Client
	poll     *http.Client
	pollPool httpwire.Transport

	mu              sync.Mutex
	dispatchClients map[string]*engineapi.Client // by address, over dispatch
	pollClients     map[string]*engineapi.Client // by address, over poll
}

// NewClient returns a Client.
func NewClient(opts Options) *Client {
	if opts.DialTimeout == 0 {
		opts.DialTimeout = DefaultDialTimeout
	}
	if opts.PollTimeout == 0 {
		opts.PollTimeout = DefaultPollTimeout
	}
	if opts.Dial == nil {
		opts.Dial = new(net.Dialer).DialContext
	}
	dial := obs.WithDialTimeout(opts.Dial, opts.DialTimeout)
	fresh := httpwire.Transport{Pool: httpwire.NewPool(httpwire.Options{
		Dial:        dialWithPermit(dial),
		DialTimeout: permitTimeout,
		Memory:      opts.Memory,
		Log:         opts.Log,
	})}
	const idlePolls = 1 // connections to an upstream
	shared := obs.NewKeptTransport(obs.CountBytes(obs.PurposeEngines, dial), idlePolls, opts.Log)
	return &Client{
		opts: opts,
		dial: dial,
		dispatch: &http.Client{
			Transport: backOffRecorder{refusalReader{&inbound.Transport{
				RoundTripper: fresh,
				Memory:       opts.Memory,
				Limits:       ReplyLimits,
				IsStream:     isStream,
			}}},
			CheckRedirect: doNotFollowRedirects,
		},
		poll: &http.Client{
			Transport: &inbound.Transport{RoundTripper: shared, Memory: opts.Memory, Limits: ReplyLimits},
			Timeout:   opts.PollTimeout,
		},
		pollPool:        shared,
		dispatchClients: map[string]*engineapi.Client{},
		pollClients:     map[string]*engineapi.Client{},
	}
}

// doNotFollowRedirects has a redirect returned as the answer: following it would be
// a second dispatch, and an error of that would not prove that the first did not run.
func doNotFollowRedirects(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// dispatchClient returns the client that opens a connection for each call.
func (c *Client) dispatchClient(address string) (*engineapi.Client, error) {
	return c.cachedClient(c.dispatchClients, address, c.dispatch)
}

// pollClient returns the client that reuses connections.
func (c *Client) pollClient(address string) (*engineapi.Client, error) {
	return c.cachedClient(c.pollClients, address, c.poll)
}

// cachedClient returns m's client of an address, adding one over hc if there is none.
func (c *Client) cachedClient(m map[string]*engineapi.Client, address string, hc *http.Client) (*engineapi.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ec, ok := m[address]; ok {
		return ec, nil
	}
	ec, err := engineapi.NewClient("http://"+address, engineapi.WithClient(hc))
	if err != nil {
		return nil, merry.Prependf(err, "create client of upstream %s", address)
	}
	m[address] = ec
	return ec, nil
}

// withTimeout bounds a short call by PollTimeout.
func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.opts.PollTimeout)
}

// CloseIdle closes the connections of polls that are idle.
func (c *Client) CloseIdle() { c.pollPool.CloseIdleConnections() }

// handlePollError closes the idle shared connections after a failed poll, so that
// the next one does not wait on a broken connection, and returns the classified
// error.
func (c *Client) handlePollError(err error) error {
	c.pollPool.CloseIdleConnections()
	return classify(err)
}
