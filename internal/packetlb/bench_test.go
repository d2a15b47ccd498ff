package packetlb

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/flowsteer"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/observe"
	"github.com/balsamlink/balsamlink/internal/packetnode"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/routing"
	"github.com/balsamlink/balsamlink/internal/underlay"
	adapter "github.com/balsamlink/balsamlink/platform"
	"github.com/balsamlink/balsamlink/platform/wire"
)

// unavailableUnderlay is an underlay whose store fails every call.
type unavailableUnderlay struct{ underlay.Underlay }

func (unavailableUnderlay) Codec() flow.Codec              { return adapter.Header{} }
func (unavailableUnderlay) Store() platform.VerifyingStore { return unavailableStore{} }
func (unavailableUnderlay) StateReader([]model.Zone) underlay.StateReader {
	return unavailableStateReader{}
}

type unavailableStore struct{ platform.VerifyingStore }

func (unavailableStore) Snapshot(context.Context, string, bool) (platform.PrefixState, error) {
	return platform.PrefixState{}, platform.ErrUnavailable
}

func (unavailableStore) Grant(context.Context, time.Duration) (platform.LeaseID, error) {
	return 0, platform.ErrUnavailable
}

type unavailableStateReader struct{ underlay.StateReader }

func (unavailableStateReader) Read(context.Context, bool) (routing.Document, error) {
	return routing.Document{}, platform.ErrUnavailable
}

// packetPath is a balancer with real sockets, a client's socket, and a socket
// in place of an agent. The field arrived counts the packets at the agent.
type packetPath struct {
	balancer *balancer
	client   *net.UDPConn
	agent    *net.UDPConn
	arrived  atomic.Int64
}

var (
	balancerVM = netip.MustParseAddr("127.83.0.1")
	agentVM    = netip.MustParseAddr("127.83.0.2")
	service    = flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
)

func newPacketPath(tb testing.TB) *packetPath {
	listen := func(address string) *net.UDPConn {
		socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address)))
		require.NoError(tb, err)
		require.NoError(tb, socket.SetReadBuffer(socketBuffer))
		tb.Cleanup(func() { socket.Close() })
		return socket
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	settings := packetnode.Settings{VM: balancerVM, Zone: "a", Zones: []model.Zone{"a"}, Ports: []uint16{19401, 19402}}
	metricSet := observe.NewMetricSet()
	b := &balancer{settings: settings, log: log, codec: adapter.Header{}, fabricSocket: listen("127.83.0.1:0")}
	b.table = flowsteer.NewTable(flowsteer.Limits{MaxFlows: 1 << 20, MaxLifetime: time.Minute}, model.Now())
	b.metrics = newMetrics(metricSet, log, b.flows)
	view := &flowsteer.View{Zone: "a", Agents: map[netip.Addr]*flowsteer.Agent{
		agentVM: {VM: agentVM, State: flowsteer.AgentOpen, LastHeartbeat: model.Now(), HeartbeatInterval: time.Hour},
	}}
	b.table.SetView(view, nil)
	b.view.Store(&trafficView{steering: view})
	b.node = packetnode.New(packetnode.Config{
		Settings: settings, Role: model.RoleBalancer, Underlay: unavailableUnderlay{}, Metrics: metricSet, Log: log,
		OnUpdate: func(model.Instant, packetnode.Update) {},
	})
	require.NoError(tb, b.node.Start(tb.Context()))
	tb.Cleanup(func() { require.NoError(tb, b.node.Stop()) })
	path := &packetPath{balancer: b, client: listen("127.83.0.3:0"), agent: listen("127.83.0.2:19401")}
	go path.countArrivals()
	return path
}

// countArrivals counts the packets that reach the agent.
func (p *packetPath) countArrivals() {
	buffer := make([]byte, packetnode.MaxDatagram)
	for {
		if _, _, err := p.agent.ReadFromUDPAddrPort(buffer); errors.Is(err, net.ErrClosed) {
			return
		}
		p.arrived.Add(1)
	}
}

// clientPacket returns a client's packet with 100 bytes of data, and its flow.
func clientPacket(port uint16) ([]byte, flow.Key) {
	const length = 100
	key := flow.Key{Client: flow.Endpoint{IP: [4]byte{127, 83, 0, 3}, Port: port}, Service: service}
	packet := make([]byte, wire.HeaderSize+length)
	packet[wire.OffsetLength+1] = length
	packet[wire.OffsetFlags] = wire.FlagAck
	wire.PutEndpoints(packet, key.Client.IP, key.Client.Port, key.Service.IP, key.Service.Port)
	return packet, key
}

// processCPUTime returns the CPU time that the process has used.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkPacket measures the path from the fabric's socket to the agent's VM
// with a fixed number of packets in flight, which the names of the sub-benchmarks
// give as "underway". The CPU time includes the sender and the receiver; the
// "direct" variant measures their share alone.
func BenchmarkPacket(b *testing.B) {
	for _, variant := range []string{"direct", "balancer"} {
		for _, window := range []int{1, 8, 64} {
			b.Run(variant+"/"+strconv.Itoa(window)+"underway", func(b *testing.B) { benchmarkPacket(b, variant, window) })
		}
	}
}

func benchmarkPacket(b *testing.B, variant string, window int) {
	path := newPacketPath(b)
	lb := path.balancer
	packet, key := clientPacket(4000)
	lb.table.FlowHeld(model.Now(), key, agentVM)
	to := lb.fabricSocket.LocalAddr().(*net.UDPAddr).AddrPort()
	switch variant {
	case "direct":
		to = path.agent.LocalAddr().(*net.UDPAddr).AddrPort()
	case "balancer":
		go lb.readClientPackets()
	}
	b.ReportAllocs()
	used := processCPUTime()
	sent := int64(0)
	for b.Loop() {
		for sent-path.arrived.Load() >= int64(window) {
			syscall.Syscall(syscall.SYS_SCHED_YIELD, 0, 0, 0)
		}
		if _, err := path.client.WriteToUDPAddrPort(packet, to); err != nil {
			b.Fatal(err)
		}
		sent++
	}
	b.ReportMetric(float64((processCPUTime()-used).Nanoseconds())/float64(sent), "cpu-ns/op")
}
