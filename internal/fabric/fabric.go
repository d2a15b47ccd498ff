// Package fabric is the edge towards the network fabric, which hands the
// callers' datagrams to the balancers and takes the answers. Each plug-in lives
// in a folder of its own and registers itself with the kernel.
package fabric

import (
	"net/netip"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("fabric")

// ErrMalformed tells that a datagram was not of the plug-in's format. The next
// one may be.
var ErrMalformed = errs.New("malformed datagram")

// ErrUntrusted tells that a datagram came from an address outside of the
// fabric. The next one may not.
var ErrUntrusted = errs.New("datagram is not from the fabric")

// Packet is a caller's datagram.
type Packet struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
	Payload []byte
}

// Fabric takes datagrams from callers and sends answers to them. Receive and
// Send are safe for concurrent use.
type Fabric interface {
	// Receive waits for a datagram. The payload is a part of the buffer. It
	// returns ErrMalformed or ErrUntrusted for a datagram to be counted, and
	// net.ErrClosed after the module has stopped.
	Receive(buffer []byte) (Packet, error)
	// Send sends an answer. The scratch buffer is used for encoding.
	Send(packet Packet, scratch []byte) error
}
