package packetnode

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/balsamlink/balsamlink/internal/codec"
	"github.com/balsamlink/balsamlink/internal/door"
	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
)

// Kind is the first byte of every datagram between nodes.
type Kind uint8

// The kinds of datagrams between nodes.
const (
	// KindForward carries a client's packet to an agent.
	KindForward Kind = 1
	// KindReturn carries a packet that an agent can't use back to its balancer.
	KindReturn Kind = 2
	// KindFlowHeld names flows that an agent's target holds.
	KindFlowHeld Kind = 3
	// KindFlowNotHeld names flows that an agent's target does not hold.
	KindFlowNotHeld Kind = 4
	// KindHeartbeat carries a node's Beat.
	KindHeartbeat Kind = 5
	// KindPeers names nodes that the sender knows.
	KindPeers Kind = 6
	// KindFlowQuery names flows that a balancer looks for.
	KindFlowQuery Kind = 7
	// KindFlowUncertain names flows of which the agent can't tell whether its target holds
	// them.
	KindFlowUncertain Kind = 8
)

// flagSearch marks a copy of a packet whose agent the balancer does not know.
const flagSearch = 1

// packetHeaderSize is the size of what goes before a packet: the kind, the
// flags or the reason, and the stamp of the operators' state.
const packetHeaderSize = 14

// StateVersion tells in few bytes which operators' state a node knows.
type StateVersion struct {
	// AsOf is a version of the store at which the state was the newest.
	AsOf platform.Version
	// Digest identifies the contents: it is the low half of the document's print.
	Digest uint32
}

func (s StateVersion) append(buffer []byte) []byte {
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(s.AsOf))
	return binary.BigEndian.AppendUint32(buffer, s.Digest)
}

// parseStamp decodes the stamp of a packet's header.
func parseStamp(datagram []byte) StateVersion {
	return StateVersion{AsOf: platform.Version(binary.BigEndian.Uint64(datagram[2:])), Digest: binary.BigEndian.Uint32(datagram[10:])}
}

// MaxDatagram is the largest datagram between nodes, in bytes.
const MaxDatagram = flow.MaxPacket + 64

// MaxKeys is the number of flows that one datagram names at most.
const MaxKeys = 90

// Forward is a packet on its way to an agent.
type Forward struct {
	Search bool
	// StateVersion is the operators' state that the balancer knows.
	StateVersion StateVersion
	Packet       []byte
}

// AppendForward adds an encoded Forward to a buffer.
func AppendForward(buffer []byte, f Forward) []byte {
	var flags byte
	if f.Search {
		flags = flagSearch
	}
	buffer = append(buffer, byte(KindForward), flags)
	return append(f.StateVersion.append(buffer), f.Packet...)
}

// ParseForward decodes a Forward. Its packet is part of the datagram.
func ParseForward(datagram []byte) (Forward, error) {
	if len(datagram) < packetHeaderSize || Kind(datagram[0]) != KindForward {
		return Forward{}, Error.New("malformed forwarded packet of %d bytes", len(datagram))
	}
	return Forward{
		Search:       datagram[1]&flagSearch != 0,
		StateVersion: parseStamp(datagram),
		Packet:       datagram[packetHeaderSize:],
	}, nil
}

// Return is a packet that an agent can't use.
type Return struct {
	Reason door.Reason
	// StateVersion is the operators' state that the agent knows.
	StateVersion StateVersion
	Packet       []byte
}

// AppendReturn adds an encoded Return to a buffer.
func AppendReturn(buffer []byte, r Return) []byte {
	buffer = append(buffer, byte(KindReturn), byte(r.Reason))
	return append(r.StateVersion.append(buffer), r.Packet...)
}

// ParseReturn decodes a Return. Its packet is part of the datagram.
func ParseReturn(datagram []byte) (Return, error) {
	if len(datagram) < packetHeaderSize || Kind(datagram[0]) != KindReturn || int(datagram[1]) >= door.ReasonCount {
		return Return{}, Error.New("malformed returned packet of %d bytes", len(datagram))
	}
	return Return{
		Reason:       door.Reason(datagram[1]),
		StateVersion: parseStamp(datagram),
		Packet:       datagram[packetHeaderSize:],
	}, nil
}

// AppendKeys adds an encoded list of at most MaxKeys flows to a buffer.
func AppendKeys(buffer []byte, kind Kind, keys []flow.Key) []byte {
	buffer = append(buffer, byte(kind))
	for _, key := range keys[:min(len(keys), MaxKeys)] {
		buffer = key.Append(buffer)
	}
	return buffer
}

