package obs

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

var droppedLines = metrics.NewCounter("buckthorndock_log_lines_dropped_total")

// BoundedWriter writes lines in the background. When the output does not keep up, it
// drops lines and counts them; writers never wait.
type BoundedWriter struct {
	lines  chan []byte
	queued atomic.Int64 // bytes of lines
	done   sync.WaitGroup

	mu     sync.RWMutex // held for writing by Close
	closed bool
}

// Sizes in bytes. Lines tell what upstreams have sent, which may be long.
const (
	maxLineBytes   = 16 << 10
	maxQueuedBytes = 4 << 20
)

// lineCut ends a line that was longer than maxLineBytes.
const lineCut = " (cut)\n"

// NewBoundedWriter returns a writer to out that queues up to n lines, and up to maxQueuedBytes.
func NewBoundedWriter(out io.Writer, n int) *BoundedWriter {
	w := &BoundedWriter{lines: make(chan []byte, n)}
	w.done.Go(func() { w.copy(out) })
	return w
}

// batchFlushBytes is the size from which a batch gets no more lines. Queued lines are
// written together in one system call.
const batchFlushBytes = 16 << 10

// copy writes the queued lines to out until lines is closed.
func (w *BoundedWriter) copy(out io.Writer) {
	batch := make([]byte, 0, batchFlushBytes)
	for line := range w.lines {
		w.queued.Add(-int64(len(line)))
		batch = append(batch[:0], line...)
	more:
		for len(batch) < batchFlushBytes {
			select {
			case next, open := <-w.lines:
				if !open {
					break more
				}
				w.queued.Add(-int64(len(next)))
				batch = append(batch, next...)
			default:
				break more
			}
		}
		if _, err := out.Write(batch); err != nil {
			droppedLines.Inc() // only the metrics can report this
		}
	}
}

// Write implements io.Writer. It never fails and never waits.
func (w *BoundedWriter) Write(p []byte) (int, error) {
	if !w.enqueue(copyLine(p)) {
		droppedLines.Inc()
	}
	return len(p), nil
}

// enqueue adds a line to the queue. It returns false if there is no room or the writer is closed.
func (w *BoundedWriter) enqueue(line []byte) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return false
	}
	size := int64(len(line))
	if w.queued.Add(size) <= maxQueuedBytes {
		select {
		case w.lines <- line:
			return true
		default:
		}
	}
	w.queued.Add(-size)
	return false
}

// copyLine returns a copy of a line, or of its beginning if it is too long.
func copyLine(p []byte) []byte {
	if len(p) <= maxLineBytes {
		return append([]byte(nil), p...)
	}
	line := make([]byte, 0, maxLineBytes)
	line = append(line, p[:maxLineBytes-len(lineCut)]...)
	return append(line, lineCut...)
}

// Close writes the queued lines and returns when that is done. Lines written afterwards, by what still
// runs when the process exits, are dropped.
func (w *BoundedWriter) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	w.done.Wait()
}
