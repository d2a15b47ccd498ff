package packetlb

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/packetnode"
)

// A balancer that knows other balancers only must not count as one that has heard of all
// agents: it would search for flows where they are not held.
func TestBalancerThatKnowsNoAgentIsNotReadyAtOnce(t *testing.T) {
	vm := func(n byte) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, n}) }
	table := packetnode.NewNodeTable(packetnode.Peer{VM: vm(1), Role: model.RoleBalancer})
	now := model.Instant(1)
	check := func(wantAgents, wantMissing int) {
		agents, missing := agentCounts(table)
		require.Equal(t, []int{wantAgents, wantMissing}, []int{agents, missing})
	}
	table.Add(now, packetnode.Peer{VM: vm(2), Role: model.RoleBalancer})
	check(0, 0)
	table.Add(now, packetnode.Peer{VM: vm(3), Role: model.RoleAgent})
	check(1, 1)
	table.Receive(now, &packetnode.Heartbeat{Peer: packetnode.Peer{VM: vm(3), Role: model.RoleAgent}, Incarnation: 1, Sequence: 1})
	check(1, 0)
}
