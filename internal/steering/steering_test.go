package steering

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamlink/balsamlink/internal/model"
)

var (
	zones    = []model.Zone{"a", "b", "c"}
	services = []model.Service{"booking-feed", "map-store"}
)

func newTestSealer(t require.TestingT) *Sealer {
	s, err := NewSealer([]model.SharedKey{{Number: 2, Secret: [model.SharedKeySize]byte{1}}})
	require.NoError(t, err)
	return s
}

func agentAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7000)
}

// drawTargets draws agents at distinct addresses in any state.
func drawTargets(t *rapid.T, maxTargets int) []Target {
	count := rapid.IntRange(0, maxTargets).Draw(t, "targets")
	targets := make([]Target, 0, count)
	for n := range count {
		targets = append(targets, Target{
			Node:         model.NodeID(fmt.Sprintf("agent-%d", n)),
			Service:      rapid.SampledFrom(services).Draw(t, "service"),
			Zone:         rapid.SampledFrom(zones).Draw(t, "zone"),
			Agent:        agentAddr(n),
			Weight:       rapid.SampledFrom([]uint16{0, 1, 5, 8}).Draw(t, "weight"),
			Running:      rapid.IntRange(0, 3).Draw(t, "running") > 0,
			OutOfService: rapid.IntRange(0, 3).Draw(t, "out") == 0,
		})
	}
	return targets
}

func drawInput(t *rapid.T) Input {
	return Input{
		Services: services,
		Targets:  drawTargets(t, 12),
		Refusing: []netip.AddrPort{agentAddr(rapid.IntRange(0, 15).Draw(t, "refusing"))},
		ZonesOut: rapid.SliceOfNDistinct(rapid.SampledFrom(zones), 0, 2, rapid.ID).Draw(t, "zones out"),
		Sealer:   newTestSealer(t),
	}
}

func shortPacket(id []byte) []byte {
	return append(append([]byte{0x40}, id...), "payload"...)
}

func longPacket(id []byte) []byte {
	packet := []byte{0xc0, 0, 0, 0, 1, byte(len(id))}
	return append(append(packet, id...), "payload"...)
}

// issue returns a connection ID as the target's agent would issue it.
func issue(t require.TestingT, target Target, counter uint32) []byte {
	var id [ConnectionIDSize]byte
	location := Location{Agent: target.Agent, Zone: target.Zone.Tag(), Service: target.Service.Tag()}
	require.NoError(t, newTestSealer(t).Seal(&id, location, counter, 0x42))
	return id[:]
}

// An established packet goes to the agent that issued its connection ID, unless that
// agent is known to have ended or to refuse datagrams, its address is known to belong to
// another service, or its zone is out of service. In these cases the packet must go to
// another agent or be dropped.
func TestEstablishedPacketsGoToTheirAgentInEveryView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		input := drawInput(t)
		table := NewTable(input)
		owner := Target{
			Service: rapid.SampledFrom(services).Draw(t, "owner's service"),
			Zone:    rapid.SampledFrom(zones).Draw(t, "owner's zone"),
			Agent:   agentAddr(rapid.IntRange(0, 15).Draw(t, "owner")),
		}
		id := issue(t, owner, rapid.Uint32().Draw(t, "counter"))
		decision := table.Steer(owner.Service.Tag(), shortPacket(id), &Scratch{})

		orphaned := slices.Contains(input.ZonesOut, owner.Zone) || slices.Contains(input.Refusing, owner.Agent)
		for _, target := range input.Targets {
			if target.Agent == owner.Agent && (!target.Running || target.Service != owner.Service) {
				orphaned = true
			}
		}
		if !orphaned {
			require.Equal(t, Decision{Verdict: VerdictEstablished, Agent: owner.Agent}, decision)
			return
		}
		require.NotEqual(t, VerdictEstablished, decision.Verdict)
		requireAcceptsFlows(t, input, owner.Service, decision.Agent)
	})
}

