package site

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/platform"
	"github.com/balsamlink/balsamlink/platform/wire"
)

const (
	// window is the number of packets that may be in flight.
	window = 16
	// firstRetransmit doubles up to lastRetransmit.
	firstRetransmit = 200 * time.Millisecond
	lastRetransmit  = 1600 * time.Millisecond
	// maxRetransmits is after how many a target gives up.
	maxRetransmits = 8
	// sumSeed keys the sum of the stand-ins' packets.
	sumSeed = "balsamlink site"
)

// packet is one packet of the flow protocol.
type packet struct {
	source, destination flow.Endpoint
	flags               byte
	sequence, ack       uint32
	data                []byte
}

// encode returns the packet as its sender writes it.
func (p packet) encode() []byte {
	datagram := make([]byte, wire.HeaderSize, wire.HeaderSize+len(p.data))
	binary.BigEndian.PutUint16(datagram[wire.OffsetLength:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(datagram[wire.OffsetSequence:], p.sequence)
	binary.BigEndian.PutUint32(datagram[wire.OffsetAck:], p.ack)
	datagram[wire.OffsetFlags] = p.flags
	wire.PutEndpoints(datagram, p.source.IP, p.source.Port, p.destination.IP, p.destination.Port)
	datagram = append(datagram, p.data...)
	binary.BigEndian.PutUint32(datagram[wire.OffsetChecksum:], sumOf(datagram))
	return datagram
}

// sumOf returns the sum over all that nobody on the way may change.
func sumOf(datagram []byte) uint32 {
	digest := xxhash.NewWithSeed(uint64(len(sumSeed)))
	// A digest in memory takes all that is written.
	_, _ = digest.WriteString(sumSeed)
	_, _ = digest.Write(datagram[wire.OffsetLength:wire.OffsetFlags])
	_, _ = digest.Write([]byte{datagram[wire.OffsetFlags] &^ wire.FlagBounced})
	_, _ = digest.Write(datagram[wire.OffsetFlags+1:])
	return uint32(digest.Sum64()) | 1
}

// parse decodes a packet. Forged tells that it is not as its sender wrote it; a
// reset of the system's own has a sum of 0.
func parse(datagram []byte) (p packet, forged bool) {
	header, err := platform.Header{}.Parse(datagram)
	if err != nil {
		return packet{}, true
	}
	sum := binary.BigEndian.Uint32(datagram[wire.OffsetChecksum:])
	flags := datagram[wire.OffsetFlags]
	own := sum == 0 && flags == wire.FlagRst && header.Length == 0
	return packet{
		source: header.Source, destination: header.Destination, flags: flags, sequence: header.Sequence,
		ack: header.Acknowledged, data: append([]byte(nil), datagram[wire.HeaderSize:]...),
	}, !own && sum != sumOf(datagram)
}

// segment is data that was sent and not acknowledged.
type segment struct {
	packet packet
	end    uint32
	tries  int
	due    time.Time
}

// stream is one end of a flow. Its owner locks it.
type stream struct {
	local, remote flow.Endpoint
	next          uint32
	expected      uint32
	waiting       []segment
	flight        []segment
	early         map[uint32]packet
	send          func(packet)
	// receive takes data in order; nil data tells that the other end has closed.
	receive func(data []byte)
	closed  bool
	failed  bool
}

func (s *stream) write(data []byte) {
	for len(data) > 0 {
		size := min(len(data), wire.MaxData)
		s.queue(packet{flags: wire.FlagAck, data: append([]byte(nil), data[:size]...)}, uint32(size))
		data = data[size:]
	}
	s.push()
}

func (s *stream) close() {
	if !s.closed {
		s.closed = true
		s.queue(packet{flags: wire.FlagAck | wire.FlagFin}, 1)
		s.push()
	}
}

func (s *stream) queue(p packet, length uint32) {
	p.source, p.destination, p.sequence = s.local, s.remote, s.next
	s.next += length
	s.waiting = append(s.waiting, segment{packet: p, end: s.next})
}

func (s *stream) push() {
	for len(s.waiting) > 0 && len(s.flight) < window {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		next.due = time.Now().Add(firstRetransmit)
		s.flight = append(s.flight, next)
		s.transmit(next.packet)
	}
}

func (s *stream) transmit(p packet) {
	p.ack = s.expected
	s.send(p)
}

// take handles a packet of the other end.
func (s *stream) take(p packet) {
	if p.flags&wire.FlagAck != 0 {
		for len(s.flight) > 0 && int32(p.ack-s.flight[0].end) >= 0 {
			s.flight = s.flight[1:]
		}
		s.push()
	}
	length := uint32(len(p.data))
	if p.flags&wire.FlagFin != 0 {
		length++
	}
	if length == 0 {
		return
	}
	s.early[p.sequence] = p
	for {
		ready, known := s.early[s.expected]
		if !known {
			break
		}
		delete(s.early, s.expected)
		s.expected += uint32(len(ready.data))
		if len(ready.data) > 0 {
			s.receive(ready.data)
		}
		if ready.flags&wire.FlagFin != 0 {
			s.expected++
			s.receive(nil)
		}
	}
	s.transmit(packet{source: s.local, destination: s.remote, flags: wire.FlagAck, sequence: s.next})
}

// tick sends again what was not acknowledged in time.
func (s *stream) tick(now time.Time) {
	for i := range s.flight {
		waiting := &s.flight[i]
		if now.Before(waiting.due) {
			continue
		}
		waiting.tries++
		if waiting.tries > maxRetransmits {
			s.failed = true
			return
		}
		waiting.due = now.Add(min(firstRetransmit<<waiting.tries, lastRetransmit))
		s.transmit(waiting.packet)
	}
}

// ticker calls a function about every 20 ms until it is stopped.
type ticker struct {
	stop chan struct{}
	done sync.WaitGroup
}

func startTicker(call func(now time.Time)) *ticker {
	t := &ticker{stop: make(chan struct{})}
	t.done.Go(func() {
		clock := time.NewTicker(20 * time.Millisecond)
		defer clock.Stop()
		for {
			select {
			case <-t.stop:
				return
			case now := <-clock.C:
				call(now)
			}
		}
	})
	return t
}

func (t *ticker) end() {
	close(t.stop)
	t.done.Wait()
}
