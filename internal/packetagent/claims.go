package packetagent

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/packetnode"
)

// homesPerFlow is how many balancers are told of each flow: those of the
// client's availability zone first, which the fabric chooses from.
const homesPerFlow = 4

// maxClaims bounds the flows that balancers are still to be told of. Flows that
// are left out are searched for when they are needed.
const maxClaims = 8192

// claim is a flow that balancers are to be told of.
type claim struct {
	key flow.Key
	// balancer is the one that forwarded the flow; it knows already.
	balancer netip.Addr
}

// claims are the flows that balancers are still to be told of.
type claims struct {
	waiting []claim
}

func (c *claims) add(key flow.Key, balancer netip.Addr) {
	if len(c.waiting) < maxClaims {
		c.waiting = append(c.waiting, claim{key: key, balancer: balancer})
	}
}

// homes returns the balancers that are told of a flow.
func homes(key flow.Key, zone model.Zone, balancers []packetnode.Peer) []packetnode.Peer {
	if len(balancers) <= homesPerFlow {
		return balancers
	}
	ranked := slices.Clone(balancers)
	slices.SortFunc(ranked, func(a, b packetnode.Peer) int {
		if (a.Zone == zone) != (b.Zone == zone) {
			if a.Zone == zone {
				return -1
			}
			return 1
		}
		return cmp.Compare(key.Rank(b.VM), key.Rank(a.VM))
	})
	return ranked[:homesPerFlow]
}

func zoneOf(vm netip.Addr, balancers []packetnode.Peer) model.Zone {
	for _, balancer := range balancers {
		if balancer.VM == vm {
			return balancer.Zone
		}
	}
	return ""
}

// flushClaims tells the balancers of the flows that wait.
func (a *agent) flushClaims() {
	a.mu.Lock()
	waiting := a.claims.waiting
	a.claims.waiting = nil
	a.mu.Unlock()
	if len(waiting) == 0 {
		return
	}
	balancers := a.view.Load().balancers
	keys := map[netip.Addr][]flow.Key{}
	for _, claim := range waiting {
		for _, home := range homes(claim.key, zoneOf(claim.balancer, balancers), balancers) {
			if home.VM != claim.balancer {
				keys[home.VM] = append(keys[home.VM], claim.key)
			}
		}
	}
	for vm, list := range keys {
		a.sendClaims(vm, list)
	}
}

// introduce tells a balancer that has just started of the flows whose home it is.
func (a *agent) introduce(balancer packetnode.Peer) {
	balancers := a.view.Load().balancers
	var keys []flow.Key
	a.mu.Lock()
	a.door.Each(func(key flow.Key, forwarder netip.Addr) {
		for _, home := range homes(key, zoneOf(forwarder, balancers), balancers) {
			if home.VM == balancer.VM {
				keys = append(keys, key)
			}
		}
	})
	a.mu.Unlock()
	a.log.WithField("peer", balancer.VM).WithField("flows", len(keys)).Info("balancer_introduced")
	a.sendClaims(balancer.VM, keys)
}

func (a *agent) sendClaims(vm netip.Addr, keys []flow.Key) {
	a.metrics.claimed.Add(int64(len(keys)))
	a.node.SendKeys(vm, packetnode.KindFlowHeld, keys)
}