// requireAcceptsFlows checks that an agent that gets packets of other flows than its own
// belongs to the service, runs, and is not out of service.
func requireAcceptsFlows(t require.TestingT, input Input, service model.Service, agent netip.AddrPort) {
	if !agent.IsValid() {
		return
	}
	for _, target := range input.Targets {
		if target.Agent != agent {
			continue
		}
		require.Equal(t, service, target.Service)
		require.True(t, target.Running && !target.OutOfService && target.Weight > 0)
		require.NotContains(t, input.Refusing, agent)
		require.NotContains(t, input.ZonesOut, target.Zone)
		return
	}
	require.Fail(t, "agent is not in the view", agent)
}

// A packet of a new flow goes to an agent of its service that accepts new flows. The
// alternate is another such agent.
func TestFirstPacketsGoToOpenAgentsOfTheirService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		input := drawInput(t)
		service := rapid.SampledFrom(services).Draw(t, "service")
		id := rapid.SliceOfN(rapid.Byte(), minInitialIDLength, 20).Draw(t, "id")
		decision := NewTable(input).Steer(service.Tag(), longPacket(id), &Scratch{})
		requireAcceptsFlows(t, input, service, decision.Agent)
		requireAcceptsFlows(t, input, service, decision.Alternate)
		if decision.Alternate.IsValid() {
			require.NotEqual(t, decision.Agent, decision.Alternate)
		}

		accepting := 0
		for _, target := range input.Targets {
			if target.Service == service && target.Running && !target.OutOfService && target.Weight > 0 &&
				!slices.Contains(input.ZonesOut, target.Zone) && !slices.Contains(input.Refusing, target.Agent) {
				accepting++
			}
		}
		require.Equal(t, accepting > 0, decision.Verdict == VerdictNewFlow)
		require.Equal(t, accepting > 1, decision.Alternate.IsValid())

		// Another balancer with the same view in another order must decide the same.
		shuffled := rapid.Permutation(input.Targets).Draw(t, "shuffled")
		input.Targets = shuffled
		require.Equal(t, decision, NewTable(input).Steer(service.Tag(), longPacket(id), &Scratch{}))
	})
}

// A connection ID is unknown at another service than the one that it was issued for, and
// when a bit of its encrypted block was changed.
func TestForgedAndForeignIDsAreUnknown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		input := drawInput(t)
		table := NewTable(input)
		own := Target{Service: services[0], Zone: "a", Agent: agentAddr(1)}
		id := issue(t, own, 7)
		require.Equal(t, VerdictUnknownID, table.Steer(services[1].Tag(), shortPacket(id), &Scratch{}).Verdict)
		bit := rapid.IntRange(8, ConnectionIDSize*8-1).Draw(t, "bit")
		id[bit/8] ^= 1 << (bit % 8)
		require.Equal(t, VerdictUnknownID, table.Steer(services[0].Tag(), shortPacket(id), &Scratch{}).Verdict)
	})
}

// The second issuer stands for an earlier run of the agent at the same address: it has
// the same location and another start of the counter.
func TestIssuerRecognizesItsOwnIDs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		location := Location{Agent: agentAddr(1), Zone: zones[0].Tag(), Service: services[0].Tag()}
		start := rapid.SampledFrom([]uint32{0, 7, math.MaxUint32 - 3}).Draw(t, "start")
		randomByte := func() byte { return rapid.Byte().Draw(t, "octet") }
		current := NewIssuer(newTestSealer(t), location, start, randomByte)
		previous := NewIssuer(newTestSealer(t), location, start+1000, randomByte)
		for range rapid.IntRange(1, 10).Draw(t, "ids") {
			id, err := current.Next()
			require.NoError(t, err)
			require.True(t, current.Issued(id[:], &Scratch{}))
			old, err := previous.Next()
			require.NoError(t, err)
			require.False(t, current.Issued(old[:], &Scratch{}))
		}
	})
}

// Each target must get a share of the Maglev slots in proportion to its weight, within 5 %
// and two slots.
func TestSharesFollowWeights(t *testing.T) {
	var targets []Target
	total := 0
	for n := range 20 {
		weight := uint16(1 + n%8)
		total += int(weight)
		targets = append(targets, Target{Node: model.NodeID(fmt.Sprint(n)), Agent: agentAddr(n), Weight: weight})
	}
	table := newMaglevTable(targets)
	shares := map[model.NodeID]int{}
	for _, slot := range table.slots {
		shares[table.targets[slot].Node]++
	}
	for _, target := range targets {
		want := float64(len(table.slots)) * float64(target.Weight) / float64(total)
		require.LessOrEqual(t, math.Abs(float64(shares[target.Node])-want), want*0.05+2, "%s", target.Node)
	}
}

