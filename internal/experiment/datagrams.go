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
	// sourceCount is the number of sockets that send datagrams continuously.
	sourceCount = 2
	// receiveBufferSize is the size of each socket's receive buffer, in bytes.
	receiveBufferSize = 8 << 20
	// datagramRunTime is how long datagrams are sent on each of the two paths.
	datagramRunTime = 3 * time.Second
)

var (
	anyLoopbackPort = netip.MustParseAddrPort("127.0.0.1:0")
	relayKeys       = []model.SharedKey{{Secret: [model.SharedKeySize]byte{1}}}
	relayService    = model.Service("memberdesk")
	relayAddress    = netip.MustParseAddrPort("127.0.0.1:7443")
)

// compareDatagrams sends the same datagrams through the data path of one balancer
// and then through a bare relay, and compares the rates.
func compareDatagrams(ctx context.Context, env Env, result *Result) error {
	viaBalancer, err := env.balancerRate(ctx)
	if err != nil {
		return err
	}
	viaBareRelay, err := env.bareRelayRate(ctx)
	if err != nil {
		return err
	}
	if viaBareRelay == 0 {
		return Error.New("the bare relay forwarded no datagram")
	}
	result.AtLeast("datagrams_per_second_share", viaBalancer/viaBareRelay, minDatagramShare)
	result.Info("balancer_datagrams_per_second", viaBalancer)
	result.Info("bare_datagrams_per_second", viaBareRelay)
	return nil
}

// alwaysFresh is a freshness check for a balancer without control plane: its state
// counts as fresh at any time.
type alwaysFresh struct{}

func (alwaysFresh) Fresh(model.Instant) bool { return true }

// balancerRate returns the datagrams per second that one balancer forwards.
func (e Env) balancerRate(ctx context.Context) (float64, error) {
	sink, err := listenSink()
	if err != nil {
		return 0, err
	}
	defer sink.close()
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
	datagram, err := establishedFlowDatagram(sink.addr())
	if err != nil {
		return 0, err
	}
	return e.datagramRate(ctx, sources, plugin.Addr(), datagram, sink), nil
}

// startForwarder starts the data path of a balancer that accepts datagrams from the
// sources as if they were the fabric. Its table has no targets: the datagrams belong
// to established flows, whose connection IDs contain the agent's address.
func startForwarder(sources sourceSockets) (*proxyv2.ProxyV2, *balancer.Forwarder, error) {
	sealer, err := steering.NewSealer(relayKeys)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	settings, err := json.Marshal(proxyv2.Settings{Listen: anyLoopbackPort, Fabric: sources.addresses()})
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
		Fabric: plugin, DataAddress: anyLoopbackPort, Freshness: alwaysFresh{}, Keys: relayKeys, Zone: "a",
		Services: map[model.Service]netip.AddrPort{relayService: relayAddress},
	})
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	forwarder.SetTable(steering.NewTable(steering.Input{Services: []model.Service{relayService}, Sealer: sealer}))
	forwarder.Start(relayGoroutines)
	return plugin, forwarder, nil
}

// bareRelayRate returns the datagrams per second that a bare relay forwards with the
// same reads and writes as the balancer.
func (e Env) bareRelayRate(ctx context.Context) (float64, error) {
	sink, err := listenSink()
	if err != nil {
		return 0, err
	}
	defer sink.close()
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
		relays.Go(func() { relay(in, out, sink.addr()) })
	}
	datagram, err := establishedFlowDatagram(sink.addr())
	if err != nil {
		return 0, err
	}
	rate := e.datagramRate(ctx, sources, in.LocalAddr().(*net.UDPAddr).AddrPort(), datagram, sink)
	in.Close()
	relays.Wait()
	return rate, Error.Wrap(out.Close())
}

// relay forwards all datagrams received on in to an address until in is closed.
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

// establishedFlowDatagram returns a datagram in the fabric's format that belongs to an
// established flow of the given agent. After the PROXY header comes the first byte of
// a QUIC short header, in which only the fixed bit is set, and the connection ID.
func establishedFlowDatagram(agent netip.AddrPort) ([]byte, error) {
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
	datagram := wire.AppendProxy(nil, header)
	datagram = append(datagram, 0x40)
	datagram = append(datagram, id[:]...)
	return append(datagram, make([]byte, datagramSize-len(datagram))...), nil
}

// datagramRate sends copies of a datagram continuously from all sources to an address
// and returns how many per second reach the sink.
func (e Env) datagramRate(ctx context.Context, sources sourceSockets, to netip.AddrPort, datagram []byte, sink *countingSink) float64 {
	ctx, cancel := context.WithTimeout(ctx, e.scaled(datagramRunTime))
	defer cancel()
	var sending sync.WaitGroup
	started := time.Now()
	for _, socket := range sources {
		sending.Go(func() {
			for ctx.Err() == nil {
				socket.WriteToUDPAddrPort(datagram, to)
			}
		})
	}
	sending.Wait()
	return float64(sink.count.Load()) / time.Since(started).Seconds()
}

// sourceSockets holds the sockets that send the datagrams.
type sourceSockets []*net.UDPConn

func openSources() (sourceSockets, error) {
	var opened sourceSockets
	for range sourceCount {
		socket, err := listenUDP()
		if err != nil {
			opened.close()
			return nil, err
		}
		opened = append(opened, socket)
	}
	return opened, nil
}

func (s sourceSockets) addresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, socket := range s {
		addresses = append(addresses, socket.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	return addresses
}

func (s sourceSockets) close() {
	for _, socket := range s {
		socket.Close()
	}
}

// countingSink counts the datagrams that its socket receives.
type countingSink struct {
	socket *net.UDPConn
	count  atomic.Int64
}

func listenSink() (*countingSink, error) {
	socket, err := listenUDP()
	if err != nil {
		return nil, err
	}
	s := &countingSink{socket: socket}
	go s.read()
	return s, nil
}

func (s *countingSink) addr() netip.AddrPort { return s.socket.LocalAddr().(*net.UDPAddr).AddrPort() }

func (s *countingSink) close() { s.socket.Close() }

func (s *countingSink) read() {
	buffer := make([]byte, 2*datagramSize)
	for {
		if _, _, err := s.socket.ReadFromUDPAddrPort(buffer); err != nil {
			return
		}
		s.count.Add(1)
	}
}

func listenUDP() (*net.UDPConn, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(anyLoopbackPort))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	socket.SetReadBuffer(receiveBufferSize)
	return socket, nil
}
