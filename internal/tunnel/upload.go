package tunnel

import (
	"net"
	"sync"
	"time"
)

// upload passes on what the client sends to the upstream, and discards it once that has failed: the client writes the
// whole of a request before it reads the answer.
type upload struct {
	to net.Conn

	mu      sync.Mutex
	bytes   int64     // that have come
	writing bool      // a write waits for the upstream
	since   time.Time // when that began, or the last one ended
	failed  bool      // the upstream has not taken all
}

// Write implements io.Writer. It never fails.
func (u *upload) Write(p []byte) (int, error) {
	if !u.begin(len(p)) {
		return len(p), nil
	}
	_, err := u.to.Write(p)
	u.end(err)
	return len(p), nil
}

// begin records that bytes have come. It reports whether they are to be written: not after a failure.
func (u *upload) begin(bytes int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.bytes += int64(bytes)
	u.writing, u.since = !u.failed, time.Now()
	return u.writing
}

func (u *upload) end(err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.writing, u.since = false, time.Now()
	u.failed = u.failed || err != nil
}

// interrupt ends a write that waits, and all later ones.
func (u *upload) interrupt() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failed = true
	_ = u.to.SetWriteDeadline(time.Now())
}

// uploadState is the progress of an upload at one moment.
type uploadState struct {
	quiet   bool // the client has sent nothing for a time, so that it waits for the answer
	blocked bool // the upstream has taken nothing for drainTime
	failed  bool
}

// quietTime returns how long nothing has to come until the request counts as sent whole.
func (u *upload) quietTime() time.Duration {
	if u.bytes > longUploadBytes {
		return longQuietTime
	}
	return quietTime
}

func (u *upload) state(now time.Time) uploadState {
	u.mu.Lock()
	defer u.mu.Unlock()
	lasts := now.Sub(u.since)
	return uploadState{
		quiet:   !u.writing && lasts >= u.quietTime(),
		blocked: u.writing && lasts >= drainTime,
		failed:  u.failed,
	}
}
