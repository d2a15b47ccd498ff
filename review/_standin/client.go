package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

var openingTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

const openLimit = 1400 * time.Millisecond

// client is all clients at one address.
type client struct {
	ip     netip.Addr
	udp    *net.UDPConn
	route  func(flowKey, []byte)
	record *record
	stop   chan struct{}

	mu       sync.Mutex
	port     uint16
	flows    map[flowKey]*clientFlow
	sent     map[flowKey][]time.Time // when each copy of the opening packet was sent
	damaged  int
	onSystem func(f *clientFlow, p packet)
}

type clientFlow struct {
	side
	key     flowKey
	isn     uint32
	began   time.Time
	copies  int
	opened  bool
	ended   bool
	reset   bool
	closed  bool
	answer  string
	changed chan struct{}
}

func newClient(at netip.AddrPort, route func(flowKey, []byte), rec *record) (*client, error) {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	c := &client{
		ip: at.Addr(), udp: udp, route: route, record: rec, stop: make(chan struct{}), port: 40000, flows: map[flowKey]*clientFlow{}, sent: map[flowKey][]time.Time{},
	}
	go c.read()
	go c.ticks()
	return c, nil
}

func (c *client) close() { close(c.stop); c.udp.Close() }

// open opens a flow; nil if that failed. Only the handshake is sent.
func (c *client) open(route end) *clientFlow {
	c.mu.Lock()
	c.port++
	key := flowKey{endOf(c.ip, c.port), route}
	f := &clientFlow{key: key, isn: rand.Uint32(), began: time.Now(), changed: make(chan struct{}, 1)}
	f.side = side{self: key.client, peer: route, next: f.isn + 1, send: func(p packet) { c.route(key, p.encode()) }}
	c.flows[key] = f
	c.sendOpening(f)
	c.mu.Unlock()
	f.wait(openLimit, c, func() bool { return f.opened || f.reset })
	c.mu.Lock()
	defer c.mu.Unlock()
	if !f.opened || f.reset {
		f.ended = true
		delete(c.flows, key)
		return nil
	}
	return f
}

func (c *client) sendOpening(f *clientFlow) {
	c.sent[f.key] = append(c.sent[f.key], time.Now())
	f.send(packet{src: f.key.client, dst: f.key.route, flags: flagSYN, seq: f.isn, ack: uint32(f.copies)})
	f.copies++
}

// request sends a request on an open flow and waits for the answer.
func (c *client) request(f *clientFlow, id, method string, workMS int, deadline time.Duration) string {
	c.mu.Lock()
	f.answer = ""
	c.record.log("client sends %s %s on %v", method, id, f.key)
	f.write(fmt.Appendf(nil, "%s /r HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Work-Ms: %d\r\n\r\n", method, f.key.route, id, workMS), false)
	c.mu.Unlock()
	f.wait(deadline, c, func() bool { return f.answer != "" || f.reset })
	c.mu.Lock()
	defer c.mu.Unlock()
	outcome := "no answer in time"
	switch {
	case strings.HasPrefix(f.answer, "HTTP/1.1 200") && strings.Contains(f.answer, "X-Request-Id: "+id+"\r\n"):
		outcome = "200"
	case f.answer != "":
		outcome = "foreign answer " + f.answer
	case f.reset:
		outcome = "reset"
	}
	c.record.log("client: %s ends: %s", id, outcome)
	return outcome
}

func (c *client) finish(f *clientFlow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !f.reset && !f.finSent {
		f.write(nil, true)
	}
}

func (f *clientFlow) wait(limit time.Duration, c *client, holds func() bool) {
	timer := time.After(limit)
	for {
		c.mu.Lock()
		ok := holds()
		c.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-f.changed:
		case <-timer:
			return
		}
	}
}

func (c *client) read() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, err := parse(append([]byte(nil), buffer[:n]...))
		c.mu.Lock()
		if err != nil {
			c.damaged++
		} else if f := c.flows[flowKey{p.dst, p.src}]; f != nil {
			c.handle(f, p)
		}
		c.mu.Unlock()
	}
}

func (c *client) handle(f *clientFlow, p packet) {
	switch {
	case p.flags&flagRST != 0:
		// On an open flow, a reset of the system counts if it is near the client's last ack.
		if f.opened && p.sum == 0 && p.seq-f.expected+resetSpan > 2*resetSpan {
			return
		}
		if !f.reset && f.opened && p.sum == 0 && c.onSystem != nil {
			c.onSystem(f, p)
		}
		f.reset = true
		f.resend = nil
	case p.flags&flagSYN != 0:
		if !f.opened && !f.ended {
			f.opened, f.expected = true, p.seq+1
			f.ackOnly()
		}
	case f.opened:
		data, fin := f.take(p)
		if len(data) > 0 {
			f.answer = string(data)
			f.ackOnly()
		}
		if fin {
			f.closed = true
			if !f.finSent {
				f.write(nil, true)
			}
		}
	}
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

func (c *client) ticks() {
	for {
		select {
		case <-c.stop:
			return
		case now := <-time.After(20 * time.Millisecond):
			c.mu.Lock()
			for _, f := range c.flows {
				switch {
				case f.reset || f.ended:
				case f.opened:
					f.tick(now)
				case f.copies < len(openingTimes) && now.Sub(f.began) >= openingTimes[f.copies]:
					c.sendOpening(f)
				}
			}
			c.mu.Unlock()
		}
	}
}
