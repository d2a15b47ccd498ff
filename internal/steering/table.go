package steering

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Target is an agent with its target, according to the balancer's view of the nodes.
type Target struct {
	Node    model.NodeID
	Service model.Service
	Zone    model.Zone
	// Agent is the agent's data address.
	Agent netip.AddrPort
	// Weight is the target's share of new flows; 0 for a target that accepts none.
	Weight uint16
	// Running is false for an agent that is known to have ended.
	Running bool
	// OutOfService is set for a target that operators have taken out of service. It gets
	// no new flows but keeps its established ones.
	OutOfService bool
}

// Input is everything that a table depends on.
type Input struct {
	Services []model.Service
	Targets  []Target
	// Refusing are the addresses of agents whose VMs refuse datagrams, because no
	// process listens there, whether they are in the view or not.
	Refusing []netip.AddrPort
	// ZonesOut are the zones that operators have taken out of service.
	ZonesOut []model.Zone
	// Revision is the revision of the document that ZonesOut comes from.
	Revision model.Revision
	Sealer   *Sealer
}

// Table determines where packets go. It is immutable and safe for concurrent use.
type Table struct {
	services map[model.ServiceTag]*maglevTable
	agents   map[netip.AddrPort]agentEntry
	refusing map[netip.AddrPort]struct{}
	zonesOut map[model.ZoneTag]struct{}
	revision model.Revision
	sealer   *Sealer
}

// agentEntry is the agent that owns an address.
type agentEntry struct {
	service model.ServiceTag
	running bool
}

// NewTable builds a table. Agents in a zone that is out of service get no packets.
// When two running agents have the same address, the later one in the input owns it.
func NewTable(input Input) *Table {
	t := &Table{
		services: map[model.ServiceTag]*maglevTable{},
		agents:   make(map[netip.AddrPort]agentEntry, len(input.Targets)),
		refusing: map[netip.AddrPort]struct{}{},
		zonesOut: map[model.ZoneTag]struct{}{},
		revision: input.Revision,
		sealer:   input.Sealer,
	}
	for _, address := range input.Refusing {
		t.refusing[address] = struct{}{}
	}
	for _, zone := range input.ZonesOut {
		t.zonesOut[zone.Tag()] = struct{}{}
	}
	byService := map[model.Service][]Target{}
	for _, target := range input.Targets {
		t.addAgent(target)
		if t.acceptsNewFlows(target) {
			byService[target.Service] = append(byService[target.Service], target)
		}
	}
	for _, service := range input.Services {
		t.services[service.Tag()] = newMaglevTable(byService[service])
	}
	return t
}

// addAgent makes the target's agent the owner of its address, unless a running agent owns
// the address and this one has ended.
func (t *Table) addAgent(target Target) {
	if old, taken := t.agents[target.Agent]; taken && old.running && !target.Running {
		return
	}
	t.agents[target.Agent] = agentEntry{service: target.Service.Tag(), running: target.Running}
}

func (t *Table) acceptsNewFlows(target Target) bool {
	_, out := t.zonesOut[target.Zone.Tag()]
	_, refusing := t.refusing[target.Agent]
	return target.Running && !refusing && !target.OutOfService && !out && target.Weight > 0
}

// Revision returns the revision of the document with the zones out of service.
func (t *Table) Revision() model.Revision { return t.revision }

// Verdict classifies a packet of a service and so determines what a balancer does with
// it.
type Verdict uint8

// The verdicts.
const (
	// VerdictEstablished packets go to the agent that issued their connection ID.
	VerdictEstablished Verdict = iota + 1
	// VerdictNewFlow packets belong to a new flow; they go to a chosen agent, together
	// with an alternate.
	VerdictNewFlow
	// VerdictOrphaned packets belong to a flow whose agent has ended or refuses
	// datagrams, whose agent's address now belongs to another service, or whose zone is
	// out of service. They go to another agent, which answers with a stateless reset.
	VerdictOrphaned
	// VerdictNoTarget packets cannot be served: no agent accepts new flows.
	VerdictNoTarget
	// VerdictUnknownID packets carry a connection ID that no agent issued for the service.
	VerdictUnknownID
	// VerdictMalformed packets are too short for a QUIC header, or open a flow with a
	// connection ID that is shorter than QUIC permits.
	VerdictMalformed
	// VerdictUnknownService packets arrived at an address without a service.
	VerdictUnknownService
)

// String returns the verdict's name. If the packet is forwarded, it equals the name of
// the datagram's kind in package wire.
func (v Verdict) String() string {
	names := [...]string{"none", "established", "first", "gone", "no_target", "unknown", "malformed", "unknown_service"}
	if int(v) < len(names) {
		return names[v]
	}
	return "invalid"
}

// Decision is a verdict with the agents that get the packet.
type Decision struct {
	Verdict Verdict
	// Agent is the data address of the agent that gets the packet; invalid if the packet
	// is dropped.
	Agent netip.AddrPort
	// Alternate is the agent that a VerdictNewFlow packet may be handed over to; invalid
	// if there is none.
	Alternate netip.AddrPort
}

// Steer decides on one packet of a service. It does not allocate.
func (t *Table) Steer(service model.ServiceTag, packet []byte, scratch *Scratch) Decision {
	maglev, known := t.services[service]
	if !known {
		return Decision{Verdict: VerdictUnknownService}
	}
	id, form := DestinationID(packet)
	if form == InvalidHeader {
		return Decision{Verdict: VerdictMalformed}
	}
	if location, valid := t.sealer.Open(id, service, scratch); valid {
		return t.steerEstablished(maglev, location, id)
	}
	if form == ShortHeader {
		return Decision{Verdict: VerdictUnknownID}
	}
	if len(id) < minInitialIDLength {
		return Decision{Verdict: VerdictMalformed}
	}
	return t.steerNewFlow(maglev, id)
}

func (t *Table) steerEstablished(maglev *maglevTable, location Location, id []byte) Decision {
	if !t.orphaned(location) {
		return Decision{Verdict: VerdictEstablished, Agent: location.Agent}
	}
	other, _ := maglev.pick(xxhash.Sum64(id))
	if other == nil {
		return Decision{Verdict: VerdictNoTarget}
	}
	return Decision{Verdict: VerdictOrphaned, Agent: other.Agent}
}

// orphaned reports whether the agent at a location must get no packets of its flows. An
// address that is not in the view is trusted, because only an agent can have encrypted
// it: a balancer that has just started has an empty view.
func (t *Table) orphaned(location Location) bool {
	if _, out := t.zonesOut[location.Zone]; out {
		return true
	}
	if _, refusing := t.refusing[location.Agent]; refusing {
		return true
	}
	entry, known := t.agents[location.Agent]
	return known && (!entry.running || entry.service != location.Service)
}

func (t *Table) steerNewFlow(maglev *maglevTable, id []byte) Decision {
	chosen, alternate := maglev.pick(xxhash.Sum64(id))
	if chosen == nil {
		return Decision{Verdict: VerdictNoTarget}
	}
	decision := Decision{Verdict: VerdictNewFlow, Agent: chosen.Agent}
	if alternate != nil {
		decision.Alternate = alternate.Agent
	}
	return decision
}
