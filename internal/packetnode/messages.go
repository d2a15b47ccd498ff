package packetnode

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/balsamlink/balsamlink/internal/codec"
	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/targetgate"
)

// Kind is the type of a datagram between nodes: its first byte.
type Kind uint8

// The kinds of datagrams between nodes.
const (
	// KindForward carries a client's packet to an agent.
	KindForward Kind = 1
	// KindReturn carries a packet that an agent could not use back to its
	// balancer.
	KindReturn Kind = 2
	// KindFlowHeld lists flows that an agent's target holds.
	KindFlowHeld Kind = 3
	// KindFlowNotHeld lists flows that an agent's target does not hold.
	KindFlowNotHeld Kind = 4
	// KindHeartbeat carries a Heartbeat.
	KindHeartbeat Kind = 5
	// KindPeers lists nodes that the sender knows.
	KindPeers Kind = 6
	// KindFlowLookup lists flows whose agent a balancer searches for. An agent
	// answers with KindFlowHeld, KindFlowNotHeld and KindFlowUncertain.
	KindFlowLookup Kind = 7
	// KindFlowUncertain lists flows for which the agent can't tell whether its
	// target holds them.
	KindFlowUncertain Kind = 8
	// KindPeersRequest requests KindPeers from a node that knows other nodes than the
	// sender does.
	KindPeersRequest Kind = 9
	// KindSavedPart carries a part of a node's saved value to its keeper, and
	// KindSavedPartKept acknowledges it.
	KindSavedPart     Kind = 10
	KindSavedPartKept Kind = 11
	// KindSuspicion names a node that has not answered the sender.
	KindSuspicion Kind = 12
	// KindRestarting lists agents that have announced a restart and have not come back.
	KindRestarting Kind = 13
)

// flagSearch marks a copy of a packet that is sent to several agents because
// the balancer does not know the flow's agent.
const flagSearch = 1

// packetHeaderSize is the size of the header before a packet, in bytes: the
// kind, the flags or the reason, and the version of the operators' state.
const packetHeaderSize = 14

// StateVersion identifies the operators' state that a node has, in compact
// form.
type StateVersion struct {
	// AsOf is a version of the store at which the state was current.
	AsOf platform.Version
	// Digest identifies the contents: the low 32 bits of the document's digest.
	Digest uint32
}

func (s StateVersion) append(buffer []byte) []byte {
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(s.AsOf))
	return binary.BigEndian.AppendUint32(buffer, s.Digest)
}

// parseStateVersion decodes the state version of a packet's header.
func parseStateVersion(datagram []byte) StateVersion {
	return StateVersion{AsOf: platform.Version(binary.BigEndian.Uint64(datagram[2:])), Digest: binary.BigEndian.Uint32(datagram[10:])}
}

// MaxDatagram is the maximum size of a datagram between nodes, in bytes: a packet
// with room for the header before it.
const MaxDatagram = flow.MaxPacket + 64

// MaxKeys is the maximum number of flows in one datagram, which is then 1,081 bytes
// long.
const MaxKeys = 90

// ForwardedPacket is a client's packet that a balancer forwards to an agent.
type ForwardedPacket struct {
	// Search is set for a copy of a packet that is sent to several agents
	// because the balancer does not know the flow's agent.
	Search bool
	// StateVersion is the operators' state that the balancer has.
	StateVersion StateVersion
	Packet       []byte
}

// AppendForwardedPacket appends an encoded ForwardedPacket to a buffer.
func AppendForwardedPacket(buffer []byte, f ForwardedPacket) []byte {
	var flags byte
	if f.Search {
		flags = flagSearch
	}
	buffer = append(buffer, byte(KindForward), flags)
	return append(f.StateVersion.append(buffer), f.Packet...)
}

// ParseForwardedPacket decodes a ForwardedPacket. Its packet aliases the datagram.
func ParseForwardedPacket(datagram []byte) (ForwardedPacket, error) {
	if len(datagram) < packetHeaderSize || Kind(datagram[0]) != KindForward {
		return ForwardedPacket{}, Error.New("malformed forwarded packet of %d bytes", len(datagram))
	}
	return ForwardedPacket{
		Search:       datagram[1]&flagSearch != 0,
		StateVersion: parseStateVersion(datagram),
		Packet:       datagram[packetHeaderSize:],
	}, nil
}

