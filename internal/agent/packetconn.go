// Package agent is the process beside each target: the only door to it. It ends
// the callers' QUIC connections and hands their requests to the request layer.
package agent

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/keys"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/steering"
	"github.com/balsamlink/balsamlink/internal/wire"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("agent")

// Drop names a reason for which the agent drops a datagram.
type Drop uint8

// The reasons, in the order of the counters.
const (
	DropMalformed Drop = iota
	DropForged
	DropWrongService
	DropZoneOut
	DropNoRoom
	DropTooLarge
	DropSendFailed
	DropNoFlow
	dropCount
)

// String returns the reason as it stands in metrics.
func (d Drop) String() string {
	names := [dropCount]string{"malformed", "forged", "wrong_service", "zone_out", "no_room", "too_large", "send_failed", "no_flow"}
	return names[d]
}

// Flows tells the packet connection how busy the target is.
type Flows interface {
	Occupancy() steering.Occupancy
}

// packetConn is the net.PacketConn under the agent's QUIC endpoint. It shows
// QUIC the callers' own addresses and hides the balancers.
type packetConn struct {
	socket  *net.UDPConn
	service model.ServiceTag
	zone    model.ZoneTag
	flows   Flows
	// zoneOut is true while operators have the agent's zone out of service.
	zoneOut atomic.Bool
	// closed is true while the agent takes no new flows.
	closed   atomic.Bool
	revision atomic.Uint64

	// The reader alone uses these.
	readCodec *wire.Codec
	buffer    [wire.MaxDatagram + 1]byte

	mu         sync.Mutex
	issuer     *steering.Issuer
	scratch    steering.Scratch
	resetter   *resetter
	writeCodec *wire.Codec
	egress     *egress
	chooser    *steering.Chooser

	arrived  atomic.Uint64
	received [wire.KindCount]atomic.Uint64
	handed   atomic.Uint64
	returned atomic.Uint64
	dropped  [dropCount]atomic.Uint64
	answers  atomic.Uint64
	resets   atomic.Uint64
}

func newPacketConn(socket *net.UDPConn, shared keys.Shared, issuer *steering.Issuer, place steering.Place, flows Flows) *packetConn {
	datagramKeys := shared.DatagramKeys()
	return &packetConn{
		socket:     socket,
		service:    place.Service,
		zone:       place.Zone,
		flows:      flows,
		readCodec:  wire.NewCodec(datagramKeys),
		writeCodec: wire.NewCodec(datagramKeys),
		issuer:     issuer,
		resetter:   newResetter(shared.Reset[:]),
		egress:     newEgress(),
		chooser:    steering.NewChooser(),
	}
}

// ReadFrom implements net.PacketConn: it returns the next packet for QUIC with
// the address of its caller.
func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.socket.ReadFromUDPAddrPort(c.buffer[:])
		if err != nil {
			return 0, nil, err
		}
		c.arrived.Add(1)
		caller, payload, deliver := c.receive(unmap(from), c.buffer[:n])
		if !deliver {
			continue
		}
		return copy(p, payload), net.UDPAddrFromAddrPort(caller), nil
	}
}

func (c *packetConn) receive(from netip.AddrPort, datagram []byte) (netip.AddrPort, []byte, bool) {
	header, payload, err := c.readCodec.Decode(datagram)
	if reason, bad := c.check(header, err); bad {
		c.dropped[reason].Add(1)
		return netip.AddrPort{}, nil, false
	}
	c.received[header.Kind].Add(1)
	now := model.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	via := from
	if header.Via.IsValid() {
		via = header.Via
	}
	c.egress.hear(now, via)
	if c.isForeign(header.Kind, payload) {
		c.reset(via, header, payload)
		return netip.AddrPort{}, nil, false
	}
	if header.Kind.NewFlow() && !c.takes(now, from, via, header, payload) {
		return netip.AddrPort{}, nil, false
	}
	return header.Caller, payload, true
}

// isForeign reports whether a packet belongs to a flow of another agent or of an
// earlier start of this one.
func (c *packetConn) isForeign(kind wire.Kind, payload []byte) bool {
	if kind == wire.KindOrphaned {
		return true
	}
	if kind != wire.KindEstablished {
		return false
	}
	id, form := steering.DestinationID(payload)
	return form == steering.FormShort && !c.issuer.Issued(id, &c.scratch)
}

// reset answers a packet with a stateless reset. The caller holds the lock.
func (c *packetConn) reset(via netip.AddrPort, header wire.Header, payload []byte) {
	answer := c.resetter.answer(payload)
	if answer == nil {
		c.dropped[DropNoFlow].Add(1)
		return
	}
	c.resets.Add(1)
	c.send(via, c.answerHeader(header.Caller), answer)
}

func (c *packetConn) answerHeader(caller netip.AddrPort) wire.Header {
	return wire.Header{
		Kind:     wire.KindReply,
		Service:  c.service,
		Caller:   caller,
		Revision: model.Revision(c.revision.Load()),
		Zone:     c.zone,
	}
}

