package inbound

import "github.com/ansel1/merry/v2"

// Buffer collects one line or one event at a time. It is not safe for concurrent use.
type Buffer struct {
	share *Share
	free  int // bytes that are not counted
	limit int // bytes at most
	data  []byte
}

// NewBuffer returns a Buffer that holds up to limit bytes, of which m counts all once they are more
// than free.
func NewBuffer(m *Memory, free, limit int) *Buffer {
	return &Buffer{share: m.Share(), free: free, limit: limit}
}

// Append adds p. The error wraps ErrTooLong or ErrNoMemory.
func (b *Buffer) Append(p []byte) error {
	size := len(b.data) + len(p)
	if size > b.limit {
		return merry.Wrap(ErrTooLong, merry.AppendMessagef("more than %d bytes", b.limit))
	}
	if size > cap(b.data) && !b.grow(size) {
		return merry.Wrap(ErrNoMemory)
	}
	b.data = append(b.data, p...)
	return nil
}

// grow makes room for size bytes. It returns false if there is no memory.
func (b *Buffer) grow(size int) bool {
	most := b.limit
	if size <= b.free {
		most = b.free
	}
	size = min(max(size, 2*cap(b.data)), most)
	if size > b.free && !b.share.Grow(int64(size)) {
		return false
	}
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.data = grown
	return true
}

// Bytes returns the content. It is valid until the next call of Append or Reset.
func (b *Buffer) Bytes() []byte { return b.data }

// Len returns the length of the content in bytes.
func (b *Buffer) Len() int { return len(b.data) }

// Reset empties the buffer and returns the memory that was counted.
func (b *Buffer) Reset() {
	b.data = b.data[:0]
	if cap(b.data) > b.free {
		b.data = nil
		b.share.Release()
	}
}