// ReturnedPacket is a packet that an agent sends back because it could not use it.
type ReturnedPacket struct {
	Reason targetgate.Reason
	// StateVersion is the operators' state that the agent has.
	StateVersion StateVersion
	Packet       []byte
}

// AppendReturnedPacket appends an encoded ReturnedPacket to a buffer.
func AppendReturnedPacket(buffer []byte, r ReturnedPacket) []byte {
	buffer = append(buffer, byte(KindReturn), byte(r.Reason))
	return append(r.StateVersion.append(buffer), r.Packet...)
}

// ParseReturnedPacket decodes a ReturnedPacket. Its packet aliases the datagram.
func ParseReturnedPacket(datagram []byte) (ReturnedPacket, error) {
	if len(datagram) < packetHeaderSize || Kind(datagram[0]) != KindReturn || int(datagram[1]) >= targetgate.ReasonCount {
		return ReturnedPacket{}, Error.New("malformed returned packet of %d bytes", len(datagram))
	}
	return ReturnedPacket{
		Reason:       targetgate.Reason(datagram[1]),
		StateVersion: parseStateVersion(datagram),
		Packet:       datagram[packetHeaderSize:],
	}, nil
}

// AppendKeys appends an encoded list of flows to a buffer. Flows beyond MaxKeys
// are left out.
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

// State is the lifecycle state of a node.
type State uint8

// The states of nodes.
const (
	// StateStarting nodes have not received the operators' state yet.
	StateStarting State = iota
	// StateClosed agents accept no new flows.
	StateClosed
	// StateOpen agents accept new flows, and StateOpen balancers forward
	// packets.
	StateOpen
	// StateRestarting nodes are shutting down while their target keeps running.
	StateRestarting
	// StateGone nodes have shut down and will not return.
	StateGone
	// StateEnded agents run, and their target has certainly ended. It may be started again.
	StateEnded
	stateCount
)

var stateNames = [...]string{"starting", "closed", "open", "restarting", "gone", "ended"}

// String returns the name that logs and tables use.
func (s State) String() string {
	if s >= stateCount {
		return "invalid"
	}
	return stateNames[s]
}

// Peer identifies a node: its VM, role, availability zone and service.
type Peer struct {
	VM      netip.Addr
	Role    model.Role
	Zone    model.Zone
	Service model.Service
}

// Freshness is evidence of how current a node's copy of the operators' state
// is: which state it is, and how long ago it was verified to be current.
type Freshness struct {
	// AsOf is 0 while no state is known.
	AsOf platform.Version
	// Digest identifies the state's contents, and ConfigVersion is the version of its
	// configuration, 0 if it has none.
	Digest        uint64
	ConfigVersion uint64
	// AgeMillis is the time since the last verification was requested, in
	// milliseconds.
	AgeMillis uint32
}

// Heartbeat is the status message that a node sends to others periodically.
type Heartbeat struct {
	Peer Peer
	// Incarnation is a random number that identifies one run of the process.
	Incarnation uint64
	// Sequence rises with each heartbeat of an incarnation.
	Sequence uint64
	State    State
	// IntervalMillis is the maximum time until the next heartbeat, in
	// milliseconds.
	IntervalMillis uint32
	// Hello requests a heartbeat in reply.
	Hello     bool
	Freshness Freshness
	Load      Load
}

// Load is the load of an agent's target.
type Load struct {
	// Slots is the number of requests that the target runs at once.
	Slots uint32 `json:"slots"`
	Flows uint32 `json:"flows"`
	// ActiveFlows is the number of flows with a request outstanding, awaiting
	// their first request, or queued.
	ActiveFlows uint32 `json:"busy"`
	// Cold is set while the target warms up after its start.
	Cold bool `json:"cold"`
	// Capacity is the number of new flows that the agent would accept, and
	// ImmediateCapacity the number of those whose requests start without
	// queueing.
	Capacity          uint32 `json:"room"`
	ImmediateCapacity uint32 `json:"free"`
}

// interval returns the time until the next heartbeat.
func (h *Heartbeat) interval() time.Duration {
	return time.Duration(h.IntervalMillis) * time.Millisecond
}

// encode returns a control message as a datagram.
func encode(kind Kind, message any) ([]byte, error) {
	body, err := codec.Marshal(message)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return append([]byte{byte(kind)}, body...), nil
}

