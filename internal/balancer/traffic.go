// Package balancer is the process on each entry VM: it steers the callers'
// datagrams to agents and sends the agents' answers out.
package balancer

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"

	"github.com/balsamlink/balsamlink/internal/fabric"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/steering"
	"github.com/balsamlink/balsamlink/internal/wire"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("balancer")

const (
	// stalePause is how long a traffic goroutine waits before it looks again
	// whether the balancer's knowledge is fresh.
	stalePause = time.Millisecond
	// socketBuffer is the size of the data socket's buffers, in bytes.
	socketBuffer = 4 << 20
	// maxPacket is the largest datagram that is read from a fabric, in bytes.
	maxPacket = 2048
)

// Freshness tells whether the balancer knows the operators' latest documents.
type Freshness interface {
	Fresh(now model.Instant) bool
}

// Drop names a reason for which the balancer drops a datagram.
type Drop uint8

// The reasons, in the order of the counters.
const (
	DropMalformed Drop = iota
	DropUntrusted
	DropUnknownService
	DropUnknownID
	DropNoTarget
	DropTooLarge
	DropForged
	DropSendFailed
	DropZoneOut
	dropCount
)

// String returns the reason as it stands in metrics.
func (d Drop) String() string {
	names := [dropCount]string{
		"malformed", "untrusted", "unknown_service", "unknown_id",
		"no_target", "too_large", "forged", "send_failed", "zone_out",
	}
	return names[d]
}

// Counters count the balancer's datagrams.
type Counters struct {
	In       atomic.Uint64
	Out      atomic.Uint64
	NewFlow  atomic.Uint64
	Orphaned atomic.Uint64
	Held     atomic.Uint64
	Dropped  [dropCount]atomic.Uint64
}

// Forwarder moves datagrams between the fabric and the agents. Its goroutines
// share nothing but the table and the counters.
type Forwarder struct {
	Counters Counters

	fabric    fabric.Fabric
	socket    *net.UDPConn
	freshness Freshness
	keys      []model.SharedKey
	zone      model.ZoneTag
	table     atomic.Pointer[steering.Table]
	tags      map[netip.AddrPort]model.ServiceTag
	addresses map[model.ServiceTag]netip.AddrPort
	running   sync.WaitGroup
	closed    atomic.Bool
}

// ForwarderConfig is what a Traffic is made of.
type ForwarderConfig struct {
	Fabric      fabric.Fabric
	DataAddress netip.AddrPort
	Freshness   Freshness
	// Keys authenticate datagrams between balancers and agents. The first is
	// used, all are accepted.
	Keys     []model.SharedKey
	Zone     model.Zone
	Services map[model.Service]netip.AddrPort
}

// NewForwarder opens the data socket. Nothing moves before Start.
func NewForwarder(config ForwarderConfig) (*Forwarder, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(config.DataAddress))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	socket.SetReadBuffer(socketBuffer)
	socket.SetWriteBuffer(socketBuffer)
	t := &Forwarder{
		fabric:    config.Fabric,
		socket:    socket,
		freshness: config.Freshness,
		keys:      config.Keys,
		zone:      config.Zone.Tag(),
		tags:      map[netip.AddrPort]model.ServiceTag{},
		addresses: map[model.ServiceTag]netip.AddrPort{},
	}
	for service, address := range config.Services {
		t.tags[address] = service.Tag()
		t.addresses[service.Tag()] = address
	}
	return t, nil
}