// No packet may cause a panic, or go to an agent that is not in the table.
func FuzzSteer(f *testing.F) {
	target := Target{Node: "a", Service: services[0], Zone: "a", Agent: agentAddr(1), Weight: 1, Running: true}
	table := NewTable(Input{Services: services, Targets: []Target{target}, Sealer: newTestSealer(f)})
	f.Add(shortPacket(issue(f, target, 1)))
	f.Add(longPacket([]byte("12345678")))
	f.Add([]byte{0x80})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, packet []byte) {
		decision := table.Steer(services[0].Tag(), packet, &Scratch{})
		if decision.Agent.IsValid() {
			require.Equal(t, target.Agent, decision.Agent)
		}
	})
}

func BenchmarkSteerEstablished(b *testing.B) {
	for _, count := range []int{10, 500, 5000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) { benchmarkSteer(b, count, true) })
	}
}

func BenchmarkSteerFirst(b *testing.B) {
	for _, count := range []int{10, 500, 5000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) { benchmarkSteer(b, count, false) })
	}
}

func benchmarkSteer(b *testing.B, count int, established bool) {
	input := Input{Services: services[:1], Sealer: newTestSealer(b)}
	for n := range count {
		input.Targets = append(input.Targets, Target{
			Node: model.NodeID(fmt.Sprint(n)), Service: services[0], Zone: "a", Agent: agentAddr(n), Weight: 8, Running: true,
		})
	}
	table := NewTable(input)
	packets := make([][]byte, 1024)
	for n := range packets {
		id := issue(b, input.Targets[n%count], uint32(n))
		packets[n] = shortPacket(id)
		if !established {
			id[0] ^= byte(n)
			packets[n] = longPacket(append(id[1:9], byte(n), byte(n>>8)))
		}
	}
	tag := services[0].Tag()
	b.ReportAllocs()
	scratch := &Scratch{}
	n := 0
	for b.Loop() {
		if table.Steer(tag, packets[n%len(packets)], scratch).Verdict == 0 {
			b.Fatal("no verdict")
		}
		n++
	}
}

// BenchmarkNewTable builds a table of the size that the system is designed for: 4,700
// targets of 1,400 services.
func BenchmarkNewTable(b *testing.B) {
	input := Input{Sealer: newTestSealer(b)}
	for n := range 1400 {
		input.Services = append(input.Services, model.Service(fmt.Sprintf("service-%d", n)))
	}
	for n := range 4700 {
		input.Targets = append(input.Targets, Target{
			Node: model.NodeID(fmt.Sprintf("agent-%d", n)), Service: input.Services[n%1400],
			Zone: zones[n%3], Agent: agentAddr(n), Weight: 8, Running: true,
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		NewTable(input)
	}
}

// Connection IDs of flows that began under an old key can be decrypted until that key
// is removed. Only the key number in the ID selects the key.
func TestRotationOfConnectionIDKeys(t *testing.T) {
	oldKey := model.SharedKey{Number: 0, Secret: [model.SharedKeySize]byte{1}}
	newKey := model.SharedKey{Number: 3, Secret: [model.SharedKeySize]byte{2}}
	location := Location{Agent: agentAddr(1), Zone: zones[0].Tag(), Service: services[0].Tag()}
	stages := [][]model.SharedKey{{oldKey}, {oldKey, newKey}, {newKey, oldKey}, {newKey}}
	var scratch Scratch
	for _, from := range stages {
		encrypter, err := NewSealer(from)
		require.NoError(t, err)
		for randomByte := range 256 {
			var id [ConnectionIDSize]byte
			require.NoError(t, encrypter.Seal(&id, location, uint32(randomByte), byte(randomByte)))
			for _, to := range stages {
				decrypter, err := NewSealer(to)
				require.NoError(t, err)
				got, valid := decrypter.Open(id[:], location.Service, &scratch)
				require.Equal(t, slices.Contains(to, from[0]), valid)
				require.True(t, !valid || got == location)
			}
		}
	}
	_, err := NewSealer(nil)
	require.Error(t, err)
}
