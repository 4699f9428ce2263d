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

// Provider is the binding to a platform: it translates and decides nothing.
type Provider interface {
	Store(address string) platform.Keyed
	// SettingsStream has the settings under SettingsKey, UpstreamsStream an entry an
	// upstream.
	SettingsStream() string
	SettingsKey() string
	UpstreamsStream() string
	// EvidenceStream is the product's own, for requests that crash upstreams.
	EvidenceStream() string
	DecodeSettings(value []byte) (route.Spec, error)
	// SettingsRank and RankOfUpstream read the rank of a value of their stream; see keyed.RankOf.
	SettingsRank(key string, value []byte) (rank keyed.Rank, ok bool)
	UpstreamRank(key string, value []byte) (rank keyed.Rank, ok bool)
	// EvacuationDomain returns the failure domain that a key of the settings stream is about;
	// ok is false for a key of another kind. CheckEvacuation checks the record of it.
	EvacuationDomain(key string) (domain string, ok bool)
	CheckEvacuation(domain string, value []byte) error
	// SameUpstream reports whether two records of one upstream differ in nothing but the
	// number of its heartbeat.
	SameUpstream(before, after []byte) bool
	DecodeUpstream(id string, value []byte) (*fleet.Upstream, error)
	// Sender tells heard what the answers say of their upstreams.
	Sender(pool *httpwire.Pool, heard relay.NoticeFunc) relay.Sender
	// CallerHandler serves callers; closing reports that they are to use other connections.
	CallerHandler(door *relay.Admitter, closing func() bool) http.Handler
	ReadyHandler(ready func() bool) http.Handler
}
