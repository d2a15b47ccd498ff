// Package fabric is a stand-in for the network fabric: it hands each datagram of
// a caller to a balancer chosen at random, with a PROXY protocol header, and
// sends the balancers' answers to the callers.
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

// Error is the class of all errors of this layer.
var Error = errs.Class("standin fabric")

const (
	maxDatagram  = 2048
	socketBuffer = 4 << 20
)

// Config is what a Fabric is made of.
type Config struct {
	// Listen is the UDP address that balancers send answers to.
	Listen netip.AddrPort
	// Services are the UDP addresses that callers send to.
	Services []netip.AddrPort
	// Balancers are the UDP addresses that datagrams are sprayed over.
	Balancers []netip.AddrPort
	// Delay is the time that each datagram takes in each direction.
	Delay time.Duration
	// Seed makes the choice of balancers repeatable for one order of datagrams.
	Seed uint64
}

// Fabric is a running stand-in.
type Fabric struct {
	config    Config
	back      *net.UDPConn
	fronts    map[netip.AddrPort]*net.UDPConn
	balancers atomic.Pointer[[]netip.AddrPort]
	running   sync.WaitGroup

	mu     sync.Mutex
	random *rand.Rand

	// Sprayed and Returned count the datagrams in each direction.
	Sprayed  atomic.Uint64
	Returned atomic.Uint64
}

// Start opens all sockets and begins to move datagrams.
func Start(config Config) (*Fabric, error) {
	f := &Fabric{
		config: config,
		fronts: map[netip.AddrPort]*net.UDPConn{},
		random: rand.New(rand.NewPCG(config.Seed, config.Seed)),
	}
	f.SetBalancers(config.Balancers)
	back, err := listen(config.Listen)
	if err != nil {
		return nil, err
	}
	f.back = back
	for _, service := range config.Services {
		front, err := listen(service)
		if err != nil {
			f.Stop()
			return nil, err
		}
		f.fronts[addrOf(front)] = front
	}
	f.running.Go(f.returnAnswers)
	for service, front := range f.fronts {
		f.running.Go(func() { f.spray(service, front) })
	}
	return f, nil
}

// Addr returns the address that balancers send answers to.
func (f *Fabric) Addr() netip.AddrPort { return addrOf(f.back) }

// Services returns the addresses that callers send to.
func (f *Fabric) Services() []netip.AddrPort {
	var addresses []netip.AddrPort
	for address := range f.fronts {
		addresses = append(addresses, address)
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return addresses
}

// SetBalancers replaces the balancers that datagrams are sprayed over.
func (f *Fabric) SetBalancers(balancers []netip.AddrPort) {
	set := slices.Clone(balancers)
	f.balancers.Store(&set)
}

// Stop closes all sockets and waits for the work to end.
func (f *Fabric) Stop() {
	if f.back != nil {
		f.back.Close()
	}
	for _, front := range f.fronts {
		front.Close()
	}
	f.running.Wait()
}

func (f *Fabric) spray(service netip.AddrPort, front *net.UDPConn) {
	buffer := make([]byte, maxDatagram)
	for {
		n, caller, err := front.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		balancer, any := f.pick()
		if !any {
			continue
		}
		header := wire.ProxyHeader{Source: unmap(caller), Destination: service}
		datagram := wire.AppendProxy(make([]byte, 0, wire.MaxProxyHeader+n), header)
		datagram = append(datagram, buffer[:n]...)
		f.Sprayed.Add(1)
		f.later(func() { f.back.WriteToUDPAddrPort(datagram, balancer) })
	}
}

func (f *Fabric) returnAnswers() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := f.back.ReadFromUDPAddrPort(buffer)
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
		front, known := f.fronts[header.Source]
		if !known {
			continue
		}
		answer := slices.Clone(payload)
		f.Returned.Add(1)
		f.later(func() { front.WriteToUDPAddrPort(answer, header.Destination) })
	}
}

func (f *Fabric) pick() (netip.AddrPort, bool) {
	balancers := *f.balancers.Load()
	if len(balancers) == 0 {
		return netip.AddrPort{}, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return balancers[f.random.IntN(len(balancers))], true
}

func (f *Fabric) later(send func()) {
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
	socket.SetReadBuffer(socketBuffer)
	socket.SetWriteBuffer(socketBuffer)
	return socket, nil
}

func addrOf(socket *net.UDPConn) netip.AddrPort {
	return unmap(socket.LocalAddr().(*net.UDPAddr).AddrPort())
}

func unmap(addr netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}