func (c *packetConn) check(header wire.Header, err error) (Drop, bool) {
	switch {
	case errors.Is(err, wire.ErrForged):
		return DropForged, true
	case err != nil || header.Kind == wire.KindReply:
		return DropMalformed, true
	case header.Service != c.service:
		return DropWrongService, true
	case c.zoneOut.Load() && header.Kind != wire.KindEstablished:
		return DropZoneOut, true
	}
	return 0, false
}

// takes decides whether a packet of a new flow is delivered here. If not, it
// sends the packet to where the choice says. The caller holds the lock.
func (c *packetConn) takes(now model.Instant, from, via netip.AddrPort, header wire.Header, payload []byte) bool {
	id, form := steering.DestinationID(payload)
	if form != steering.FormLong {
		c.dropped[DropMalformed].Add(1)
		return false
	}
	use := c.flows.Occupancy()
	use.Open = use.Open && !c.closed.Load()
	choice := c.chooser.Decide(now, firstPacket(id, from, header), use)
	switch choice.Action {
	case steering.TakeFlow:
		return true
	case steering.HandFlow:
		c.handed.Add(1)
		c.pass(choice, wire.KindHandedOver, via, header, payload)
	case steering.ReturnFlow:
		c.returned.Add(1)
		c.pass(choice, wire.KindHandedBack, via, header, payload)
	case steering.DropFlow:
		c.dropped[DropNoRoom].Add(1)
	}
	return false
}

func firstPacket(id []byte, from netip.AddrPort, header wire.Header) steering.FirstPacket {
	packet := steering.FirstPacket{
		ID:        string(id),
		Offer:     steering.OfferChoice,
		From:      from,
		FromLoad:  header.Load,
		Alternate: header.Alternate,
	}
	switch header.Kind {
	case wire.KindHandedOver:
		packet.Offer = steering.OfferHanded
	case wire.KindHandedBack:
		packet.Offer = steering.OfferFinal
	}
	return packet
}

func (c *packetConn) pass(choice steering.Choice, kind wire.Kind, via netip.AddrPort, header wire.Header, payload []byte) {
	header.Kind = kind
	header.Load = choice.Load
	header.Via = via
	header.Alternate = netip.AddrPort{}
	header.Zone = c.zone
	c.send(choice.To, header, payload)
}

// WriteTo implements net.PacketConn: it sends a packet of QUIC to a caller
// through one of the balancers heard from lately.
func (c *packetConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	udp, ok := addr.(*net.UDPAddr)
	if !ok {
		return 0, Error.New("address %v is not a UDP address", addr)
	}
	if len(p) > wire.MaxPayload {
		c.dropped[DropTooLarge].Add(1)
		return len(p), nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	balancer := c.egress.pick(model.Now())
	if !balancer.IsValid() {
		c.dropped[DropSendFailed].Add(1)
		return len(p), nil
	}
	c.answers.Add(1)
	c.send(balancer, c.answerHeader(unmap(udp.AddrPort())), p)
	return len(p), nil
}

// send encodes and sends a datagram. A failure counts as a lost packet, which
// QUIC makes good. The caller holds the lock.
func (c *packetConn) send(to netip.AddrPort, header wire.Header, payload []byte) {
	datagram, err := c.writeCodec.Encode(header, payload)
	if err != nil {
		c.dropped[DropTooLarge].Add(1)
		return
	}
	if _, err := c.socket.WriteToUDPAddrPort(datagram, to); err != nil {
		c.dropped[DropSendFailed].Add(1)
	}
}

// requestStarted tells that a flow has sent a request.
func (c *packetConn) requestStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chooser.RequestStarted()
}

// Close implements net.PacketConn.
func (c *packetConn) Close() error { return Error.Wrap(c.socket.Close()) }

// LocalAddr implements net.PacketConn.
func (c *packetConn) LocalAddr() net.Addr { return c.socket.LocalAddr() }

// SetDeadline implements net.PacketConn.
func (c *packetConn) SetDeadline(t time.Time) error { return c.socket.SetDeadline(t) }

// SetReadDeadline implements net.PacketConn.
func (c *packetConn) SetReadDeadline(t time.Time) error { return c.socket.SetReadDeadline(t) }

// SetWriteDeadline implements net.PacketConn.
func (c *packetConn) SetWriteDeadline(t time.Time) error { return c.socket.SetWriteDeadline(t) }

// SetReadBuffer sets the size of the socket's receive buffer, in bytes. QUIC
// uses it when it is there.
func (c *packetConn) SetReadBuffer(bytes int) error { return c.socket.SetReadBuffer(bytes) }

// SetWriteBuffer sets the size of the socket's send buffer, in bytes.
func (c *packetConn) SetWriteBuffer(bytes int) error { return c.socket.SetWriteBuffer(bytes) }

func unmap(addr netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}
