package observe

import (
	"io"
	"sync"
	"time"
)

const (
	// outputLines bounds the log lines that wait for a slow reader.
	outputLines = 4096
	// outputCloseTime is how long Close waits for a reader that takes nothing.
	outputCloseTime = 200 * time.Millisecond
)

// Output is a log output that never blocks its writers: lines wait for the
// reader in a bounded buffer, and those that find it full are counted and left
// out. It is safe for concurrent use.
type Output struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}
	once  sync.Once
	lost  Counter
}

// NewOutput makes an output on a writer.
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
		o.lost.Inc()
	}
	return len(line), nil
}

// Dropped returns the number of lines that were left out.
func (o *Output) Dropped() int64 { return o.lost.Value() }

// Close writes the lines that wait, unless the reader takes nothing. Lines that
// are written later are left out.
func (o *Output) Close() {
	o.once.Do(func() { o.lines <- nil })
	select {
	case <-o.done:
	case <-time.After(outputCloseTime):
	}
}

func (o *Output) run() {
	defer close(o.done)
	for line := range o.lines {
		if line == nil {
			return
		}
		// A reader that is gone is not told that it is.
		_, _ = o.out.Write(line)
	}
}
