// Package agent implements the agent process, which runs beside each target
// and is the only path to it. The agent terminates the callers' QUIC
// connections, which are also called flows, and passes their requests to the
// request layer.
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

// Error is the class of all errors of this package.
var Error = errs.Class("agent")

// DropReason is the reason why the agent drops a datagram.
type DropReason uint8

// The reasons, as indices of packetConn.dropped.
const (
	// DropMalformed datagrams do not have the format or the kind that an agent expects.
	DropMalformed DropReason = iota
	// DropForged datagrams are not authenticated with a key of the deployment.
	DropForged
	// DropWrongService datagrams belong to a service of other agents.
	DropWrongService
	// DropZoneOut datagrams belong to no established flow of this agent and arrived while
	// its zone was out of service.
	DropZoneOut
	// DropNoCapacity datagrams belong to a new flow that neither this agent nor another
	// one accepts.
	DropNoCapacity
	// DropTooLarge packets do not fit a datagram between agents and balancers.
	DropTooLarge
	// DropSendFailed packets could not be sent, or no balancer was known to send them to.
	DropSendFailed
	// DropNoFlow packets belong to a flow that this agent does not have and cannot be
	// answered with a stateless reset.
	DropNoFlow
	dropReasonCount
)

// String returns the reason as it is used in metric names.
func (d DropReason) String() string {
	names := [dropReasonCount]string{"malformed", "forged", "wrong_service", "zone_out", "no_room", "too_large", "send_failed", "no_flow"}
	return names[d]
}

// OccupancySource reports the occupancy of the target.
type OccupancySource interface {
	Occupancy() steering.Occupancy
}

// packetConn is the net.PacketConn of the agent's QUIC endpoint. To QUIC, packets seem to
// come from the callers' own addresses and not from the balancers.
type packetConn struct {
	socket    *net.UDPConn
	service   model.ServiceTag
	zone      model.ZoneTag
	occupancy OccupancySource
	// zoneOut is set while the agent's zone is out of service.
	zoneOut atomic.Bool
	// refusesNewFlows is set while the agent accepts no new flows.
	refusesNewFlows atomic.Bool
	// zoneOutRevision is the revision of the document that zoneOut comes from.
	zoneOutRevision atomic.Uint64

	// Only the goroutine that calls ReadFrom uses these.
	readCodec *wire.Codec
	buffer    [wire.MaxDatagram + 1]byte

	// mu protects the fields up to the counters.
	mu         sync.Mutex
	issuer     *steering.Issuer
	scratch    steering.Scratch
	resetter   *resetter
	writeCodec *wire.Codec
	balancers  *balancerRotation
	chooser    *steering.Chooser

	datagramsIn    atomic.Uint64
	receivedByKind [wire.KindCount]atomic.Uint64
	handedOver     atomic.Uint64
	handedBack     atomic.Uint64
	dropped        [dropReasonCount]atomic.Uint64
	packetsOut     atomic.Uint64
	resets         atomic.Uint64
}

func newPacketConn(socket *net.UDPConn, shared keys.Shared, issuer *steering.Issuer, location steering.Location, occupancy OccupancySource) *packetConn {
	datagramKeys := shared.DatagramKeys()
	return &packetConn{
		socket:     socket,
		service:    location.Service,
		zone:       location.Zone,
		occupancy:  occupancy,
		readCodec:  wire.NewCodec(datagramKeys),
		writeCodec: wire.NewCodec(datagramKeys),
		issuer:     issuer,
		resetter:   newResetter(shared.Reset[:]),
		balancers:  newBalancerRotation(),
		chooser:    steering.NewChooser(),
	}
}

// ReadFrom implements net.PacketConn. It returns the next packet for QUIC and
// the address of its caller.
func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.socket.ReadFromUDPAddrPort(c.buffer[:])
		if err != nil {
			return 0, nil, err
		}
		c.datagramsIn.Add(1)
		caller, payload, deliver := c.receive(unmap(from), c.buffer[:n])
		if !deliver {
			continue
		}
		return copy(p, payload), net.UDPAddrFromAddrPort(caller), nil
	}
}

// receive decodes and checks a datagram. It returns the caller's address and the
// QUIC packet, and reports whether QUIC is to get the packet. The packet's balancer
// is the sender of the datagram or, if another agent forwarded the datagram, the
// one in the header.
func (c *packetConn) receive(from netip.AddrPort, datagram []byte) (netip.AddrPort, []byte, bool) {
	header, payload, err := c.readCodec.Decode(datagram)
	if reason, drop := c.dropReason(header, err); drop {
		c.dropped[reason].Add(1)
		return netip.AddrPort{}, nil, false
	}
	c.receivedByKind[header.Kind].Add(1)
	now := model.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	balancer := from
	if header.Via.IsValid() {
		balancer = header.Via
	}
	c.balancers.recordPacket(now, balancer)
	if c.isUnknownFlow(header.Kind, payload) {
		c.sendReset(balancer, header, payload)
		return netip.AddrPort{}, nil, false
	}
	if header.Kind.NewFlow() && !c.placeNewFlow(now, from, balancer, header, payload) {
		return netip.AddrPort{}, nil, false
	}
	return header.Caller, payload, true
}

