package relay

import (
	"container/list"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/buckthorndock/buckthorndock/internal/inbound"
)

var slowBodiesInterrupted = metrics.GetOrCreateCounter(`buckthorndock_slow_bodies_interrupted_total`)

// A body gives way if nothing of it has come for slowBodyAge, or if it has been unfinished for as long
// and has arrived with less than slowBodyRate bytes per second.
const (
	slowBodyAge  = time.Second
	slowBodyRate = 16 << 10
)

// unfinishedBody is a body that is being read. Its fields are protected by BodyMemory.mu.
type unfinishedBody struct {
	share     *inbound.Share
	began     time.Time
	last      time.Time // when something of it came
	received  int64     // bytes
	interrupt func()    // ends a read in progress
	place     *list.Element
	gaveWay   bool
}

// isSlow reports whether the body gives way to others.
func (u *unfinishedBody) isSlow(now time.Time) bool {
	if now.Sub(u.last) > slowBodyAge {
		return true
	}
	age := now.Sub(u.began)
	return age > slowBodyAge && float64(u.received) < slowBodyRate*age.Seconds()
}

// begin adds a body that is to be read. interrupt is nil if its read cannot be ended; then it does not give
// way.
func (b *BodyMemory) begin(interrupt func()) *unfinishedBody {
	now := time.Now()
	u := &unfinishedBody{share: b.Share(), began: now, last: now, interrupt: interrupt}
	b.mu.Lock()
	defer b.mu.Unlock()
	if interrupt != nil {
		u.place = b.reading.PushBack(u)
	}
	return u
}

// end removes a body that has been read, whole or not. It reports whether the body gave way.
func (b *BodyMemory) end(u *unfinishedBody) (gaveWay bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(u)
	return u.gaveWay
}

// remove removes a body from the unfinished ones. The caller holds the lock.
func (b *BodyMemory) remove(u *unfinishedBody) {
	if u.place != nil {
		b.reading.Remove(u.place)
		u.place = nil
	}
}

// grow takes memory for a body. It returns false if none is left.
func (b *BodyMemory) grow(u *unfinishedBody, size int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u.gaveWay {
		return false
	}
	for !u.share.Grow(size) {
		slow := b.longestSlow(u)
		if slow == nil {
			return false
		}
		slow.gaveWay = true
		slow.share.Release()
		b.remove(slow)
		slow.interrupt()
		slowBodiesInterrupted.Inc()
	}
	return true
}

// longestSlow returns the slow body other than u that has been unfinished for longest, nil if there is none. The
// caller holds the lock.
func (b *BodyMemory) longestSlow(u *unfinishedBody) *unfinishedBody {
	now := time.Now()
	for e := b.reading.Front(); e != nil; e = e.Next() {
		if other := e.Value.(*unfinishedBody); other != u && other.isSlow(now) {
			return other
		}
	}
	return nil
}

// release returns the memory of a body.
func (b *BodyMemory) release(u *unfinishedBody) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u.share.Release()
}

// note records how much of a body has been received.
func (b *BodyMemory) note(u *unfinishedBody, received int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u.received, u.last = int64(received), time.Now()
}
