// Package balancer implements the balancer process, which runs on each entry VM,
// where the network fabric delivers the callers' datagrams. It steers them to
// agents, each of which serves the flows of one target, and sends the agents'
// replies back through the fabric. A flow is a QUIC connection of a caller. The
// operators' documents list the customers, their plans, and the zones and targets
// that are out of service; package plan defines them.
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

// Error is the class of all errors of this package.
var Error = errs.Class("balancer")

const (
	// freshnessPollInterval is how long a forwarding goroutine sleeps between two
	// checks of the balancer's freshness.
	freshnessPollInterval = time.Millisecond
	// socketBuffer is the size of each of the data socket's two buffers, in bytes.
	socketBuffer = 4 << 20
	// maxPacket is the size of the largest datagram read from a fabric, in bytes.
	maxPacket = 2048
)

// Freshness reports whether the balancer has verified that it knows the
// operators' latest documents.
type Freshness interface {
	Fresh(now model.Instant) bool
}

// DropReason is the reason why the balancer drops a datagram.
type DropReason uint8

// The reasons, as indices of Counters.Dropped.
const (
	// DropMalformed datagrams do not have the format of the fabric, of QUIC or, for
	// replies, of package wire.
	DropMalformed DropReason = iota
	// DropUntrusted datagrams came from an address outside the fabric.
	DropUntrusted
	// DropUnknownService datagrams belong to a service that is not configured.
	DropUnknownService
	// DropUnknownID packets carry a connection ID that no agent issued for the service.
	DropUnknownID
	// DropNoTarget packets cannot be served, because no agent accepts new flows.
	DropNoTarget
	// DropTooLarge packets exceed wire.MaxPayload.
	DropTooLarge
	// DropForged replies are not authenticated with a key of the deployment.
	DropForged
	// DropSendFailed datagrams could not be sent to the agent or to the fabric.
	DropSendFailed
	// DropZoneOut is not in use at present; its counter stays at 0.
	DropZoneOut
	dropReasonCount
)

// String returns the reason as it is used in metric names.
func (d DropReason) String() string {
	names := [dropReasonCount]string{
		"malformed", "untrusted", "unknown_service", "unknown_id",
		"no_target", "too_large", "forged", "send_failed", "zone_out",
	}
	return names[d]
}

// Counters are the datagram counters of a Forwarder.
type Counters struct {
	// In counts the datagrams received from the fabric, and Out the replies sent
	// to it.
	In  atomic.Uint64
	Out atomic.Uint64
	// NewFlow counts the datagrams of new flows.
	NewFlow atomic.Uint64
	// Orphaned counts the datagrams of flows whose agent has stopped or is in a
	// zone that is out of service.
	Orphaned atomic.Uint64
	// Held counts the datagrams held until the documents were verified as
	// current.
	Held atomic.Uint64
	// Dropped counts the dropped datagrams by DropReason.
	Dropped [dropReasonCount]atomic.Uint64
}

// Forwarder forwards datagrams between the fabric and the agents. Its goroutines
// share only the table and the counters.
type Forwarder struct {
	Counters Counters

	fabric           fabric.Fabric
	socket           *net.UDPConn
	freshness        Freshness
	keys             []model.SharedKey
	zone             model.ZoneTag
	table            atomic.Pointer[steering.Table]
	serviceByAddress map[netip.AddrPort]model.ServiceTag
	addressByService map[model.ServiceTag]netip.AddrPort
	goroutines       sync.WaitGroup
	closed           atomic.Bool
}

// ForwarderConfig configures a Forwarder.
type ForwarderConfig struct {
	Fabric fabric.Fabric
	// DataAddress is the UDP address of the data socket, over which the balancer
	// exchanges datagrams with agents.
	DataAddress netip.AddrPort
	Freshness   Freshness
	// Keys authenticate datagrams between balancers and agents. Sent datagrams
	// are authenticated with the first key, received ones with any of them.
	Keys []model.SharedKey
	Zone model.Zone
	// Services holds the address at which callers reach each service.
	Services map[model.Service]netip.AddrPort
}

// NewForwarder opens the data socket. It forwards nothing before Start.
func NewForwarder(config ForwarderConfig) (*Forwarder, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(config.DataAddress))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	socket.SetReadBuffer(socketBuffer)
	socket.SetWriteBuffer(socketBuffer)
	f := &Forwarder{
		fabric:           config.Fabric,
		socket:           socket,
		freshness:        config.Freshness,
		keys:             config.Keys,
		zone:             config.Zone.Tag(),
		serviceByAddress: map[netip.AddrPort]model.ServiceTag{},
		addressByService: map[model.ServiceTag]netip.AddrPort{},
	}
	for service, address := range config.Services {
		f.serviceByAddress[address] = service.Tag()
		f.addressByService[service.Tag()] = address
	}
	return f, nil
}

