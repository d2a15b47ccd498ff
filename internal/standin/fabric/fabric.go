// Package fabric is a stand-in for the network fabric. It forwards each datagram
// of a caller to a randomly chosen balancer, with a PROXY protocol header, and
// returns the balancers' datagrams to the callers.
package fabric

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("standin fabric")

const (
	// maxDatagramSize is the maximum size of a datagram, in bytes.
	maxDatagramSize = 2048
	// socketBufferSize is the size of each socket's receive and send buffer, in bytes.
	socketBufferSize = 4 << 20
)

// Config configures a Fabric.
type Config struct {
	// Listen is the UDP address that balancers send their datagrams for callers to.
	Listen netip.AddrPort
	// Services are the UDP addresses that callers send to.
	Services []netip.AddrPort
	// Balancers are the UDP addresses that datagrams are sprayed over: each datagram
	// goes to one of them, chosen at random.
	Balancers []netip.AddrPort
	// Delay is the one-way delay of each datagram.
	Delay time.Duration
	// Seed seeds the random choice of balancers. The same order of datagrams gives
	// the same choices.
	Seed uint64
}

// Fabric is a running stand-in fabric.
type Fabric struct {
	config Config
	// returnSocket exchanges datagrams with the balancers.
	returnSocket *net.UDPConn
	// serviceSockets exchange datagrams with callers, by the service's address.
	serviceSockets map[netip.AddrPort]*net.UDPConn
	balancers      atomic.Pointer[[]netip.AddrPort]
	forwarders     sync.WaitGroup

	mu sync.Mutex
	// random chooses balancers.
	random *rand.Rand

	// Sprayed counts datagrams to balancers, Returned those to callers.
	Sprayed  atomic.Uint64
	Returned atomic.Uint64
}

// Start opens all sockets and starts to forward datagrams.
func Start(config Config) (*Fabric, error) {
	f := &Fabric{
		config:         config,
		serviceSockets: map[netip.AddrPort]*net.UDPConn{},
		random:         rand.New(rand.NewPCG(config.Seed, config.Seed)),
	}
	f.SetBalancers(config.Balancers)
	returnSocket, err := listen(config.Listen)
	if err != nil {
		return nil, err
	}
	f.returnSocket = returnSocket
	for _, service := range config.Services {
		socket, err := listen(service)
		if err != nil {
			f.Stop()
			return nil, err
		}
		f.serviceSockets[addrOf(socket)] = socket
	}
	f.forwarders.Go(f.returnDatagrams)
	for service, socket := range f.serviceSockets {
		f.forwarders.Go(func() { f.spray(service, socket) })
	}
	return f, nil
}

// Addr returns the UDP address that balancers send their datagrams for callers to.
func (f *Fabric) Addr() netip.AddrPort { return addrOf(f.returnSocket) }

// Services returns the UDP addresses that callers send to, sorted.
func (f *Fabric) Services() []netip.AddrPort {
	var addresses []netip.AddrPort
	for address := range f.serviceSockets {
		addresses = append(addresses, address)
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return addresses
}

// SetBalancers replaces the balancers that datagrams are sprayed over. Datagrams
// are dropped while there are none.
func (f *Fabric) SetBalancers(balancers []netip.AddrPort) {
	set := slices.Clone(balancers)
	f.balancers.Store(&set)
}

// Stop closes all sockets and waits until forwarding has ended. Delayed datagrams
// are dropped.
func (f *Fabric) Stop() {
	if f.returnSocket != nil {
		f.returnSocket.Close()
	}
	for _, socket := range f.serviceSockets {
		socket.Close()
	}
	f.forwarders.Wait()
}

// spray forwards the datagrams that callers send to a service.
func (f *Fabric) spray(service netip.AddrPort, socket *net.UDPConn) {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, caller, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		balancer, ok := f.pickBalancer()
		if !ok {
			continue
		}
		header := wire.ProxyHeader{Source: unmap(caller), Destination: service}
		datagram := wire.AppendProxy(make([]byte, 0, wire.MaxProxyHeader+n), header)
		datagram = append(datagram, buffer[:n]...)
		f.Sprayed.Add(1)
		f.afterDelay(func() { f.returnSocket.WriteToUDPAddrPort(datagram, balancer) })
	}
}

// returnDatagrams forwards the balancers' datagrams to callers. Their PROXY header
// has the service's address as the source and the caller's as the destination.
// Datagrams that are malformed or from an unknown service are dropped.
func (f *Fabric) returnDatagrams() {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, _, err := f.returnSocket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		header, payload, err := wire.ParseProxy(buffer[:n])
		if err != nil {
			continue
		}
		socket, known := f.serviceSockets[header.Source]
		if !known {
			continue
		}
		datagram := slices.Clone(payload)
		f.Returned.Add(1)
		f.afterDelay(func() { socket.WriteToUDPAddrPort(datagram, header.Destination) })
	}
}

// pickBalancer chooses a balancer at random. It returns false while there is none.
func (f *Fabric) pickBalancer() (netip.AddrPort, bool) {
	balancers := *f.balancers.Load()
	if len(balancers) == 0 {
		return netip.AddrPort{}, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return balancers[f.random.IntN(len(balancers))], true
}

func (f *Fabric) afterDelay(send func()) {
	if f.config.Delay == 0 {
		send()
		return
	}
	time.AfterFunc(f.config.Delay, send)
}

func listen(addr netip.AddrPort) (*net.UDPConn, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	socket.SetReadBuffer(socketBufferSize)
	socket.SetWriteBuffer(socketBufferSize)
	return socket, nil
}

func addrOf(socket *net.UDPConn) netip.AddrPort {
	return unmap(socket.LocalAddr().(*net.UDPAddr).AddrPort())
}

// unmap turns an IPv4-mapped IPv6 address into the IPv4 address.
func unmap(addr netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}
