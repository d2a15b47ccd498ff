package experiment

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlink/balsamlink/internal/balancer"
	"github.com/balsamlink/balsamlink/internal/fabric/proxyv2"
	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/steering"
	"github.com/balsamlink/balsamlink/internal/wire"
)

const (
	// relayGoroutines is the number of relaying goroutines, the same for the balancer
	// and the bare relay.
	relayGoroutines = 4
	// senders is the number of sockets that send continuously.
	senders = 2
	// sinkBuffer is the size of a socket's receive buffer, in bytes.
	sinkBuffer    = 8 << 20
	datagramsTime = 3 * time.Second
)

var (
	anyPort      = netip.MustParseAddrPort("127.0.0.1:0")
	relayKeys    = []model.SharedKey{{Secret: [model.SharedKeySize]byte{1}}}
	relayService = model.Service("memberdesk")
	relayAddress = netip.MustParseAddrPort("127.0.0.1:7443")
)

// compareDatagrams sends the same datagrams through the data path of one balancer
// and then through a bare relay, and compares the rates.
func compareDatagrams(ctx context.Context, env Env, result *Result) error {
	through, err := env.balancerRate(ctx)
	if err != nil {
		return err
	}
	bare, err := env.relayRate(ctx)
	if err != nil {
		return err
	}
	if bare == 0 {
		return Error.New("the bare relay forwarded no datagram")
	}
	result.AtLeast("datagrams_per_second_share", through/bare, minDatagramShare)
	result.Info("balancer_datagrams_per_second", through)
	result.Info("bare_datagrams_per_second", bare)
	return nil
}

// alwaysFresh treats the balancer's state as fresh at any time.
type alwaysFresh struct{}

func (alwaysFresh) Fresh(model.Instant) bool { return true }

// balancerRate returns the datagrams per second that one balancer forwards.
func (e Env) balancerRate(ctx context.Context) (float64, error) {
	receiver, err := listenSink()
	if err != nil {
		return 0, err
	}
	defer receiver.close()
	sources, err := openSources()
	if err != nil {
		return 0, err
	}
	defer sources.close()
	plugin, forwarder, err := startForwarder(sources)
	if err != nil {
		return 0, err
	}
	defer forwarder.Stop()
	defer plugin.Stop()
	packet, err := relayedPacket(receiver.addr())
	if err != nil {
		return 0, err
	}
	return e.rate(ctx, sources, plugin.Addr(), packet, receiver), nil
}

func startForwarder(sources sources) (*proxyv2.ProxyV2, *balancer.Forwarder, error) {
	sealer, err := steering.NewSealer(relayKeys)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	settings, err := json.Marshal(proxyv2.Settings{Listen: anyPort, Fabric: sources.addresses()})
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	plugin := &proxyv2.ProxyV2{}
	if err := plugin.Provision(kernel.Env{}, settings); err != nil {
		return nil, nil, Error.Wrap(err)
	}
	if err := plugin.Start(context.Background()); err != nil {
		return nil, nil, Error.Wrap(err)
	}
	forwarder, err := balancer.NewForwarder(balancer.ForwarderConfig{
		Fabric: plugin, DataAddress: anyPort, Freshness: alwaysFresh{}, Keys: relayKeys, Zone: "a",
		Services: map[model.Service]netip.AddrPort{relayService: relayAddress},
	})
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	forwarder.SetTable(steering.NewTable(steering.Input{Services: []model.Service{relayService}, Sealer: sealer}))
	forwarder.Start(relayGoroutines)
	return plugin, forwarder, nil
}

// relayRate returns the datagrams per second that a bare relay forwards with the
// same reads and writes as the balancer.
func (e Env) relayRate(ctx context.Context) (float64, error) {
	receiver, err := listenSink()
	if err != nil {
		return 0, err
	}
	defer receiver.close()
	sources, err := openSources()
	if err != nil {
		return 0, err
	}
	defer sources.close()
	in, err := listenUDP()
	if err != nil {
		return 0, err
	}
	out, err := listenUDP()
	if err != nil {
		return 0, err
	}
	var relays sync.WaitGroup
	for range relayGoroutines {
		relays.Go(func() { relay(in, out, receiver.addr()) })
	}
	packet, err := relayedPacket(receiver.addr())
	if err != nil {
		return 0, err
	}
	rate := e.rate(ctx, sources, in.LocalAddr().(*net.UDPAddr).AddrPort(), packet, receiver)
	in.Close()
	relays.Wait()
	return rate, Error.Wrap(out.Close())
}

func relay(in, out *net.UDPConn, to netip.AddrPort) {
	buffer := make([]byte, 2*datagramSize)
	for {
		n, _, err := in.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		out.WriteToUDPAddrPort(buffer[:n], to)
	}
}

// relayedPacket returns a datagram in the fabric's format that belongs to an
// established flow of the given agent.
func relayedPacket(agent netip.AddrPort) ([]byte, error) {
	sealer, err := steering.NewSealer(relayKeys)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var id [steering.ConnectionIDSize]byte
	location := steering.Location{Agent: agent, Zone: model.Zone("a").Tag(), Service: relayService.Tag()}
	if err := sealer.Seal(&id, location, 1, 0); err != nil {
		return nil, Error.Wrap(err)
	}
	header := wire.ProxyHeader{Source: netip.MustParseAddrPort("127.0.0.1:9"), Destination: relayAddress}
	packet := wire.AppendProxy(nil, header)
	packet = append(packet, 0x40)
	packet = append(packet, id[:]...)
	return append(packet, make([]byte, datagramSize-len(packet))...), nil
}

// rate sends copies of a datagram continuously and returns how many per second
// reach the sink.
func (e Env) rate(ctx context.Context, sources sources, to netip.AddrPort, packet []byte, receiver *sink) float64 {
	ctx, cancel := context.WithTimeout(ctx, e.scaled(datagramsTime))
	defer cancel()
	var sending sync.WaitGroup
	begin := time.Now()
	for _, socket := range sources {
		sending.Go(func() {
			for ctx.Err() == nil {
				socket.WriteToUDPAddrPort(packet, to)
			}
		})
	}
	sending.Wait()
	return float64(receiver.count.Load()) / time.Since(begin).Seconds()
}

// sources holds the sockets that send the datagrams.
type sources []*net.UDPConn

func openSources() (sources, error) {
	var opened sources
	for range senders {
		socket, err := listenUDP()
		if err != nil {
			opened.close()
			return nil, err
		}
		opened = append(opened, socket)
	}
	return opened, nil
}

func (s sources) addresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, socket := range s {
		addresses = append(addresses, socket.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	return addresses
}

func (s sources) close() {
	for _, socket := range s {
		socket.Close()
	}
}

// sink counts the datagrams that its socket receives.
type sink struct {
	socket *net.UDPConn
	count  atomic.Int64
}

func listenSink() (*sink, error) {
	socket, err := listenUDP()
	if err != nil {
		return nil, err
	}
	s := &sink{socket: socket}
	go s.read()
	return s, nil
}

func (s *sink) addr() netip.AddrPort { return s.socket.LocalAddr().(*net.UDPAddr).AddrPort() }

func (s *sink) close() { s.socket.Close() }

func (s *sink) read() {
	buffer := make([]byte, 2*datagramSize)
	for {
		if _, _, err := s.socket.ReadFromUDPAddrPort(buffer); err != nil {
			return
		}
		s.count.Add(1)
	}
}

func listenUDP() (*net.UDPConn, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(anyPort))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	socket.SetReadBuffer(sinkBuffer)
	return socket, nil
}