// Addr returns the data address.
func (t *Forwarder) Addr() netip.AddrPort {
	return t.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetTable replaces the table that packets are steered by.
func (t *Forwarder) SetTable(table *steering.Table) { t.table.Store(table) }

// Start starts the traffic goroutines.
func (t *Forwarder) Start(goroutines int) {
	for range goroutines {
		t.running.Go(t.forwardPackets)
		t.running.Go(t.forwardAnswers)
	}
}

// Stop closes the data socket and waits for the goroutines. The fabric must
// have been stopped before.
func (t *Forwarder) Stop() error {
	t.closed.Store(true)
	err := t.socket.Close()
	t.running.Wait()
	return Error.Wrap(err)
}

// steerer is what one traffic goroutine works with.
type steerer struct {
	codec   *wire.Codec
	scratch steering.Scratch
}

func (t *Forwarder) forwardPackets() {
	worker := &steerer{codec: wire.NewCodec(t.keys)}
	buffer := make([]byte, maxPacket)
	for {
		packet, err := t.fabric.Receive(buffer)
		switch {
		case err == nil:
			t.Counters.In.Add(1)
			t.forwardPacket(worker, packet)
		case errors.Is(err, fabric.ErrMalformed):
			t.drop(DropMalformed)
		case errors.Is(err, fabric.ErrUntrusted):
			t.drop(DropUntrusted)
		case errors.Is(err, net.ErrClosed) || t.closed.Load():
			return
		}
	}
}

func (t *Forwarder) forwardPacket(worker *steerer, packet fabric.Packet) {
	service, known := t.tags[packet.Service]
	if !known {
		t.drop(DropUnknownService)
		return
	}
	if len(packet.Payload) > wire.MaxPayload {
		t.drop(DropTooLarge)
		return
	}
	t.awaitFresh()
	table := t.table.Load()
	decision := table.Steer(service, packet.Payload, &worker.scratch)
	kind, reason := kindOf(decision.Verdict)
	if kind == 0 {
		t.drop(reason)
		return
	}
	t.countKind(kind)
	header := wire.Header{
		Kind:      kind,
		Service:   service,
		Caller:    packet.Caller,
		Alternate: decision.Alternate,
		Revision:  table.Revision(),
		Zone:      t.zone,
	}
	datagram, err := worker.codec.Encode(header, packet.Payload)
	if err != nil {
		t.drop(DropMalformed)
		return
	}
	t.send(datagram, decision.Agent)
}

// awaitFresh holds the packet until the balancer's knowledge is fresh. The
// socket's buffer bounds what is held; the rest is lost, as in any overload.
func (t *Forwarder) awaitFresh() {
	for held := false; !t.freshness.Fresh(model.Now()) && !t.closed.Load(); {
		if !held {
			t.Counters.Held.Add(1)
			held = true
		}
		time.Sleep(stalePause)
	}
}

func kindOf(verdict steering.Verdict) (wire.Kind, Drop) {
	switch verdict {
	case steering.Established:
		return wire.KindEstablished, 0
	case steering.First:
		return wire.KindNewFlow, 0
	case steering.Gone:
		return wire.KindOrphaned, 0
	case steering.NoTarget:
		return 0, DropNoTarget
	case steering.UnknownID:
		return 0, DropUnknownID
	case steering.UnknownService:
		return 0, DropUnknownService
	default:
		return 0, DropMalformed
	}
}

func (t *Forwarder) countKind(kind wire.Kind) {
	switch kind {
	case wire.KindNewFlow:
		t.Counters.NewFlow.Add(1)
	case wire.KindOrphaned:
		t.Counters.Orphaned.Add(1)
	}
}

// send sends a datagram to an agent. The socket reports the refusal of an
// earlier datagram as an error of the next call, which is then repeated.
func (t *Forwarder) send(datagram []byte, to netip.AddrPort) {
	_, err := t.socket.WriteToUDPAddrPort(datagram, to)
	if isPending(err) {
		_, err = t.socket.WriteToUDPAddrPort(datagram, to)
	}
	if err != nil {
		t.drop(DropSendFailed)
	}
}

func isPending(err error) bool {
	return errors.Is(err, unix.ECONNREFUSED) || errors.Is(err, unix.EHOSTUNREACH) || errors.Is(err, unix.ENETUNREACH)
}

func (t *Forwarder) forwardAnswers() {
	codec := wire.NewCodec(t.keys)
	buffer := make([]byte, wire.MaxDatagram+1)
	scratch := make([]byte, maxPacket)
	for {
		n, _, err := t.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		t.forwardAnswer(codec, buffer[:n], scratch)
	}
}

func (t *Forwarder) forwardAnswer(codec *wire.Codec, datagram, scratch []byte) {
	header, payload, err := codec.Decode(datagram)
	if errors.Is(err, wire.ErrForged) {
		t.drop(DropForged)
		return
	}
	if err != nil || header.Kind != wire.KindReply {
		t.drop(DropMalformed)
		return
	}
	address, known := t.addresses[header.Service]
	if !known {
		t.drop(DropUnknownService)
		return
	}
	packet := fabric.Packet{Caller: header.Caller, Service: address, Payload: payload}
	if err := t.fabric.Send(packet, scratch); err != nil {
		t.drop(DropSendFailed)
		return
	}
	t.Counters.Out.Add(1)
}

func (t *Forwarder) drop(reason Drop) { t.Counters.Dropped[reason].Add(1) }
