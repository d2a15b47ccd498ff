package flowsteer_test

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/flowsteer"
	"github.com/balsamlink/balsamlink/internal/model"
)

// manyAgents returns a harness with count agents in two zones.
func manyAgents(count int) *harness {
	var agents []*flowsteer.Agent
	for n := range count {
		zone := localZone
		if n%2 == 1 {
			zone = remoteZone
		}
		agents = append(agents, agent(n, zone, feed))
	}
	return newHarness(agents...)
}

// BenchmarkKnownFlow measures the decision on a packet of a known flow, the most
// frequent case.
func BenchmarkKnownFlow(b *testing.B) {
	h := manyAgents(54)
	h.table.FlowHeld(h.now, data(1).KeyFromClient(), vm(3))
	b.ReportAllocs()
	for b.Loop() {
		h.fromClient(data(1))
	}
}

// BenchmarkNewFlow measures the decision on an opening packet.
func BenchmarkNewFlow(b *testing.B) {
	for _, count := range []int{11, 54, 200} {
		b.Run(strconv.Itoa(count)+"agents", func(b *testing.B) {
			h := manyAgents(count)
			h.table = flowsteer.NewTable(flowsteer.Limits{MaxFlows: 1 << 30, MaxLifetime: time.Minute}, start)
			h.publishView()
			for n := 0; b.Loop(); n++ {
				h.fromClient(flow.Packet{
					Source: flow.Endpoint{IP: [4]byte{100, byte(n >> 16), byte(n >> 8), byte(n)}, Port: uint16(n >> 24)}, Destination: feedAddress,
					Flags: flow.Open,
				})
			}
		})
	}
}

// A decision on a known flow's packet must not allocate, so that the rate of garbage
// collections does not grow with the packet rate.
func TestKnownFlowDoesNotAllocate(t *testing.T) {
	h := manyAgents(54)
	h.table.FlowHeld(h.now, data(1).KeyFromClient(), vm(3))
	require.Zero(t, testing.AllocsPerRun(1000, func() { h.fromClient(data(1)) }))
}

// Package packetlb computes the table's maximum number of flows from the process's memory
// at 400 bytes per flow. If a record grew, the process would exceed its memory.
func TestTableMemory(t *testing.T) {
	const flows = 100_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := flowsteer.NewTable(flowsteer.Limits{MaxFlows: flows, MaxLifetime: time.Minute}, start)
	for n := range flows {
		key := flow.Key{Client: flow.Endpoint{IP: [4]byte{100, byte(n >> 16), byte(n >> 8), byte(n)}}, Service: feedAddress}
		table.FlowHeld(model.Instant(time.Hour), key, vm(1))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytesPerFlow := int(after.HeapAlloc-before.HeapAlloc) / flows
	t.Logf("%d bytes per flow", bytesPerFlow)
	require.Less(t, bytesPerFlow, 400)
	require.Equal(t, flows, table.Size())
}
