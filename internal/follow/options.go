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

// PeerRef is another daemon.
type PeerRef struct {
	Name    string
	Address string // IP:port of its peer listener
}

// Peers is what the follower needs of the other daemons.
type Peers interface {
	// Tailer reports whether this host is one of the few of its failure domain
	// that read the log.
	Tailer() bool
	// Sample returns up to n live peers at random, those of other domains among
	// them, never this host.
	Sample(n int) []PeerRef
	// Call calls a method of a peer's net/rpc service.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Options configure a Follower. Log and Peers are required; zero values of the
// others take the defaults.
type Options struct {
	Log   platform.Log
	Peers Peers

	PollWait              time.Duration // longest wait of one read of the log; default 4 s
	CallTimeout           time.Duration // of a peer call, and of a read beyond its wait; default 3 s
	PullInterval          time.Duration // between two comparisons with a random peer; default 3 s
	MaxLag                time.Duration // lag from which any host reads the log itself; default 30 s
	RetryMin              time.Duration // wait after a first failure of the log; default 200 ms
	RetryMax              time.Duration // longest wait between tries of the log; default 5 s
	Fanout                int           // peers that a new record is pushed to; default 4
	RecentBytes           int           // records kept for peers that lag a little; default 1 MiB
	RecordsPerSnapshot    int64         // records after which a snapshot is written; default 500
	FirstSnapshotCheck    time.Duration // from the start to the first look at the snapshot stream; default 2 s
	SnapshotCheckInterval time.Duration // between two looks at the snapshot stream; default 1 min
	Retention             time.Duration // shortest time that the log keeps a record; default 1 h
	AppendAttempts        int           // appends of one change, all with the same id; default 5

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
