package proxyv2

import (
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/balsamlink/balsamlink/internal/fabric"
	"github.com/balsamlink/balsamlink/internal/wire"
)

// ProxyV2 is the plug-in. It exchanges datagrams with a fabric that uses the
// PROXY protocol.
type ProxyV2 struct {
	settings Settings
	socket   *net.UDPConn
	// trusted holds the addresses of settings.Fabric.
	trusted map[netip.AddrPort]struct{}
	// sent counts the replies, which selects the fabric address of the next one.
	sent atomic.Uint32
}

// Receive implements fabric.Fabric.
func (p *ProxyV2) Receive(buffer []byte) (fabric.Packet, error) {
	n, from, err := p.socket.ReadFromUDPAddrPort(buffer)
	if err != nil {
		return fabric.Packet{}, err
	}
	if _, trusted := p.trusted[unmap(from)]; !trusted {
		return fabric.Packet{}, fabric.ErrUntrusted
	}
	header, payload, err := wire.ParseProxy(buffer[:n])
	if err != nil {
		return fabric.Packet{}, fabric.ErrMalformed
	}
	return fabric.Packet{Caller: header.Source, Service: header.Destination, Payload: payload}, nil
}

// Send implements fabric.Fabric. Replies are distributed over the fabric's
// addresses in turn.
func (p *ProxyV2) Send(packet fabric.Packet, scratch []byte) error {
	header := wire.ProxyHeader{Source: packet.Service, Destination: packet.Caller}
	datagram := wire.AppendProxy(scratch[:0], header)
	datagram = append(datagram, packet.Payload...)
	to := p.settings.Fabric[int(p.sent.Add(1))%len(p.settings.Fabric)]
	_, err := p.socket.WriteToUDPAddrPort(datagram, to)
	return err
}

// Addr returns the address to which the fabric sends.
func (p *ProxyV2) Addr() netip.AddrPort {
	return unmap(p.socket.LocalAddr().(*net.UDPAddr).AddrPort())
}

// unmap converts an IPv4-mapped IPv6 address to an IPv4 address.
func unmap(addr netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}
