package obs

import (
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

var droppedLines = metrics.NewCounter("buckthorndock_log_lines_dropped_total")

// BoundedWriter writes lines in the background. A reader that does not keep up costs
// log lines, which are counted, and never holds up who writes them.
type BoundedWriter struct {
	lines chan []byte
	done  sync.WaitGroup
}

// NewBoundedWriter returns a writer to out that keeps up to n lines waiting.
func NewBoundedWriter(out io.Writer, n int) *BoundedWriter {
	w := &BoundedWriter{lines: make(chan []byte, n)}
	w.done.Go(func() { w.copy(out) })
	return w
}

// maxBatchBytes is how much is written at once at the most: lines that wait together cost
// one system call.
const maxBatchBytes = 16 << 10

func (w *BoundedWriter) copy(out io.Writer) {
	batch := make([]byte, 0, maxBatchBytes)
	for line := range w.lines {
		batch = append(batch[:0], line...)
	more:
		for len(batch) < maxBatchBytes {
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
			droppedLines.Inc() // there is nowhere to say so but the metrics
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

// Close writes what waits. Nothing may be written afterwards.
func (w *BoundedWriter) Close() {
	close(w.lines)
	w.done.Wait()
}
