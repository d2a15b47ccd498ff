// Package fabric defines the plug-in interface for the network fabric, which
// delivers the callers' datagrams to the balancers and the replies to the
// callers. Each plug-in lives in its own folder and registers itself with the
// kernel.
package fabric

import (
	"net/netip"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package and of its plug-ins.
var Error = errs.Class("fabric")

// ErrMalformed is returned for a datagram that does not have the plug-in's
// format. Later calls may succeed.
var ErrMalformed = errs.New("malformed datagram")

// ErrUntrusted is returned for a datagram from an address outside the fabric.
// Later calls may succeed.
var ErrUntrusted = errs.New("datagram is not from the fabric")

// Packet is a caller's datagram, or a reply to a caller.
type Packet struct {
	// Caller is the caller's address: the source of a datagram and the destination of
	// a reply.
	Caller netip.AddrPort
	// Service is the address at which callers reach the service.
	Service netip.AddrPort
	// Payload is the QUIC packet, without the headers of the fabric.
	Payload []byte
}

// Fabric receives datagrams from callers and sends replies to them. Receive
// and Send are safe for concurrent use.
type Fabric interface {
	// Receive waits for a datagram. The payload is a slice of the buffer. It
	// returns ErrMalformed or ErrUntrusted for a datagram that the balancer has
	// to drop and count, and an error that wraps net.ErrClosed after the
	// plug-in has been stopped.
	Receive(buffer []byte) (Packet, error)
	// Send sends a reply. It encodes the reply in the scratch buffer, whose
	// content it overwrites.
	Send(packet Packet, scratch []byte) error
}
