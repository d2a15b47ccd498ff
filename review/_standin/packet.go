package main

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"net/netip"
)

// The layout of a packet's header, as PROTOCOL.md of the users gives it.
const (
	offEcho   = 0
	offSum    = 4
	offLen    = 8
	offSeq    = 10
	offAck    = 14
	offFlags  = 18
	offSrc    = 19
	offDport  = 23
	offDst    = 25
	offSport  = 29
	headSize  = 31
	maxData   = 1200
	flagSYN   = 1
	flagACK   = 2
	flagRST   = 4
	flagFIN   = 64
	flagBack  = 128
	resetSpan = 76800
)

// end is one end of a flow.
type end struct {
	ip   [4]byte
	port uint16
}

func endOf(address netip.Addr, port uint16) end { return end{address.As4(), port} }

func (e end) String() string { return netip.AddrPortFrom(netip.AddrFrom4(e.ip), e.port).String() }

// flowKey names a flow by its two ends.
type flowKey struct{ client, route end }

func (k flowKey) String() string { return k.client.String() + ">" + k.route.String() }

type packet struct {
	src, dst end
	flags    byte
	seq, ack uint32
	data     []byte
	sum      uint32
}

// encode returns the packet with its sum; echo and pad are 0.
func (p packet) encode() []byte {
	b := make([]byte, headSize+len(p.data))
	binary.BigEndian.PutUint16(b[offLen:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[offSeq:], p.seq)
	binary.BigEndian.PutUint32(b[offAck:], p.ack)
	b[offFlags] = p.flags
	copy(b[offSrc:], p.src.ip[:])
	binary.BigEndian.PutUint16(b[offDport:], p.dst.port)
	copy(b[offDst:], p.dst.ip[:])
	binary.BigEndian.PutUint16(b[offSport:], p.src.port)
	copy(b[headSize:], p.data)
	binary.BigEndian.PutUint32(b[offSum:], sumOf(b))
	return b
}

// sumOf is the sum that only clients and servers know. It leaves out echo and BOUNCED.
func sumOf(b []byte) uint32 {
	h := fnv.New32a()
	h.Write([]byte("review"))
	h.Write(b[offLen:offFlags])
	h.Write([]byte{b[offFlags] &^ flagBack})
	h.Write(b[offFlags+1:])
	return h.Sum32() | 1
}

func parse(b []byte) (packet, error) {
	if len(b) < headSize || len(b) != headSize+int(binary.BigEndian.Uint16(b[offLen:])) {
		return packet{}, fmt.Errorf("packet of %d bytes", len(b))
	}
	p := packet{
		src:   end{[4]byte(b[offSrc:]), binary.BigEndian.Uint16(b[offSport:])},
		dst:   end{[4]byte(b[offDst:]), binary.BigEndian.Uint16(b[offDport:])},
		flags: b[offFlags], seq: binary.BigEndian.Uint32(b[offSeq:]), ack: binary.BigEndian.Uint32(b[offAck:]),
		data: append([]byte(nil), b[headSize:]...), sum: binary.BigEndian.Uint32(b[offSum:]),
	}
	if p.sum == 0 && p.flags == flagRST && len(p.data) == 0 {
		return p, nil // a reset of the system's own
	}
	if p.sum != sumOf(b) {
		return p, fmt.Errorf("packet with a wrong sum")
	}
	return p, nil
}
