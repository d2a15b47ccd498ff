package observe

import (
	"io"
	"sync"
	"time"
)

const (
	// outputLines is the maximum number of buffered log lines.
	outputLines = 4096
	// outputCloseTimeout limits how long Close waits for the buffered lines to be
	// written.
	outputCloseTimeout = 200 * time.Millisecond
)

// Output is a log output that never blocks its callers. Lines are buffered for
// the underlying writer; those that find the buffer full are dropped and
// counted. It is safe for concurrent use.
type Output struct {
	out io.Writer
	// lines holds the buffered lines. A nil line, which Close adds, ends run.
	lines   chan []byte
	done    chan struct{}
	once    sync.Once
	dropped Counter
}

// NewOutput returns an output to a writer.
func NewOutput(out io.Writer) *Output {
	o := &Output{out: out, lines: make(chan []byte, outputLines), done: make(chan struct{})}
	go o.run()
	return o
}

// Write implements io.Writer. It never fails.
func (o *Output) Write(line []byte) (int, error) {
	select {
	case o.lines <- append([]byte(nil), line...):
	default:
		o.dropped.Inc()
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (o *Output) Dropped() int64 { return o.dropped.Value() }

// Close writes the buffered lines, and waits up to outputCloseTimeout for that.
// While the buffer is full, it first waits for the underlying writer to accept a
// line. Lines written afterwards are discarded.
func (o *Output) Close() {
	o.once.Do(func() { o.lines <- nil })
	select {
	case <-o.done:
	case <-time.After(outputCloseTimeout):
	}
}

func (o *Output) run() {
	defer close(o.done)
	for line := range o.lines {
		if line == nil {
			return
		}
		// A failed write can't be reported: this is the log itself.
		_, _ = o.out.Write(line)
	}
}
