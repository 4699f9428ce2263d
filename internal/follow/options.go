package follow

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/option"
	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// Streams of the log.
const (
	Stream         = "settings"
	SnapshotStream = "settings-snapshots"
)

// PeerRef identifies another daemon.
type PeerRef struct {
	Name    string
	Address string // IP:port of its peer listener
}

// Peers gives the follower access to the other daemons.
type Peers interface {
	// Tailer reports whether this host is one of the few of its failure domain
	// that read the log.
	Tailer() bool
	// Sample returns up to n random live peers, of all failure domains and without this host.
	Sample(n int) []PeerRef
	// Call calls a method of a peer's net/rpc service.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Options configures a Follower. Log and Peers are required; for the others the zero value
// means the default.
type Options struct {
	Log   platform.Log
	Peers Peers

	PollWait              time.Duration // max time for which one read of the log waits for a record; default 4 s
	CallTimeout           time.Duration // timeout of a peer call, and of a read in addition to its wait; default 3 s
	PullInterval          time.Duration // between two comparisons with a random peer; default 3 s
	MaxLag                time.Duration // lag above which a host that is no tailer also reads the log; default 30 s
	RetryMin              time.Duration // wait after the first failed log call; default 200 ms
	RetryMax              time.Duration // max wait between retries of log calls; default 5 s
	Fanout                int           // peers that a new record is pushed to; default 4
	RecentBytes           int           // max bytes of recent records kept for peers that lag; default 1 MiB
	RecordsPerSnapshot    int64         // records after which a snapshot is written; default 500
	FirstSnapshotCheck    time.Duration // from the start to the first read of the snapshot stream; default 2 s
	SnapshotCheckInterval time.Duration // between two reads of the snapshot stream; default 1 min
	Retention             time.Duration // min time for which the log keeps a record; default 1 h
	AppendAttempts        int           // max attempts to append a change, all with the same id; default 5

	Now    func() time.Time // default time.Now
	Logger *logrus.Entry    // default the standard logger
}

func (o *Options) setDefaults() {
	option.Default(&o.PollWait, 4*time.Second)
	option.Default(&o.CallTimeout, 3*time.Second)
	option.Default(&o.PullInterval, 3*time.Second)
	option.Default(&o.MaxLag, 30*time.Second)
	option.Default(&o.RetryMin, 200*time.Millisecond)
	option.Default(&o.RetryMax, 5*time.Second)
	option.Default(&o.Fanout, 4)
	option.Default(&o.RecentBytes, 1<<20)
	option.Default(&o.RecordsPerSnapshot, 500)
	option.Default(&o.FirstSnapshotCheck, 2*time.Second)
	option.Default(&o.SnapshotCheckInterval, time.Minute)
	option.Default(&o.Retention, time.Hour)
	option.Default(&o.AppendAttempts, 5)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logger == nil {
		o.Logger = logrus.NewEntry(logrus.StandardLogger())
	}
}

// readLimit bounds the records of one read of the log.
const readLimit = 1000
