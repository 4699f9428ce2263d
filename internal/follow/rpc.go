package follow

import "time"

// Service is the net/rpc name under which RPC is registered.
const Service = "Settings"

const (
	methodPush = Service + ".Push"
	methodPull = Service + ".Pull"
)

// PushArgs is the argument of Push: new records for a peer.
type PushArgs struct {
	Era     int64    // of the log; 0 from hosts of earlier releases
	Records []Record // without gaps
	AgeMs   int64    // time since the last record was known to be the newest; negative: unknown
}

// PushReply is the reply to Push.
type PushReply struct {
	Offset int64 // of the peer's state after the push
}

// PullArgs is the argument of Pull: the first offset that the caller lacks.
type PullArgs struct {
	Era   int64 // of the log, as in PushArgs
	From  int64 // first offset wanted
	AgeMs int64 // as in PushArgs, for the state at the offset before From
}

// PullReply is the reply to Pull: the records from the requested offset on when the peer still
// keeps all of them, otherwise a snapshot.
type PullReply struct {
	Ready    bool // false: the peer has no settings yet, and the other fields are empty
	Era      int64
	Offset   int64
	Digest   uint64
	AgeMs    int64 // as in PushArgs, for Offset
	Records  []Record
	Snapshot []byte // exported state, compressed by pack
}

// RPC is the net/rpc receiver for the calls of peers.
type RPC struct {
	f *Follower
}

// RPC returns the receiver to register under Service.
func (f *Follower) RPC() *RPC { return &RPC{f: f} }

// Push applies new records. A gap before them triggers a pull.
func (r *RPC) Push(args *PushArgs, reply *PushReply) error {
	start := r.f.o.Now()
	if r.f.apply(args.Era, args.Records) {
		signal(r.f.pullDue)
	}
	reply.Offset = r.f.Offset()
	if n := len(args.Records); n > 0 {
		r.markCurrent(args.Era, args.Records[n-1].Offset, args.AgeMs, start)
	}
	return nil
}

// markCurrent records the age of a state that the caller gave. The age is too low by the transit
// time of the call, which is unknown here.
func (r *RPC) markCurrent(era, offset, ageMs int64, received time.Time) {
	if age, known := ageOf(ageMs); known {
		r.f.markCurrent(era, offset, received.Add(-age))
	}
}

// Pull returns the records that the caller lacks, or a snapshot. When the caller's era is later
// than the own one, it triggers a pull instead.
func (r *RPC) Pull(args *PullArgs, reply *PullReply) error {
	f := r.f
	if !f.Ready() {
		return nil
	}
	r.markCurrent(args.Era, args.From-1, args.AgeMs, f.o.Now())
	reply.Ready = true
	reply.AgeMs = f.Lag(f.o.Now()).Milliseconds()
	f.mu.Lock()
	reply.Era, reply.Offset, reply.Digest = f.state.Era(), f.state.Offset(), f.state.Digest()
	records, ok := f.recent.from(args.From)
	f.mu.Unlock()
	if args.Era > reply.Era {
		signal(f.pullDue)
		return nil
	}
	if reply.Era == args.Era && reply.Offset < args.From {
		return nil
	}
	if ok && reply.Era == args.Era {
		reply.Records = records
		return nil
	}
	// The state may have advanced since; the snapshot may then be newer than Offset, which does
	// not matter.
	var err error
	reply.Snapshot, _, err = f.exportState()
	return err
}
