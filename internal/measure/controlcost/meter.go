package controlcost

import (
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

// meter counts the traffic between the measured node and the fakes. Each
// connection is counted at the end that accepted it; sent and received are from
// the measured node's point of view.
type meter struct {
	sent, received, messages atomic.Int64
}

// listener wraps the listener of the measured node or of a fake to count its
// connections.
func (m *meter) listener(l net.Listener, fake bool) net.Listener {
	return &countedListener{Listener: l, meter: m, fake: fake}
}

type countedListener struct {
	net.Listener
	meter *meter
	// fake is true for a listener of a fake.
	fake bool
}

// Accept wraps the connection to count it. What a fake writes is received by the
// measured node.
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

// countedConn adds the bytes that it writes and reads to the counters of a meter.
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

// messagesPerCall is the number of messages counted for each write of the accepting
// end, which is a reply: the reply and its request.
const messagesPerCall = 2

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// reading holds the values of all counters at one instant.
type reading struct {
	at                       model.Instant
	sent, received, messages int64
	cpuTime                  time.Duration
}

func (m *meter) read() reading {
	return reading{
		at:   model.Now(),
		sent: m.sent.Load(), received: m.received.Load(), messages: m.messages.Load(),
		cpuTime: processCPUTime(),
	}
}

// bytes returns the sent and received bytes together.
func (r reading) bytes() float64 { return float64(r.sent + r.received) }

// processCPUTime returns the user and system time of this process, 0 if it cannot be
// read.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes returns the memory in use by heap and stacks of this process after a garbage
// collection, in bytes.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse + stats.StackInuse)
}
