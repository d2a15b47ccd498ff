package wire

import (
	"bytes"
	"encoding/binary"
	"net/netip"
)

// The PROXY protocol, version 2, for datagrams, as its authors (HAProxy) publish
// it: a 12-byte signature, the version and command, the address family and
// protocol, the length of the addresses, the addresses, and then the caller's
// datagram.
const (
	// proxyPrefixSize is the size of what precedes the addresses, and proxySize4
	// and proxySize6 are those of whole headers for IPv4 and IPv6, in bytes.
	proxyPrefixSize = 16
	proxySize4      = proxyPrefixSize + 12
	proxySize6      = proxyPrefixSize + 36
	// proxyCommand is version 2 and the command PROXY.
	proxyCommand = 0x21
	proxyUDP4    = 0x12
	proxyUDP6    = 0x22
)

// MaxProxyHeader is the maximum size of a PROXY header that AppendProxy writes,
// in bytes.
const MaxProxyHeader = proxySize6

var proxySignature = []byte("\r\n\r\n\x00\r\nQUIT\n")

// ProxyHeader holds the two endpoints of a caller's datagram as a fabric
// received it.
type ProxyHeader struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
}

// AppendProxy appends a PROXY header for a UDP datagram. Both addresses must be
// of the same family.
func AppendProxy(buffer []byte, header ProxyHeader) []byte {
	buffer = append(buffer, proxySignature...)
	buffer = append(buffer, proxyCommand)
	source, destination := header.Source.Addr(), header.Destination.Addr()
	if source.Is4() && destination.Is4() {
		buffer = append(buffer, proxyUDP4, 0, proxySize4-proxyPrefixSize)
		ip := source.As4()
		buffer = append(buffer, ip[:]...)
		ip = destination.As4()
		buffer = append(buffer, ip[:]...)
	} else {
		buffer = append(buffer, proxyUDP6, 0, proxySize6-proxyPrefixSize)
		ip := source.As16()
		buffer = append(buffer, ip[:]...)
		ip = destination.As16()
		buffer = append(buffer, ip[:]...)
	}
	buffer = binary.BigEndian.AppendUint16(buffer, header.Source.Port())
	return binary.BigEndian.AppendUint16(buffer, header.Destination.Port())
}

// ParseProxy splits a datagram into its PROXY header and the caller's datagram.
// It skips extensions (TLVs) and returns ErrMalformed, wrapped in Error, for
// anything that is not a version 2 header of a UDP datagram.
func ParseProxy(datagram []byte) (ProxyHeader, []byte, error) {
	if len(datagram) < proxyPrefixSize || !bytes.Equal(datagram[:len(proxySignature)], proxySignature) {
		return ProxyHeader{}, nil, Error.Wrap(ErrMalformed)
	}
	size := int(binary.BigEndian.Uint16(datagram[14:]))
	rest := datagram[proxyPrefixSize:]
	if datagram[12] != proxyCommand || len(rest) < size {
		return ProxyHeader{}, nil, Error.Wrap(ErrMalformed)
	}
	var header ProxyHeader
	addresses := rest[:size]
	switch {
	case datagram[13] == proxyUDP4 && size >= proxySize4-proxyPrefixSize:
		header.Source = proxyAddr(netip.AddrFrom4([4]byte(addresses[0:4])), addresses[8:])
		header.Destination = proxyAddr(netip.AddrFrom4([4]byte(addresses[4:8])), addresses[10:])
	case datagram[13] == proxyUDP6 && size >= proxySize6-proxyPrefixSize:
		header.Source = proxyAddr(netip.AddrFrom16([16]byte(addresses[0:16])).Unmap(), addresses[32:])
		header.Destination = proxyAddr(netip.AddrFrom16([16]byte(addresses[16:32])).Unmap(), addresses[34:])
	default:
		return ProxyHeader{}, nil, Error.Wrap(ErrMalformed)
	}
	return header, rest[size:], nil
}

func proxyAddr(ip netip.Addr, port []byte) netip.AddrPort {
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(port))
}
