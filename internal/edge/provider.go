package edge

import (
	"net/http"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/route"
	"github.com/buckthorndock/buckthorndock/internal/httpwire"
	"github.com/buckthorndock/buckthorndock/internal/keyed"
	"github.com/buckthorndock/buckthorndock/internal/platform"
	"github.com/buckthorndock/buckthorndock/internal/relay"
)

// Provider is the binding to a platform. It only translates the platform's formats and makes no
// decisions.
type Provider interface {
	// Store returns a client of the platform's store at an address.
	Store(address string) platform.Keyed
	// SettingsStream names the stream that has the settings under SettingsKey, and
	// UpstreamsStream the one that has an entry per upstream.
	SettingsStream() string
	SettingsKey() string
	UpstreamsStream() string
	// EvidenceStream names the daemons' own stream, which records requests that crash upstreams.
	EvidenceStream() string
	// DecodeSettings decodes the value of the settings.
	DecodeSettings(value []byte) (route.Spec, error)
	// SettingsRank and UpstreamRank return the rank of a value of their stream; see keyed.RankOf.
	SettingsRank(key string, value []byte) (rank keyed.Rank, ok bool)
	UpstreamRank(key string, value []byte) (rank keyed.Rank, ok bool)
	// EvacuationDomain returns the failure domain whose evacuation a key of the settings stream is
	// about; ok is false for other keys. CheckEvacuation checks the value of such a key.
	EvacuationDomain(key string) (domain string, ok bool)
	CheckEvacuation(domain string, value []byte) error
	// SameUpstream reports whether two records of one upstream differ only in the number of the
	// heartbeat.
	SameUpstream(before, after []byte) bool
	// DecodeUpstream decodes the entry of an upstream.
	DecodeUpstream(id string, value []byte) (*fleet.Upstream, error)
	// Sender returns the sender of requests to upstreams. It passes the notices in answers to
	// onNotice.
	Sender(pool *httpwire.Pool, onNotice relay.NoticeFunc) relay.Sender
	// CallerHandler serves callers; closing reports whether they must use other connections.
	CallerHandler(admitter *relay.Admitter, closing func() bool) http.Handler
	// ReadyHandler serves the balancer's readiness check.
	ReadyHandler(ready func() bool) http.Handler
}
