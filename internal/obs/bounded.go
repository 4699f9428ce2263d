package obs

import (
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

var droppedLines = metrics.NewCounter("buckthorndock_log_lines_dropped_total")

// BoundedWriter writes lines in the background. When the output does not keep up, it
// drops lines and counts them; writers never wait.
type BoundedWriter struct {
	lines chan []byte
	done  sync.WaitGroup
}

// NewBoundedWriter returns a writer to out that queues up to n lines.
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
		batch = append(batch[:0], line...)
	more:
		for len(batch) < batchFlushBytes {
			select {
			case next, open := <-w.lines:
				if !open {
					break more
				}
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
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		droppedLines.Inc()
	}
	return len(p), nil
}

// Close writes the queued lines and returns when that is done. Write must not be
// called afterwards.
func (w *BoundedWriter) Close() {
	close(w.lines)
	w.done.Wait()
}