// isUnknownFlow reports whether a packet belongs to a flow of another agent or
// of an earlier incarnation of this one.
func (c *packetConn) isUnknownFlow(kind wire.Kind, payload []byte) bool {
	if kind == wire.KindOrphaned {
		return true
	}
	if kind != wire.KindEstablished {
		return false
	}
	id, form := steering.DestinationID(payload)
	return form == steering.ShortHeader && !c.issuer.Issued(id, &c.scratch)
}

// sendReset replies to a packet with a stateless reset, or drops the packet if no reset
// can be built for it. The calling function holds the lock.
func (c *packetConn) sendReset(balancer netip.AddrPort, header wire.Header, payload []byte) {
	reset := c.resetter.build(payload)
	if reset == nil {
		c.dropped[DropNoFlow].Add(1)
		return
	}
	c.resets.Add(1)
	c.send(balancer, c.replyHeader(header.Caller), reset)
}

// replyHeader returns the header of a datagram to a caller.
func (c *packetConn) replyHeader(caller netip.AddrPort) wire.Header {
	return wire.Header{
		Kind:     wire.KindReply,
		Service:  c.service,
		Caller:   caller,
		Revision: model.Revision(c.zoneOutRevision.Load()),
		Zone:     c.zone,
	}
}

// dropReason returns the reason to drop a datagram, given its header and the error of
// decoding it, and whether there is one.
func (c *packetConn) dropReason(header wire.Header, err error) (DropReason, bool) {
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

// placeNewFlow reports whether a packet of a new flow is delivered to QUIC
// here. If not, it hands the packet over to the alternate, which is a second agent
// that the balancer named in the datagram, hands it back to the agent that handed it
// over, or drops it. The calling function holds the lock.
func (c *packetConn) placeNewFlow(now model.Instant, from, balancer netip.AddrPort, header wire.Header, payload []byte) bool {
	id, form := steering.DestinationID(payload)
	if form != steering.LongHeader {
		c.dropped[DropMalformed].Add(1)
		return false
	}
	occupancy := c.occupancy.Occupancy()
	occupancy.AcceptsNewFlows = occupancy.AcceptsNewFlows && !c.refusesNewFlows.Load()
	choice := c.chooser.Decide(now, newFlowPacket(id, from, header), occupancy)
	switch choice.Action {
	case steering.AcceptFlow:
		return true
	case steering.HandOverFlow:
		c.handedOver.Add(1)
		c.forward(choice, wire.KindHandedOver, balancer, header, payload)
	case steering.HandBackFlow:
		c.handedBack.Add(1)
		c.forward(choice, wire.KindHandedBack, balancer, header, payload)
	case steering.DropFlow:
		c.dropped[DropNoCapacity].Add(1)
	}
	return false
}

// newFlowPacket returns the input of the chooser for a packet of a new flow.
func newFlowPacket(id []byte, from netip.AddrPort, header wire.Header) steering.NewFlowPacket {
	packet := steering.NewFlowPacket{
		ID:        string(id),
		Origin:    steering.OriginBalancer,
		From:      from,
		FromLoad:  header.Load,
		Alternate: header.Alternate,
	}
	switch header.Kind {
	case wire.KindHandedOver:
		packet.Origin = steering.OriginHandOver
	case wire.KindHandedBack:
		packet.Origin = steering.OriginHandBack
	}
	return packet
}

// forward sends a packet of a new flow to another agent. The calling function holds the
// lock.
func (c *packetConn) forward(choice steering.Choice, kind wire.Kind, balancer netip.AddrPort, header wire.Header, payload []byte) {
	header.Kind = kind
	header.Load = choice.Load
	header.Via = balancer
	header.Alternate = netip.AddrPort{}
	header.Zone = c.zone
	c.send(choice.To, header, payload)
}

// WriteTo implements net.PacketConn. It sends a QUIC packet to a caller
// through a balancer from the rotation.
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
	balancer := c.balancers.next(model.Now())
	if !balancer.IsValid() {
		c.dropped[DropSendFailed].Add(1)
		return len(p), nil
	}
	c.packetsOut.Add(1)
	c.send(balancer, c.replyHeader(unmap(udp.AddrPort())), p)
	return len(p), nil
}

// send encodes and sends a datagram. A failure counts as packet loss, from
// which QUIC recovers. The calling function holds the lock.
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

// requestStarted records that a flow has sent its first request.
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
// calls it if it exists.
func (c *packetConn) SetReadBuffer(bytes int) error { return c.socket.SetReadBuffer(bytes) }

// SetWriteBuffer sets the size of the socket's send buffer, in bytes. QUIC
// calls it if it exists.
func (c *packetConn) SetWriteBuffer(bytes int) error { return c.socket.SetWriteBuffer(bytes) }

// unmap converts an IPv4-mapped IPv6 address to an IPv4 address.
func unmap(addr netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}
