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

// manyAgents returns a bench with a number of agents in two zones.
func manyAgents(count int) *bench {
	var agents []*flowsteer.Agent
	for n := range count {
		zone := here
		if n%2 == 1 {
			zone = there
		}
		agents = append(agents, agent(n, zone, feed))
	}
	return newBench(agents...)
}

// BenchmarkKnownFlow is the decision on most packets.
func BenchmarkKnownFlow(b *testing.B) {
	w := manyAgents(54)
	w.table.FlowHeld(w.now, data(1).KeyFromClient(), vm(3))
	b.ReportAllocs()
	for b.Loop() {
		w.client(data(1))
	}
}

// BenchmarkNewFlow is the decision on an opening packet.
func BenchmarkNewFlow(b *testing.B) {
	for _, count := range []int{11, 54, 200} {
		b.Run(strconv.Itoa(count)+"agents", func(b *testing.B) {
			w := manyAgents(count)
			w.table = flowsteer.NewTable(flowsteer.Limits{MaxFlows: 1 << 30, MaxLifetime: time.Minute}, start)
			w.show()
			for n := 0; b.Loop(); n++ {
				w.client(flow.Packet{
					Source: flow.Endpoint{IP: [4]byte{100, byte(n >> 16), byte(n >> 8), byte(n)}, Port: uint16(n >> 24)}, Destination: feedAddress,
					Flags: flow.Open,
				})
			}
		})
	}
}

// A steered packet needs no memory, so that the garbage collector does not run
// more often the more packets come.
func TestSteeredPacketNeedsNoMemory(t *testing.T) {
	w := manyAgents(54)
	w.table.FlowHeld(w.now, data(1).KeyFromClient(), vm(3))
	require.Zero(t, testing.AllocsPerRun(1000, func() { w.client(data(1)) }))
}

// The bound of the table counts on this much memory for a flow.
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
	each := int(after.HeapAlloc-before.HeapAlloc) / flows
	t.Logf("%d bytes for each flow", each)
	require.Less(t, each, 400)
	require.Equal(t, flows, table.Size())
}
