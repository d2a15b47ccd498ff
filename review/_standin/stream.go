package main

import "time"

const (
	firstResend = 200 * time.Millisecond
	lastResend  = 1600 * time.Millisecond
)

// side is one end of an open flow. Every message fits one packet, and an end has one
// message on its way at most. Its owner serialises the calls.
type side struct {
	self, peer end
	next       uint32 // the sequence number of the next byte to send
	expected   uint32 // that of the next byte to receive
	send       func(packet)
	// resend is the packet that is not acknowledged yet, nil if none.
	resend   *packet
	resendAt time.Time
	delay    time.Duration
	tries    int
	// unacked is the number of packets received since the last acknowledgement.
	unacked  int
	finSent  bool
	finTaken bool
}

func (s *side) ackOnly() {
	s.unacked = 0
	s.send(packet{src: s.self, dst: s.peer, flags: flagACK, seq: s.next, ack: s.expected})
}

// write sends a message, with a FIN if it is the last one of this end.
func (s *side) write(data []byte, fin bool) {
	p := packet{src: s.self, dst: s.peer, flags: flagACK, seq: s.next, ack: s.expected, data: data}
	s.next += uint32(len(data))
	if fin {
		p.flags |= flagFIN
		s.next++
		s.finSent = true
	}
	s.unacked, s.tries, s.delay = 0, 0, firstResend
	s.resend, s.resendAt = &p, time.Now().Add(s.delay)
	s.send(p)
}

// take handles a packet of the peer and returns new data, and whether the peer has closed.
func (s *side) take(p packet) (data []byte, fin bool) {
	if p.flags&flagACK != 0 && s.resend != nil && int32(p.ack-s.next) >= 0 {
		s.resend = nil
	}
	length := uint32(len(p.data))
	if p.flags&flagFIN != 0 {
		length++
	}
	if length == 0 {
		return nil, false
	}
	if p.seq != s.expected {
		s.ackOnly() // a copy, or a packet that came too early
		return nil, false
	}
	s.expected += length
	s.unacked++
	fin = p.flags&flagFIN != 0
	s.finTaken = s.finTaken || fin
	if s.unacked >= 2 || fin {
		s.ackOnly()
	}
	return p.data, fin
}

// tick sends an unacknowledged packet again when it is due.
func (s *side) tick(now time.Time) {
	if s.resend == nil || now.Before(s.resendAt) || s.tries >= 8 {
		return
	}
	s.tries++
	s.delay = min(2*s.delay, lastResend)
	s.resendAt = now.Add(s.delay)
	p := *s.resend
	p.ack = s.expected
	s.send(p)
}
