package site

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/platform/wire"
)

const (
	// openTime is after which a client gives an opening up.
	openTime = 1400 * time.Millisecond
	// clientPort is the first port of a client's flows.
	clientPort = 20000
)

// openingCopies are the times at which copies of an opening packet are sent.
var openingCopies = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// Outcome tells how a request ended.
type Outcome uint8

// The outcomes.
const (
	// OutcomeServed requests got their whole answer.
	OutcomeServed Outcome = iota
	// OutcomeNotOpened requests never ran: their flow did not open.
	OutcomeNotOpened
	// OutcomeReset requests lost their flow to a reset.
	OutcomeReset
	// OutcomeLate requests got no answer by their deadline.
	OutcomeLate
	// OutcomeClosed requests came too late: the target had closed the flow.
	OutcomeClosed
	// OutcomeWrong requests got another answer than theirs.
	OutcomeWrong
)

// Client is the stand-in for the clients at one address.
type Client struct {
	zone   string
	ip     netip.Addr
	socket *net.UDPConn
	route  func(zone string, key flow.Key, datagram []byte)
	ticker *ticker
	done   chan struct{}

	mu     sync.Mutex
	flows  map[flow.Key]*Flow
	port   uint16
	forged int
}

// Flow is a client's end of a flow.
type Flow struct {
	client *Client
	Key    flow.Key
	stream stream
	first  packet
	copies int
	begun  time.Time
	opened bool
	reset  bool
	// closed tells that the target has closed its end.
	closed bool
	input  bytes.Buffer
	// changed is signalled when anything has come.
	changed chan struct{}
}

// NewClient makes a client that gets its packets at an address.
func NewClient(zone string, address netip.AddrPort, route func(zone string, key flow.Key, datagram []byte)) (*Client, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	c := &Client{
		zone: zone, ip: address.Addr(), socket: socket, route: route, flows: map[flow.Key]*Flow{}, port: clientPort,
		done: make(chan struct{}),
	}
	go c.read()
	c.ticker = startTicker(c.tick)
	return c, nil
}

// Close ends the client.
func (c *Client) Close() {
	c.socket.Close()
	<-c.done
	c.ticker.end()
}

// Forged returns the number of packets that were not as their sender wrote them.
func (c *Client) Forged() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.forged
}

// Open opens a flow. It returns nil when the flow does not open.
func (c *Client) Open(service flow.Endpoint) *Flow {
	c.mu.Lock()
	c.port++
	local := flow.Endpoint{IP: c.ip.As4(), Port: c.port}
	f := &Flow{client: c, Key: flow.Key{Client: local, Service: service}, begun: time.Now(), changed: make(chan struct{}, 1)}
	f.first = packet{source: local, destination: service, flags: wire.FlagSyn, sequence: rand.Uint32()}
	f.stream = stream{
		local: local, remote: service, next: f.first.sequence + 1, early: map[uint32]packet{},
		send: f.send, receive: f.take,
	}
	c.flows[f.Key] = f
	f.sendFirst()
	c.mu.Unlock()
	f.await(openTime, func() bool { return f.opened || f.reset })
	c.mu.Lock()
	defer c.mu.Unlock()
	if !f.opened || f.reset {
		delete(c.flows, f.Key)
		return nil
	}
	return f
}

// take takes data in order; nil is the end.
func (f *Flow) take(data []byte) {
	f.input.Write(data)
	f.closed = f.closed || data == nil
}

func (f *Flow) sendFirst() {
	p := f.first
	p.ack = uint32(f.copies)
	f.copies++
	f.send(p)
}

func (f *Flow) send(p packet) { f.client.route(f.client.zone, f.Key, p.encode()) }

// await waits until a condition holds, which is looked at under the lock.
func (f *Flow) await(limit time.Duration, holds func() bool) bool {
	timeout := time.After(limit)
	for {
		f.client.mu.Lock()
		ok := holds()
		f.client.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-f.changed:
		case <-timeout:
			return false
		}
	}
}

// Request sends a request and waits for its whole answer.
func (f *Flow) Request(id string, size int, services []string, deadline time.Duration) Outcome {
	f.client.mu.Lock()
	f.input.Reset()
	f.stream.write([]byte(fmt.Sprintf("%s %d\n", id, size)))
	f.client.mu.Unlock()
	var outcome Outcome
	ended := f.await(deadline, func() bool {
		var done bool
		outcome, done = f.judge(id, size, services)
		return done
	})
	if !ended {
		return OutcomeLate
	}
	return outcome
}

func (f *Flow) judge(id string, size int, services []string) (Outcome, bool) {
	text := f.input.Bytes()
	end := bytes.IndexByte(text, '\n')
	if end >= 0 && len(text) >= end+1+size {
		for _, service := range services {
			head := fmt.Sprintf("%s %s %d\n", id, service, size)
			if string(text[:end+1]) == head && bytes.Equal(text[end+1:], bytes.Repeat([]byte{'x'}, size)) {
				return OutcomeServed, true
			}
		}
		return OutcomeWrong, true
	}
	if f.reset {
		return OutcomeReset, true
	}
	if f.closed {
		return OutcomeClosed, true
	}
	return OutcomeLate, false
}

// Reset reports whether the flow was reset.
func (f *Flow) Reset() bool {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	return f.reset
}

// Close closes the client's end of the flow.
func (f *Flow) Close() {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	f.stream.close()
	delete(f.client.flows, f.Key)
}

func (c *Client) read() {
	defer close(c.done)
	buffer := make([]byte, flow.MaxPacket)
	for {
		size, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		c.take(append([]byte(nil), buffer[:size]...))
	}
}

func (c *Client) take(datagram []byte) {
	p, forged := parse(datagram)
	c.mu.Lock()
	defer c.mu.Unlock()
	if forged {
		c.forged++
		return
	}
	f := c.flows[flow.Key{Client: p.destination, Service: p.source}]
	if f == nil {
		return
	}
	switch {
	case p.flags&wire.FlagRst != 0:
		f.reset = true
	case p.flags&wire.FlagSyn != 0:
		if !f.opened {
			f.opened = true
			f.stream.expected = p.sequence + 1
			f.stream.transmit(packet{source: f.Key.Client, destination: f.Key.Service, flags: wire.FlagAck, sequence: f.stream.next})
		}
	default:
		f.stream.take(p)
	}
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

func (c *Client) tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.flows {
		if f.opened {
			f.stream.tick(now)
		} else if f.copies < len(openingCopies) && now.Sub(f.begun) >= openingCopies[f.copies] {
			f.sendFirst()
		}
	}
}
