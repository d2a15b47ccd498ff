package agent

import (
	"net/netip"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	// balancerRecency is how long after its last packet a balancer is used for
	// replies.
	balancerRecency = 300 * time.Millisecond
	// maxBalancers is the maximum number of balancers in the rotation.
	maxBalancers = 1024
)

// balancerRotation distributes replies round-robin over the balancers that
// have recently sent packets, so that a stopped or paused balancer soon gets
// no more replies. It is not safe for concurrent use.
type balancerRotation struct {
	// lastPacket holds the time of the last packet of each balancer in the rotation.
	lastPacket map[netip.AddrPort]model.Instant
	// order holds the keys of lastPacket in the order of their first packet, and
	// nextIndex is the index in it of the balancer for the next reply.
	order     []netip.AddrPort
	nextIndex int
	// latestBalancer is the balancer that sent the latest packet, in the rotation or not.
	latestBalancer netip.AddrPort
}

func newBalancerRotation() *balancerRotation {
	return &balancerRotation{lastPacket: map[netip.AddrPort]model.Instant{}}
}

// recordPacket records that a balancer has sent a packet.
func (r *balancerRotation) recordPacket(now model.Instant, balancer netip.AddrPort) {
	r.latestBalancer = balancer
	if _, known := r.lastPacket[balancer]; !known {
		if len(r.order) >= maxBalancers {
			return
		}
		r.order = append(r.order, balancer)
	}
	r.lastPacket[balancer] = now
}

// next returns the balancer for the next reply. If no balancer has sent a
// packet recently, it returns the one that sent the latest packet, which is
// invalid before the first packet.
func (r *balancerRotation) next(now model.Instant) netip.AddrPort {
	for len(r.order) > 0 {
		r.nextIndex %= len(r.order)
		balancer := r.order[r.nextIndex]
		if now.Sub(r.lastPacket[balancer]) <= balancerRecency {
			r.nextIndex++
			return balancer
		}
		delete(r.lastPacket, balancer)
		r.order = append(r.order[:r.nextIndex], r.order[r.nextIndex+1:]...)
	}
	return r.latestBalancer
}
