package packetnode

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
)

// Parts arrive late, repeated and out of order, nodes start new incarnations, writes fail
// whether they took effect or not, and the keeper's lease ends. Once writes succeed again, the
// store must hold the newest parts that the keeper was sent, in calls of a bounded size.
func TestKeeperBringsTheNewestPartsIntoTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var k keeper
		lease := platform.LeaseID(1)
		stored := map[string]string{}
		newest := map[keptID]savedPart{}
		sent := map[keptID][]savedPart{}
		var ids []keptID
		incarnations := map[netip.Addr]uint64{}
		number := uint32(0)
		write := func(fails, effective bool) int {
			k.setLease(lease)
			writes, values := k.batch()
			require.LessOrEqual(t, len(writes), platform.MaxReplaced)
			for _, value := range values {
				value.dirty = fails
			}
			for _, w := range writes {
				require.Equal(t, lease, w.Lease)
				if effective {
					stored[w.Key] = string(w.Value)
				}
			}
			return len(writes)
		}
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				number++
				id := keptID{VM: vm(rapid.IntRange(2, 50).Draw(t, "vm")), Number: uint16(rapid.IntRange(0, 2).Draw(t, "part"))}
				part := savedPart{Incarnation: incarnations[id.VM], Series: number, Number: id.Number, Value: fmt.Appendf(nil, "%d", number)}
				if sent[id] == nil {
					ids = append(ids, id)
				}
				sent[id] = append(sent[id], part)
				require.True(t, k.receive(id.VM, part))
				newest[id] = part
			},
			"repeat": func(t *rapid.T) {
				if len(ids) == 0 {
					t.Skip("nothing was sent")
				}
				id := rapid.SampledFrom(ids).Draw(t, "id")
				part := rapid.SampledFrom(sent[id]).Draw(t, "part")
				if part.Incarnation == incarnations[id.VM] { // the node checks this before
					require.True(t, k.receive(id.VM, part))
				}
			},
			"restart": func(t *rapid.T) {
				node := vm(rapid.IntRange(2, 50).Draw(t, "vm"))
				incarnations[node]++
				for id := range newest {
					if id.VM == node {
						delete(newest, id)
					}
				}
			},
			"write fails": func(t *rapid.T) { write(true, rapid.Bool().Draw(t, "effective")) },
			"write":       func(*rapid.T) { write(false, true) },
			"lease ends": func(*rapid.T) {
				lease++
				stored = map[string]string{}
			},
			"": func(t *rapid.T) {
				for write(false, true) > 0 {
				}
				for id, part := range newest {
					key := fmt.Sprintf("%s%s/%x/%x/%d", savedPrefix, id.VM, part.Incarnation, lease, id.Number)
					require.Equal(t, string(part.Value), stored[key])
				}
			},
		})
	})
}

func TestKeeperIsBounded(t *testing.T) {
	var k keeper
	refused := false
	for n := range 2 * maxKeptBytes / MaxSavedPart {
		refused = !k.receive(vm(n), savedPart{Incarnation: 1, Series: 1, Value: make([]byte, MaxSavedPart)}) || refused
		require.LessOrEqual(t, k.size, maxKeptBytes)
	}
	require.True(t, refused)
	k.forget(NewNodeTable(peer(1, model.RoleBalancer)))
	require.Zero(t, k.size, "no node of them is known")
	require.Empty(t, k.kept)
}

// balancers returns a table of an agent in zone "a" with live balancers in two zones.
func balancers(own, other int) *NodeTable {
	table := NewNodeTable(peer(1, model.RoleAgent))
	for n := range own + other {
		beat := heartbeat(100+n, model.RoleBalancer, 1, 1)
		if n >= own {
			beat.Peer.Zone = "b"
		}
		table.Receive(start, beat)
	}
	return table
}

func TestKeeperIsALiveBalancerOfTheOwnZone(t *testing.T) {
	table := balancers(3, 3)
	require.Equal(t, vm(100), table.keeper(start, nil))
	require.Equal(t, vm(101), table.keeper(start, map[netip.Addr]model.Instant{vm(100): 1}))
	require.Equal(t, vm(100), balancers(0, 3).keeper(start, nil), "none in the own zone")
	require.False(t, table.keeper(start.Add(time.Minute), nil).IsValid(), "none is live")
	starting := heartbeat(100, model.RoleBalancer, 1, 2)
	starting.State = StateStarting
	table.Receive(start, starting)
	require.Equal(t, vm(101), table.keeper(start, nil))
}

// Calls to the store must not grow with the number of agents: those of a zone share keepers.
func TestAgentsOfAZoneShareKeepers(t *testing.T) {
	for agents, most := range map[int]int{10: 1, 31: 1, 100: 4, 320: 10} {
		keepers := map[netip.Addr]bool{}
		for n := range agents {
			table := balancers(10, 10)
			table.self.VM = vm(1000 + n)
			for m := range agents {
				table.Add(start, peer(1000+m, model.RoleAgent))
			}
			keepers[table.keeper(start, nil)] = true
		}
		require.LessOrEqual(t, len(keepers), most, "%d agents", agents)
	}
}

// A keeper that does not acknowledge values is replaced, and chosen again some time later.
func TestSilentKeeperIsAvoidedForAWhile(t *testing.T) {
	table := balancers(2, 0)
	var s savedValue
	now := start
	first := s.chooseKeeper(table, now)
	s.keeper = first
	s.unacknowledged = maxUnacknowledged + 1
	second := s.chooseKeeper(table, now)
	require.NotEqual(t, first, second)
	s.keeper, s.series, s.missing, s.unacknowledged = second, 4, map[uint16]bool{0: true, 1: true}, maxUnacknowledged
	s.acknowledge(first, savedPart{Series: 4})
	require.Len(t, s.missing, 2, "an acknowledgement of another keeper")
	s.acknowledge(second, savedPart{Series: 3})
	require.Len(t, s.missing, 2, "an acknowledgement of an earlier value")
	s.acknowledge(second, savedPart{Series: 4, Number: 1})
	require.Equal(t, map[uint16]bool{0: true}, s.missing)
	require.Equal(t, second, s.chooseKeeper(table, now))
	now = now.Add(avoidTime)
	for _, beat := range []int{100, 101} {
		refreshed := heartbeat(beat, model.RoleBalancer, 1, 2)
		table.Receive(now, refreshed)
	}
	require.Equal(t, first, s.chooseKeeper(table, now))
}

func FuzzSavedPart(f *testing.F) {
	f.Add(appendSavedPart(nil, savedPart{Incarnation: 1, Series: 2, Number: 3, Value: []byte("x")}))
	f.Add([]byte(strings.Repeat("a", 2000)))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		if part, err := parseSavedPart(datagram); err == nil {
			require.Equal(t, datagram[1:], appendSavedPart(nil, part)[1:])
		}
	})
}