// parseHeartbeat decodes and validates a heartbeat. The datagram must not be empty.
func parseHeartbeat(datagram []byte) (*Heartbeat, error) {
	heartbeat := &Heartbeat{}
	if err := codec.Unmarshal(datagram[1:], heartbeat); err != nil {
		return nil, Error.New("malformed heartbeat: %v", err)
	}
	if err := heartbeat.Peer.check(); err != nil {
		return nil, err
	}
	if heartbeat.State >= stateCount || heartbeat.Incarnation == 0 || heartbeat.interval() > maxHeartbeatInterval {
		return nil, Error.New("heartbeat of %s with invalid state %d, no incarnation, or an interval of %s", heartbeat.Peer.VM, heartbeat.State, heartbeat.interval())
	}
	return heartbeat, nil
}

// parsePeers decodes and validates a list of peers. The datagram must not be empty.
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

// suspicion names a node, and the incarnation of it that has not answered.
type suspicion struct {
	VM          netip.Addr
	Incarnation uint64
}

func encodeSuspicion(s suspicion) []byte {
	address := s.VM.As4()
	return binary.BigEndian.AppendUint64(append([]byte{byte(KindSuspicion)}, address[:]...), s.Incarnation)
}

func parseSuspicion(datagram []byte) (suspicion, error) {
	if len(datagram) != 1+4+8 {
		return suspicion{}, Error.New("malformed suspicion of %d bytes", len(datagram))
	}
	return suspicion{VM: netip.AddrFrom4([4]byte(datagram[1:])), Incarnation: binary.BigEndian.Uint64(datagram[5:])}, nil
}

// savedPart is a part of a node's saved value.
type savedPart struct {
	// Incarnation is that of the node, and Series rises with each value that it sends.
	Incarnation uint64
	Series      uint32
	Number      uint16
	Value       []byte
}

// savedPartKept acknowledges a part. It has no value.
type savedPartKept savedPart

// savedPartHeader is the size of an encoded savedPart without its value, in bytes.
const savedPartHeader = 1 + 8 + 4 + 2

func appendSavedPart(buffer []byte, part savedPart) []byte {
	return append(appendSavedPartHeader(buffer, KindSavedPart, part), part.Value...)
}

func appendSavedPartHeader(buffer []byte, kind Kind, part savedPart) []byte {
	buffer = append(buffer, byte(kind))
	buffer = binary.BigEndian.AppendUint64(buffer, part.Incarnation)
	buffer = binary.BigEndian.AppendUint32(buffer, part.Series)
	return binary.BigEndian.AppendUint16(buffer, part.Number)
}

// parseSavedPart decodes a part or an acknowledgement. Its value is a copy.
func parseSavedPart(datagram []byte) (savedPart, error) {
	if len(datagram) < savedPartHeader || len(datagram) > savedPartHeader+MaxSavedPart {
		return savedPart{}, Error.New("malformed part of a saved value of %d bytes", len(datagram))
	}
	return savedPart{
		Incarnation: binary.BigEndian.Uint64(datagram[1:]),
		Series:      binary.BigEndian.Uint32(datagram[9:]),
		Number:      binary.BigEndian.Uint16(datagram[13:]),
		Value:       bytes.Clone(datagram[savedPartHeader:]),
	}, nil
}

// peersRequest requests the list of known nodes, unless it has the sender's digest.
type peersRequest struct {
	// Digest is that of the nodes that the sender knows.
	Digest uint64
}

func encodePeersRequest(request peersRequest) []byte {
	return binary.BigEndian.AppendUint64([]byte{byte(KindPeersRequest)}, request.Digest)
}

func parsePeersRequest(datagram []byte) (peersRequest, error) {
	if len(datagram) != 1+8 {
		return peersRequest{}, Error.New("malformed request for peers of %d bytes", len(datagram))
	}
	return peersRequest{Digest: binary.BigEndian.Uint64(datagram[1:])}, nil
}

// check validates a peer received from another node or read from the store.
func (p Peer) check() error {
	if !p.VM.Is4() || p.VM.IsUnspecified() || p.VM.IsMulticast() || (p.Role != model.RoleBalancer && p.Role != model.RoleAgent) {
		return Error.New("malformed peer %s with role %d", p.VM, p.Role)
	}
	return nil
}
