// Package flow holds the plain types of the packet path: the two ends of a
// flow, its key, and the parsed header of one packet. How a header looks on the
// wire is known to a Codec alone.
package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("flow")

// MaxPacket is the largest packet, in bytes: a header and its data.
const MaxPacket = 1500

// EndpointSize is the size of an encoded endpoint, in bytes.
const EndpointSize = 6

// KeySize is the size of an encoded key, in bytes.
const KeySize = 2 * EndpointSize

// Endpoint is one end of a flow.
type Endpoint struct {
	IP   [4]byte
	Port uint16
}

// EndpointOf returns the endpoint of an IPv4 address and port.
func EndpointOf(address netip.AddrPort) Endpoint {
	return Endpoint{IP: address.Addr().Unmap().As4(), Port: address.Port()}
}

// AddrPort returns the endpoint as an address.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.IP), e.Port)
}

// String returns the endpoint as in "198.18.0.1:443".
func (e Endpoint) String() string { return e.AddrPort().String() }

// Key identifies a flow by its client and by the address of the service that
// the client called.
type Key struct {
	Client  Endpoint
	Service Endpoint
}

// String returns the key as logs show it.
func (k Key) String() string { return k.Client.String() + ">" + k.Service.String() }

// Append adds the encoded key to a buffer.
func (k Key) Append(buffer []byte) []byte {
	buffer = append(buffer, k.Client.IP[:]...)
	buffer = binary.BigEndian.AppendUint16(buffer, k.Client.Port)
	buffer = append(buffer, k.Service.IP[:]...)
	return binary.BigEndian.AppendUint16(buffer, k.Service.Port)
}

// ParseKey decodes the key at the start of a buffer of at least KeySize bytes.
func ParseKey(buffer []byte) Key {
	_ = buffer[KeySize-1]
	return Key{
		Client:  Endpoint{IP: [4]byte(buffer), Port: binary.BigEndian.Uint16(buffer[4:])},
		Service: Endpoint{IP: [4]byte(buffer[6:]), Port: binary.BigEndian.Uint16(buffer[10:])},
	}
}

// Hash returns a hash of the key that is the same on every node.
func (k Key) Hash() uint64 {
	var buffer [KeySize]byte
	return xxhash.Sum64(k.Append(buffer[:0]))
}

// RendezvousWeight returns the rendezvous weight of a node for the flow. The node with the
// largest weight comes first.
func (k Key) RendezvousWeight(node netip.Addr) uint64 {
	var buffer [KeySize + 4]byte
	ip := node.As4()
	return xxhash.Sum64(append(k.Append(buffer[:0]), ip[:]...))
}

// Flags tell what a packet does to its flow.
type Flags uint8

// The flags.
const (
	// Open asks for a new flow (SYN); with Ack it is the target's consent.
	Open Flags = 1 << iota
	// Ack tells that the acknowledgement number is valid.
	Ack
	// End closes one direction (FIN).
	End
	// Reset gives the flow up (RST).
	Reset
	// Bounced marks a packet that a target returned because it can't accept it
	// or does not hold its flow.
	Bounced
)

// Has reports whether all flags of the mask are set.
func (f Flags) Has(mask Flags) bool { return f&mask == mask }

// Packet is the header of one packet.
type Packet struct {
	Source      Endpoint
	Destination Endpoint
	Flags       Flags
	// Tag is a number of the system's own. A target returns it unchanged in a
	// packet that it bounces, and nobody else reads it.
	Tag      uint32
	Sequence uint32
	// Acknowledged is the next sequence number that the sender expects. In a
	// client's opening packet it counts the copies that went before.
	Acknowledged uint32
	// Length is the size of the data, in bytes.
	Length int
}

// Opening reports whether the packet asks for a new flow.
func (p Packet) Opening() bool { return p.Flags&(Open|Ack|Reset) == Open }

// KeyFromClient returns the key of a packet that a client sent.
func (p Packet) KeyFromClient() Key { return Key{Client: p.Source, Service: p.Destination} }

// KeyToClient returns the key of a packet that a target sent.
func (p Packet) KeyToClient() Key { return Key{Client: p.Destination, Service: p.Source} }

// Codec reads and writes headers. Its methods keep no reference to a datagram.
type Codec interface {
	// Parse decodes the header of a datagram and checks its length.
	Parse(datagram []byte) (Packet, error)
	// Prepare readies a well-formed packet for a target: it sets the tag and
	// clears what the system may have left in the header.
	Prepare(datagram []byte, tag uint32)
	// AppendReset adds a reset of the system's own, sent to the flow's client.
	AppendReset(buffer []byte, key Key, sequence uint32) []byte
}
