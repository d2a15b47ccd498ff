// Package flow holds the basic types of the packet path: the two ends of a flow, its
// key, and the parsed header of one packet. On the packet path, flows reach their
// target packet by packet, without being terminated by an agent; the QUIC path of
// packages balancer and agent does not use this package. Only a Codec knows the wire
// format of a header.
package flow

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("flow")

// MaxPacket is the maximum size of a packet, header and data, in bytes.
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

// EndpointOf returns the endpoint of an IPv4 address and port. It panics if the address
// is not IPv4.
func EndpointOf(address netip.AddrPort) Endpoint {
	return Endpoint{IP: address.Addr().Unmap().As4(), Port: address.Port()}
}

// AddrPort returns the endpoint as an address.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.IP), e.Port)
}

// String returns the endpoint in the form "198.18.0.1:443".
func (e Endpoint) String() string { return e.AddrPort().String() }

// Key identifies a flow by its client and by the service address that the client
// called.
type Key struct {
	Client  Endpoint
	Service Endpoint
}

// String returns the key in the form used in logs.
func (k Key) String() string { return k.Client.String() + ">" + k.Service.String() }

// Append appends the encoded key to a buffer.
func (k Key) Append(buffer []byte) []byte {
	buffer = append(buffer, k.Client.IP[:]...)
	buffer = binary.BigEndian.AppendUint16(buffer, k.Client.Port)
	buffer = append(buffer, k.Service.IP[:]...)
	return binary.BigEndian.AppendUint16(buffer, k.Service.Port)
}

// ParseKey decodes the key at the start of a buffer. It panics if the buffer is
// shorter than KeySize.
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

// RendezvousWeight returns the rendezvous hashing weight of a node for the flow. The
// node with the largest weight is preferred. It panics if the node's address is not
// IPv4.
func (k Key) RendezvousWeight(node netip.Addr) uint64 {
	var buffer [KeySize + 4]byte
	ip := node.As4()
	return xxhash.Sum64(append(k.Append(buffer[:0]), ip[:]...))
}

// Flags are the flags of a packet.
type Flags uint8

// The flags.
const (
	// Open requests a new flow (SYN); with Ack set, the target accepts it (SYN-ACK).
	Open Flags = 1 << iota
	// Ack is set when the acknowledgement number is valid.
	Ack
	// End closes one direction (FIN).
	End
	// Reset aborts the flow (RST).
	Reset
	// Bounced marks a packet that a target returned because it can't accept it or does
	// not hold its flow.
	Bounced
)

// Has reports whether all flags in the mask are set.
func (f Flags) Has(mask Flags) bool { return f&mask == mask }

// Packet is the header of one packet.
type Packet struct {
	Source      Endpoint
	Destination Endpoint
	Flags       Flags
	// Tag identifies one delivery of a packet to a target. The load balancer sets it,
	// and the target returns it unchanged in a bounced packet; nothing else reads it.
	Tag      uint32
	Sequence uint32
	// Acknowledged is the next sequence number that the sender expects. In a client's
	// opening packet it is the number of earlier copies of the packet.
	Acknowledged uint32
	// Length is the size of the data, in bytes.
	Length int
}

// OpeningCopyInterval is the time after which a client that has got no answer sends the second
// copy of an opening packet.
const OpeningCopyInterval = 200 * time.Millisecond

// openingCopyDelays are the times, after the first copy of an opening packet, at which a
// client sends the copies. Their number is in the Acknowledged field.
var openingCopyDelays = [...]time.Duration{0, OpeningCopyInterval, 600 * time.Millisecond}

// OpeningAge returns how long before this copy of an opening packet the client sent the
// first one.
func (p Packet) OpeningAge() time.Duration {
	return openingCopyDelays[min(int(p.Acknowledged), len(openingCopyDelays)-1)]
}

// LastOpeningCopy reports whether the client sends no further copy of an opening packet.
func (p Packet) LastOpeningCopy() bool { return int(p.Acknowledged) >= len(openingCopyDelays)-1 }

// Opening reports whether the packet requests a new flow.
func (p Packet) Opening() bool { return p.Flags&(Open|Ack|Reset) == Open }

// KeyFromClient returns the flow key of a packet sent by a client.
func (p Packet) KeyFromClient() Key { return Key{Client: p.Source, Service: p.Destination} }

// KeyToClient returns the flow key of a packet sent by a target.
func (p Packet) KeyToClient() Key { return Key{Client: p.Destination, Service: p.Source} }

// Codec reads and writes packet headers. Its methods keep no reference to a datagram.
type Codec interface {
	// Parse decodes the header of a datagram and checks its length.
	Parse(datagram []byte) (Packet, error)
	// Prepare modifies a well-formed packet for delivery to a target: it sets the tag
	// and clears Bounced, which an earlier target may have set.
	Prepare(datagram []byte, tag uint32)
	// AppendReset appends a reset of the flow, addressed to its client, that the load
	// balancer sends in place of the target.
	AppendReset(buffer []byte, key Key, sequence uint32) []byte
}