// Addr returns the address of the data socket.
func (f *Forwarder) Addr() netip.AddrPort {
	return f.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetTable replaces the steering table. It must have been called before Start.
func (f *Forwarder) SetTable(table *steering.Table) { f.table.Store(table) }

// Start starts the given number of goroutines for each direction.
func (f *Forwarder) Start(goroutines int) {
	for range goroutines {
		f.goroutines.Go(f.forwardPackets)
		f.goroutines.Go(f.forwardReplies)
	}
}

// Stop closes the data socket and waits for the goroutines to end. The fabric
// must have been stopped before, as they may be blocked in its Receive.
func (f *Forwarder) Stop() error {
	f.closed.Store(true)
	err := f.socket.Close()
	f.goroutines.Wait()
	return Error.Wrap(err)
}

// packetState is the state of one goroutine that forwards the callers' packets.
type packetState struct {
	codec   *wire.Codec
	scratch steering.Scratch
}

func (f *Forwarder) forwardPackets() {
	state := &packetState{codec: wire.NewCodec(f.keys)}
	buffer := make([]byte, maxPacket)
	for {
		packet, err := f.fabric.Receive(buffer)
		switch {
		case err == nil:
			f.Counters.In.Add(1)
			f.forwardPacket(state, packet)
		case errors.Is(err, fabric.ErrMalformed):
			f.drop(DropMalformed)
		case errors.Is(err, fabric.ErrUntrusted):
			f.drop(DropUntrusted)
		case errors.Is(err, net.ErrClosed) || f.closed.Load():
			return
		}
	}
}

func (f *Forwarder) forwardPacket(state *packetState, packet fabric.Packet) {
	service, known := f.serviceByAddress[packet.Service]
	if !known {
		f.drop(DropUnknownService)
		return
	}
	if len(packet.Payload) > wire.MaxPayload {
		f.drop(DropTooLarge)
		return
	}
	f.awaitFresh()
	table := f.table.Load()
	decision := table.Steer(service, packet.Payload, &state.scratch)
	kind, reason := kindFor(decision.Verdict)
	if kind == 0 {
		f.drop(reason)
		return
	}
	f.countKind(kind)
	header := wire.Header{
		Kind:      kind,
		Service:   service,
		Caller:    packet.Caller,
		Alternate: decision.Alternate,
		Revision:  table.Revision(),
		Zone:      f.zone,
	}
	datagram, err := state.codec.Encode(header, packet.Payload)
	if err != nil {
		f.drop(DropMalformed)
		return
	}
	f.send(datagram, decision.Agent)
}

// awaitFresh holds the packet until the balancer's documents are verified as
// current. Packets that arrive meanwhile wait in the socket's buffer; those that
// exceed it are dropped, as in any overload.
func (f *Forwarder) awaitFresh() {
	for held := false; !f.freshness.Fresh(model.Now()) && !f.closed.Load(); {
		if !held {
			f.Counters.Held.Add(1)
			held = true
		}
		time.Sleep(freshnessPollInterval)
	}
}

// kindFor returns the kind of the datagram that carries a packet with this verdict, or
// 0 and the reason for which the packet is dropped.
func kindFor(verdict steering.Verdict) (wire.Kind, DropReason) {
	switch verdict {
	case steering.VerdictEstablished:
		return wire.KindEstablished, 0
	case steering.VerdictNewFlow:
		return wire.KindNewFlow, 0
	case steering.VerdictOrphaned:
		return wire.KindOrphaned, 0
	case steering.VerdictNoTarget:
		return 0, DropNoTarget
	case steering.VerdictUnknownID:
		return 0, DropUnknownID
	case steering.VerdictUnknownService:
		return 0, DropUnknownService
	default:
		return 0, DropMalformed
	}
}

// countKind counts a forwarded packet if its kind has a counter.
func (f *Forwarder) countKind(kind wire.Kind) {
	switch kind {
	case wire.KindNewFlow:
		f.Counters.NewFlow.Add(1)
	case wire.KindOrphaned:
		f.Counters.Orphaned.Add(1)
	}
}

// send sends a datagram to an agent. The socket reports a refusal of an earlier
// datagram as an error of the next call, which is therefore repeated once.
func (f *Forwarder) send(datagram []byte, to netip.AddrPort) {
	_, err := f.socket.WriteToUDPAddrPort(datagram, to)
	if isPendingSocketError(err) {
		_, err = f.socket.WriteToUDPAddrPort(datagram, to)
	}
	if err != nil {
		f.drop(DropSendFailed)
	}
}

// isPendingSocketError reports whether an error of a send may result from an earlier
// datagram.
func isPendingSocketError(err error) bool {
	return errors.Is(err, unix.ECONNREFUSED) || errors.Is(err, unix.EHOSTUNREACH) || errors.Is(err, unix.ENETUNREACH)
}

func (f *Forwarder) forwardReplies() {
	codec := wire.NewCodec(f.keys)
	// One byte more than the maximum, so that a longer datagram is not accepted as
	// one of the maximum size.
	buffer := make([]byte, wire.MaxDatagram+1)
	scratch := make([]byte, maxPacket)
	for {
		n, _, err := f.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		f.forwardReply(codec, buffer[:n], scratch)
	}
}

func (f *Forwarder) forwardReply(codec *wire.Codec, datagram, scratch []byte) {
	header, payload, err := codec.Decode(datagram)
	if errors.Is(err, wire.ErrForged) {
		f.drop(DropForged)
		return
	}
	if err != nil || header.Kind != wire.KindReply {
		f.drop(DropMalformed)
		return
	}
	address, known := f.addressByService[header.Service]
	if !known {
		f.drop(DropUnknownService)
		return
	}
	packet := fabric.Packet{Caller: header.Caller, Service: address, Payload: payload}
	if err := f.fabric.Send(packet, scratch); err != nil {
		f.drop(DropSendFailed)
		return
	}
	f.Counters.Out.Add(1)
}

func (f *Forwarder) drop(reason DropReason) { f.Counters.Dropped[reason].Add(1) }
