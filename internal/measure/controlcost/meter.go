package controlcost

import (
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

// meter counts what passes between the measured node and the fakes. Each
// connection is counted at the end that accepted it.
type meter struct {
	sent, received, messages atomic.Int64
}

// listener wraps the listener of the measured node, or of a fake.
func (m *meter) listener(l net.Listener, fake bool) net.Listener {
	return &countedListener{Listener: l, meter: m, fake: fake}
}

type countedListener struct {
	net.Listener
	meter *meter
	fake  bool
}

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if l.fake {
		return &countedConn{conn, &l.meter.received, &l.meter.sent, &l.meter.messages}, nil
	}
	return &countedConn{conn, &l.meter.sent, &l.meter.received, &l.meter.messages}, nil
}

type countedConn struct {
	net.Conn
	written, read, messages *atomic.Int64
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	c.messages.Add(messagesPerCall)
	return n, err
}

// messagesPerCall counts a reply together with its request.
const messagesPerCall = 2

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// reading is the state of all counters at one instant.
type reading struct {
	at                       model.Instant
	sent, received, messages int64
	processor                time.Duration
}

func (m *meter) read() reading {
	return reading{
		at:   model.Now(),
		sent: m.sent.Load(), received: m.received.Load(), messages: m.messages.Load(),
		processor: processorTime(),
	}
}

func (r reading) bytes() float64 { return float64(r.sent + r.received) }

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heap returns the bytes in use on the heap after a collection.
func heap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse + stats.StackInuse)
}