// ParseKeys decodes a list of flows.
func ParseKeys(datagram []byte) ([]flow.Key, error) {
	if len(datagram) < 1 || (len(datagram)-1)%flow.KeySize != 0 || len(datagram) > 1+MaxKeys*flow.KeySize {
		return nil, Error.New("malformed list of flows of %d bytes", len(datagram))
	}
	keys := make([]flow.Key, 0, (len(datagram)-1)/flow.KeySize)
	for rest := datagram[1:]; len(rest) > 0; rest = rest[flow.KeySize:] {
		keys = append(keys, flow.ParseKey(rest))
	}
	return keys, nil
}

// State tells what a node does.
type State uint8

// The states of nodes.
const (
	// StateStarting nodes do not know the operators' state yet.
	StateStarting State = iota
	// StateClosed agents take no new flows.
	StateClosed
	// StateOpen agents take new flows, and balancers serve.
	StateOpen
	// StateRestarting nodes have been told to end while their target lives on.
	StateRestarting
	// StateGone nodes have ended for good.
	StateGone
	stateCount
)

var stateNames = [...]string{"starting", "closed", "open", "restarting", "gone"}

// String returns the name that logs and tables use.
func (s State) String() string {
	if s >= stateCount {
		return "invalid"
	}
	return stateNames[s]
}

// Peer says where a node is and what it does.
type Peer struct {
	VM      netip.Addr
	Role    model.Role
	Zone    model.Zone
	Service model.Service
}

// Freshness tells which operators' state a node knows, and how long ago that state
// was the newest for certain.
type Freshness struct {
	// AsOf is 0 while no state is known.
	AsOf platform.Version
	// Digest identifies the state's contents, and Version its configuration.
	Digest  uint64
	Version uint64
	// AgeMillis counts from the moment at which the proof was asked for.
	AgeMillis uint32
}

// Heartbeat is what a node tells others of itself, again and again.
type Heartbeat struct {
	Peer Peer
	// Incarnation is a number that each start of the process draws.
	Incarnation uint64
	// Sequence rises with each beat of an incarnation.
	Sequence uint64
	State    State
	// IntervalMillis is the time until the next beat.
	IntervalMillis uint32
	// Hello asks for a beat and a list of peers in return.
	Hello     bool
	Freshness Freshness
	Load      Load
}

// Load is what an agent tells of its target.
type Load struct {
	Slots    uint32 `json:"slots"`
	Flows    uint32 `json:"flows"`
	InFlight uint32 `json:"busy"`
	Cold     bool   `json:"cold"`
	// Capacity is the number of new flows that the agent would take, and Free that of
	// those which need not wait.
	Capacity          uint32 `json:"room"`
	ImmediateCapacity uint32 `json:"free"`
}

// interval returns the time between two beats.
func (b *Heartbeat) interval() time.Duration {
	return time.Duration(b.IntervalMillis) * time.Millisecond
}

// encode returns a control message as a datagram.
func encode(kind Kind, message any) ([]byte, error) {
	body, err := codec.Marshal(message)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return append([]byte{byte(kind)}, body...), nil
}

// parseBeat decodes and checks a beat.
func parseBeat(datagram []byte) (*Heartbeat, error) {
	beat := &Heartbeat{}
	if err := codec.Unmarshal(datagram[1:], beat); err != nil {
		return nil, Error.New("malformed beat: %v", err)
	}
	if err := beat.Peer.check(); err != nil {
		return nil, err
	}
	if beat.State >= stateCount || beat.Incarnation == 0 {
		return nil, Error.New("beat of %s with state %d", beat.Peer.VM, beat.State)
	}
	return beat, nil
}

// parsePeers decodes and checks a list of peers.
func parsePeers(datagram []byte) ([]Peer, error) {
	var peers []Peer
	if err := codec.Unmarshal(datagram[1:], &peers); err != nil {
		return nil, Error.New("malformed list of peers: %v", err)
	}
	for _, peer := range peers {
		if err := peer.check(); err != nil {
			return nil, err
		}
	}
	return peers, nil
}

func (p Peer) check() error {
	if !p.VM.Is4() || (p.Role != model.RoleBalancer && p.Role != model.RoleAgent) {
		return Error.New("malformed peer %s with role %d", p.VM, p.Role)
	}
	return nil
}
