package agent

import (
	"net/netip"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	// egressMemory is how long a balancer that was heard from gets answers.
	egressMemory = 300 * time.Millisecond
	// maxEgress bounds the balancers that answers are spread over.
	maxEgress = 1024
)

// egress spreads answers over the balancers that packets came from lately, so
// that a balancer that has died or is paused gets no more of them. It is not
// safe for concurrent use.
type egress struct {
	heard map[netip.AddrPort]model.Instant
	// ring holds the same balancers in the order of their first packet.
	ring []netip.AddrPort
	next int
	last netip.AddrPort
}

func newEgress() *egress {
	return &egress{heard: map[netip.AddrPort]model.Instant{}}
}

// hear notes a packet from a balancer.
func (e *egress) hear(now model.Instant, balancer netip.AddrPort) {
	e.last = balancer
	if _, known := e.heard[balancer]; !known {
		if len(e.ring) >= maxEgress {
			return
		}
		e.ring = append(e.ring, balancer)
	}
	e.heard[balancer] = now
}

// pick returns the balancer for the next answer. It is invalid before the first
// packet.
func (e *egress) pick(now model.Instant) netip.AddrPort {
	for len(e.ring) > 0 {
		e.next %= len(e.ring)
		balancer := e.ring[e.next]
		if now.Sub(e.heard[balancer]) <= egressMemory {
			e.next++
			return balancer
		}
		delete(e.heard, balancer)
		e.ring = append(e.ring[:e.next], e.ring[e.next+1:]...)
	}
	return e.last
}
