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
	// window is the maximum number of unacknowledged packets.
	window = 16
	// The delay doubles with each retransmission, up to maxRetransmitDelay.
	initialRetransmitDelay = 200 * time.Millisecond
	maxRetransmitDelay     = 1600 * time.Millisecond
	// maxRetransmits is the number of retransmissions of a packet after which a target's
	// stream fails, and the target drops the flow. Clients retransmit until the deadline of
	// the request.
	maxRetransmits = 8
	// checksumSeed seeds the checksum of the simulated clients' and targets' packets.
	checksumSeed = "balsamlink site"
)

// packet is one packet of the flow protocol.
type packet struct {
	source, destination flow.Endpoint
	flags               byte
	sequence, ack       uint32
	data                []byte
}

// encode returns the packet as a datagram with its checksum.
func (p packet) encode() []byte {
	datagram := make([]byte, wire.HeaderSize, wire.HeaderSize+len(p.data))
	binary.BigEndian.PutUint16(datagram[wire.OffsetLength:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(datagram[wire.OffsetSequence:], p.sequence)
	binary.BigEndian.PutUint32(datagram[wire.OffsetAck:], p.ack)
	datagram[wire.OffsetFlags] = p.flags
	wire.PutEndpoints(datagram, p.source.IP, p.source.Port, p.destination.IP, p.destination.Port)
	datagram = append(datagram, p.data...)
	binary.BigEndian.PutUint32(datagram[wire.OffsetChecksum:], checksum(datagram))
	return datagram
}

// checksum returns the checksum over all fields that the load balancer must not
// change: all but the checksum itself, the tag and the bounced flag. It is never 0,
// which marks packets without a checksum.
func checksum(datagram []byte) uint32 {
	digest := xxhash.NewWithSeed(uint64(len(checksumSeed)))
	// Writing to a digest in memory can't fail.
	_, _ = digest.WriteString(checksumSeed)
	_, _ = digest.Write(datagram[wire.OffsetLength:wire.OffsetFlags])
	_, _ = digest.Write([]byte{datagram[wire.OffsetFlags] &^ wire.FlagBounced})
	_, _ = digest.Write(datagram[wire.OffsetFlags+1:])
	return uint32(digest.Sum64()) | 1
}

// parse decodes a packet. It returns invalid if the packet is malformed or its
// checksum does not match. Resets that balancers and agents create have no checksum:
// the field is 0.
func parse(datagram []byte) (p packet, invalid bool) {
	header, err := platform.Header{}.Parse(datagram)
	if err != nil {
		return packet{}, true
	}
	sum := binary.BigEndian.Uint32(datagram[wire.OffsetChecksum:])
	flags := datagram[wire.OffsetFlags]
	systemReset := sum == 0 && flags == wire.FlagRst && header.Length == 0
	return packet{
		source: header.Source, destination: header.Destination, flags: flags, sequence: header.Sequence,
		ack: header.Acknowledged, data: append([]byte(nil), datagram[wire.HeaderSize:]...),
	}, !systemReset && sum != checksum(datagram)
}

// segment is a packet that is queued or not yet acknowledged. end is the sequence
// number after its data.
type segment struct {
	packet       packet
	end          uint32
	retransmits  int
	retransmitAt time.Time
}

// stream is one end of a flow. It is not safe for concurrent use: its owner
// serialises the calls.
type stream struct {
	local, remote flow.Endpoint
	// nextSequence is the sequence number of the next data to send, and
	// expectedSequence that of the next data to receive.
	nextSequence     uint32
	expectedSequence uint32
	// unsent segments wait until the window has room for them.
	unsent   []segment
	inFlight []segment
	// outOfOrder holds packets that were received ahead of others, by sequence number.
	outOfOrder map[uint32]packet
	send       func(packet)
	// receive is called with data in order, and with nil once the other end has closed.
	receive func(data []byte)
	// closed is set once this end has closed.
	closed bool
	// persistent is set if the stream never fails.
	persistent bool
	// failed is set once a packet was retransmitted maxRetransmits times in vain.
	failed bool
}

func (s *stream) write(data []byte) {
	for len(data) > 0 {
		size := min(len(data), wire.MaxData)
		s.enqueue(packet{flags: wire.FlagAck, data: append([]byte(nil), data[:size]...)}, uint32(size))
		data = data[size:]
	}
	s.sendQueued()
}

func (s *stream) close() {
	if !s.closed {
		s.closed = true
		s.enqueue(packet{flags: wire.FlagAck | wire.FlagFin}, 1)
		s.sendQueued()
	}
}

// enqueue queues a packet, which takes length sequence numbers: one for each byte
// of data or one for the end.
func (s *stream) enqueue(p packet, length uint32) {
	p.source, p.destination, p.sequence = s.local, s.remote, s.nextSequence
	s.nextSequence += length
	s.unsent = append(s.unsent, segment{packet: p, end: s.nextSequence})
}

// sendQueued sends queued segments as far as the window allows.
func (s *stream) sendQueued() {
	for len(s.unsent) > 0 && len(s.inFlight) < window {
		next := s.unsent[0]
		s.unsent = s.unsent[1:]
		next.retransmitAt = time.Now().Add(initialRetransmitDelay)
		s.inFlight = append(s.inFlight, next)
		s.transmit(next.packet)
	}
}

// transmit sends a packet with the current acknowledgement.
func (s *stream) transmit(p packet) {
	p.ack = s.expectedSequence
	s.send(p)
}

// handlePacket processes a packet from the other end and acknowledges its data.
func (s *stream) handlePacket(p packet) {
	if p.flags&wire.FlagAck != 0 {
		for len(s.inFlight) > 0 && int32(p.ack-s.inFlight[0].end) >= 0 {
			s.inFlight = s.inFlight[1:]
		}
		s.sendQueued()
	}
	length := uint32(len(p.data))
	if p.flags&wire.FlagFin != 0 {
		length++
	}
	if length == 0 {
		return
	}
	s.outOfOrder[p.sequence] = p
	for {
		ready, known := s.outOfOrder[s.expectedSequence]
		if !known {
			break
		}
		delete(s.outOfOrder, s.expectedSequence)
		s.expectedSequence += uint32(len(ready.data))
		if len(ready.data) > 0 {
			s.receive(ready.data)
		}
		if ready.flags&wire.FlagFin != 0 {
			s.expectedSequence++
			s.receive(nil)
		}
	}
	s.transmit(packet{source: s.local, destination: s.remote, flags: wire.FlagAck, sequence: s.nextSequence})
}

// tick retransmits packets that were not acknowledged in time.
func (s *stream) tick(now time.Time) {
	for i := range s.inFlight {
		waiting := &s.inFlight[i]
		if now.Before(waiting.retransmitAt) {
			continue
		}
		waiting.retransmits++
		if waiting.retransmits > maxRetransmits && !s.persistent {
			s.failed = true
			return
		}
		waiting.retransmitAt = now.Add(min(initialRetransmitDelay<<min(waiting.retransmits, maxRetransmits), maxRetransmitDelay))
		s.transmit(waiting.packet)
	}
}

// ticker calls a function about every 20 ms until end is called.
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
