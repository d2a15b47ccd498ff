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
	// openTimeout bounds the handshake of a new flow.
	openTimeout = 1400 * time.Millisecond
	// flowPortBase is the port before the first one that a client uses for its flows.
	flowPortBase = 20000
)

// openingSendTimes are the times, from the start of a flow, at which its opening
// packet is sent until the flow opens.
var openingSendTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// Outcome is the result of a request.
type Outcome uint8

// The outcomes.
const (
	// OutcomeServed requests received their complete response.
	OutcomeServed Outcome = iota
	// OutcomeNotOpened requests were not sent because their flow did not open.
	OutcomeNotOpened
	// OutcomeReset requests failed because their flow was reset.
	OutcomeReset
	// OutcomeTimedOut requests had no complete response by their deadline.
	OutcomeTimedOut
	// OutcomeClosed requests were sent on a flow that the target closed first.
	OutcomeClosed
	// OutcomeWrong requests received a response that does not match them.
	OutcomeWrong
)

// Client simulates the clients at one address. Its methods are safe for
// concurrent use.
type Client struct {
	zone   string
	ip     netip.Addr
	socket *net.UDPConn
	route  func(zone string, key flow.Key, datagram []byte)
	ticker *ticker
	done   chan struct{}

	mu    sync.Mutex
	flows map[flow.Key]*Flow
	// lastPort is the port of the newest flow.
	lastPort uint16
	invalid  int
}

// Flow is a client's end of a flow.
type Flow struct {
	client *Client
	// Key identifies the flow by its two endpoints.
	Key          flow.Key
	stream       stream
	opening      packet
	openingsSent int
	started      time.Time
	opened       bool
	reset        bool
	// closed is set once the target has closed its end.
	closed bool
	// input holds the data received since the newest request was sent.
	input bytes.Buffer
	// changed is signalled after each received packet.
	changed chan struct{}
}

// NewClient returns a client that receives packets at an address and sends them
// through route.
func NewClient(zone string, address netip.AddrPort, route func(zone string, key flow.Key, datagram []byte)) (*Client, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	c := &Client{
		zone: zone, ip: address.Addr(), socket: socket, route: route, flows: map[flow.Key]*Flow{}, lastPort: flowPortBase,
		done: make(chan struct{}),
	}
	go c.read()
	c.ticker = startTicker(c.tick)
	return c, nil
}

// Close stops the client and closes its socket.
func (c *Client) Close() {
	c.socket.Close()
	<-c.done
	c.ticker.end()
}

// InvalidPackets returns the number of received packets that were malformed or
// whose checksum did not match.
func (c *Client) InvalidPackets() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.invalid
}

// Open opens a flow to a service address. It returns nil when the handshake is
// reset or not complete within openTimeout.
func (c *Client) Open(service flow.Endpoint) *Flow {
	c.mu.Lock()
	c.lastPort++
	local := flow.Endpoint{IP: c.ip.As4(), Port: c.lastPort}
	f := &Flow{client: c, Key: flow.Key{Client: local, Service: service}, started: time.Now(), changed: make(chan struct{}, 1)}
	f.opening = packet{source: local, destination: service, flags: wire.FlagSyn, sequence: rand.Uint32()}
	f.stream = stream{
		local: local, remote: service, nextSequence: f.opening.sequence + 1, outOfOrder: map[uint32]packet{},
		send: f.send, receive: f.receive, persistent: true,
	}
	c.flows[f.Key] = f
	f.sendOpening()
	c.mu.Unlock()
	f.await(openTimeout, func() bool { return f.opened || f.reset })
	c.mu.Lock()
	defer c.mu.Unlock()
	if !f.opened || f.reset {
		delete(c.flows, f.Key)
		return nil
	}
	return f
}

// receive handles data in order; nil indicates that the target closed its end.
func (f *Flow) receive(data []byte) {
	f.input.Write(data)
	f.closed = f.closed || data == nil
}

func (f *Flow) sendOpening() {
	p := f.opening
	// An opening packet's acknowledgement field holds the number of earlier copies.
	p.ack = uint32(f.openingsSent)
	f.openingsSent++
	f.send(p)
}

func (f *Flow) send(p packet) { f.client.route(f.client.zone, f.Key, p.encode()) }

// await waits until a condition holds and reports whether it did within the limit.
// The condition is evaluated with the client's lock held.
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

// Request sends a request for a response of size bytes and waits for it. A response
// is a line with the request's identifier, the target's service, which must be one
// of services, and the size; size bytes "x" follow it.
func (f *Flow) Request(id string, size int, services []string, deadline time.Duration) Outcome {
	f.client.mu.Lock()
	f.input.Reset()
	f.stream.write([]byte(fmt.Sprintf("%s %d\n", id, size)))
	f.client.mu.Unlock()
	var outcome Outcome
	ended := f.await(deadline, func() bool {
		var done bool
		outcome, done = f.checkResponse(id, size, services)
		return done
	})
	if !ended {
		return OutcomeTimedOut
	}
	return outcome
}

// checkResponse returns the outcome of a request, and whether it is final. A response
// that is still incomplete counts as timed out, which is not final.
func (f *Flow) checkResponse(id string, size int, services []string) (Outcome, bool) {
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
	return OutcomeTimedOut, false
}

// WasReset reports whether the flow was reset.
func (f *Flow) WasReset() bool {
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
		c.handlePacket(append([]byte(nil), buffer[:size]...))
	}
}

func (c *Client) handlePacket(datagram []byte) {
	p, invalid := parse(datagram)
	c.mu.Lock()
	defer c.mu.Unlock()
	if invalid {
		c.invalid++
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
			f.stream.expectedSequence = p.sequence + 1
			f.stream.transmit(packet{source: f.Key.Client, destination: f.Key.Service, flags: wire.FlagAck, sequence: f.stream.nextSequence})
		}
	default:
		f.stream.handlePacket(p)
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
		} else if f.openingsSent < len(openingSendTimes) && now.Sub(f.started) >= openingSendTimes[f.openingsSent] {
			f.sendOpening()
		}
	}
}
