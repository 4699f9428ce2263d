package standin

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/buckthorndock/buckthorndock/internal/api/platformapi"
)

// Defaults of LogOptions, and limits of the log.
const (
	DefaultRetention        = time.Hour
	DefaultRetentionRecords = 100_000
	DefaultAppendRate       = 500
	appendQueueTime         = time.Second
)

// LogOptions configures a log. Zero values take the defaults.
type LogOptions struct {
	Retention        time.Duration // age at which a record is dropped; 1h
	RetentionRecords int           // records kept per stream; 100,000
	AppendRate       float64       // appends a second; 500. Excess ones wait, or get 429 if that takes over a second
	Exit             func(code int)
}

// Log is a stand-in for the platform's append-only log.
type Log struct {
	*base
	unimplemented
	opts    LogOptions
	limiter *rate.Limiter

	mu      sync.Mutex
	streams map[string]*logStream
	era     int64 // increases with each restore
}

// logStream holds offsets first to first+len(records)-1.
type logStream struct {
	first    int64
	records  []platformapi.Record
	appended chan struct{} // closed at the next append
}

// NewLog returns a log with no streams.
func NewLog(o LogOptions) *Log {
	if o.Retention <= 0 {
		o.Retention = DefaultRetention
	}
	if o.RetentionRecords <= 0 {
		o.RetentionRecords = DefaultRetentionRecords
	}
	if o.AppendRate <= 0 {
		o.AppendRate = DefaultAppendRate
	}
	l := &Log{
		base:    newBase("log", o.Exit),
		opts:    o,
		limiter: rate.NewLimiter(rate.Limit(o.AppendRate), max(1, int(o.AppendRate/10))),
		streams: make(map[string]*logStream),
	}
	l.api = platformServer(l)
	return l
}

// platformServer wraps a handler in the generated server. NewServer fails only on
// options, and there are none.
func platformServer(h platformapi.Handler) http.Handler {
	s, err := platformapi.NewServer(h)
	if err != nil {
		panic(err)
	}
	return s
}

// stream returns a stream, which it creates if necessary. Offsets start at 1.
func (l *Log) stream(name string) *logStream {
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{first: 1, appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// next returns the offset of the next record.
func (s *logStream) next() int64 {
	return s.first + int64(len(s.records))
}

// applyRestoreFault goes back to an older backup if the fault restore is on for the
// stream: it drops the younger records of all streams and increments the era.
func (l *Log) applyRestoreFault(stream string) {
	x, hit := l.faults.trigger(FaultRestore, stream)
	if !hit {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	backupMs := time.Now().Add(-time.Duration(x.Ms) * time.Millisecond).UnixMilli()
	for _, s := range l.streams {
		s.records = slices.DeleteFunc(slices.Clone(s.records), func(r platformapi.Record) bool { return r.AtMs > backupMs })
		close(s.appended)
		s.appended = make(chan struct{})
	}
	l.era++
}

// trim drops records that are too old or in excess of RetentionRecords.
func (s *logStream) trim(o LogOptions, now time.Time) {
	oldest := now.Add(-o.Retention).UnixMilli()
	n := max(0, len(s.records)-o.RetentionRecords)
	for n < len(s.records) && s.records[n].AtMs < oldest {
		n++
	}
	s.first += int64(n)
	s.records = s.records[n:]
}

// Append implements platformapi.Handler.
func (l *Log) Append(_ context.Context, req *platformapi.AppendRequest, p platformapi.AppendParams) (*platformapi.AppendResult, error) {
	if !l.waitForAppendRate() {
		return nil, &statusError{status: http.StatusTooManyRequests, message: "too many appends"}
	}
	l.applyRestoreFault(p.Stream)
	first := l.append(p.Stream, req.Records)
	if _, hit := l.faults.trigger(FaultDuplicate, p.Stream); hit {
		l.append(p.Stream, req.Records)
	}
	return &platformapi.AppendResult{FirstOffset: first}, nil
}

// waitForAppendRate waits until the append rate admits an append. It returns false
// at once if that takes longer than appendQueueTime. The append of a caller that
// disconnects meanwhile still takes place.
func (l *Log) waitForAppendRate() bool {
	r := l.limiter.Reserve()
	d := r.Delay()
	if d > appendQueueTime {
		r.Cancel()
		return false
	}
	time.Sleep(d)
	return true
}

func (l *Log) append(name string, data [][]byte) (first int64) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	first = s.next()
	for i, d := range data {
		r := platformapi.Record{Offset: first + int64(i), AtMs: now.UnixMilli(), Data: d}
		s.records = append(s.records, r)
	}
	s.trim(l.opts, now)
	close(s.appended)
	s.appended = make(chan struct{})
	return first
}

// Read implements platformapi.Handler.
func (l *Log) Read(ctx context.Context, p platformapi.ReadParams) (*platformapi.ReadResult, error) {
	l.applyRestoreFault(p.Stream)
	res, err := l.waitForRecords(ctx, p)
	l.waitUnfrozen()
	return res, err
}

// waitForRecords waits for a first record, a new era or the end of WaitMs, and
// returns what is there. It fails when an outage begins or the log is closed.
func (l *Log) waitForRecords(ctx context.Context, p platformapi.ReadParams) (*platformapi.ReadResult, error) {
	timeout := time.NewTimer(time.Duration(p.WaitMs.Or(0)) * time.Millisecond)
	defer timeout.Stop()
	first, _ := l.readPage(p)
	for {
		changed := l.faults.nextChange()
		res, appended := l.readPage(p)
		if len(res.Records) > 0 || res.Era != first.Era {
			return res, nil
		}
		select {
		case <-appended:
		case <-changed:
			if l.faults.isOn(FaultOutage) {
				return nil, &statusError{status: http.StatusServiceUnavailable, message: "outage"}
			}
		case <-timeout.C:
			return res, nil
		case <-ctx.Done():
			return res, nil
		case <-l.closed:
			return nil, &statusError{status: http.StatusServiceUnavailable, message: "the log is closed"}
		}
	}
}

// readPage returns the current result of a read, and a channel that is closed at
// the next append or restore.
func (l *Log) readPage(p platformapi.ReadParams) (*platformapi.ReadResult, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(p.Stream)
	s.trim(l.opts, time.Now())
	res := &platformapi.ReadResult{FirstKept: s.first, Next: s.next(), Era: platformapi.NewOptInt64(l.era), Records: []platformapi.Record{}}
	from := max(0, p.From-s.first)
	if from < int64(len(s.records)) {
		found := s.records[from:]
		found = found[:min(len(found), p.Max.Or(1000))]
		res.Records = append(res.Records, found...)
	}
	return res, s.appended
}
