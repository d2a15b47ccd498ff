package steering

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Target is an agent with its target, according to the balancer's view.
type Target struct {
	Node    model.NodeID
	Service model.Service
	Zone    model.Zone
	Agent   netip.AddrPort
	// Weight is the target's share of new flows; 0 for a target that accepts none.
	Weight uint16
	// Running is false for an agent that is known to have ended.
	Running bool
	// OutOfService is set for a target that operators have taken out of service.
	OutOfService bool
}

// Input is everything that a table depends on.
type Input struct {
	Services []model.Service
	Targets  []Target
	// Refusing are the addresses of agents whose VMs refuse datagrams, whether they
	// are in the view or not.
	Refusing []netip.AddrPort
	// ZonesOut are the zones that operators have taken out of service.
	ZonesOut []model.Zone
	// Revision is the revision of the document that ZonesOut comes from.
	Revision model.Revision
	Sealer   *Sealer
}

// Table determines where packets go. It is immutable and safe for concurrent use.
type Table struct {
	services map[model.ServiceTag]*lookup
	agents   map[netip.AddrPort]agentEntry
	refusing map[netip.AddrPort]struct{}
	zonesOut map[model.ZoneTag]struct{}
	revision model.Revision
	sealer   *Sealer
}

type agentEntry struct {
	service model.ServiceTag
	running bool
}

// NewTable returns a table. Agents in a zone that is out of service get no packets.
// When two running agents have the same address, the later one in the input owns it.
func NewTable(input Input) *Table {
	t := &Table{
		services: map[model.ServiceTag]*lookup{},
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
		t.services[service.Tag()] = newLookup(byService[service])
	}
	return t
}

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

// Verdict is what to do with a packet.
type Verdict uint8

// The verdicts.
const (
	// Established packets go to the agent that issued their connection ID.
	Established Verdict = iota + 1
	// First packets of a new flow go to a chosen agent, together with an alternate.
	First
	// Gone packets belong to a flow whose agent is gone or out of service; they go to
	// another agent, which answers with a stateless reset.
	Gone
	// NoTarget packets cannot be served: no agent accepts new flows.
	NoTarget
	// UnknownID packets carry a connection ID that no agent issued for the service.
	UnknownID
	// Malformed packets are not QUIC packets.
	Malformed
	// UnknownService packets arrived at an address without a service.
	UnknownService
)

// String returns the verdict's name in metrics.
func (v Verdict) String() string {
	names := [...]string{"none", "established", "first", "gone", "no_target", "unknown", "malformed", "unknown_service"}
	if int(v) < len(names) {
		return names[v]
	}
	return "invalid"
}

// Decision is a verdict with its agents.
type Decision struct {
	Verdict Verdict
	// Agent is the agent that gets the packet; invalid if the packet is dropped.
	Agent netip.AddrPort
	// Alternate is the agent that a First packet may be handed over to; invalid if
	// there is none.
	Alternate netip.AddrPort
}

// Steer decides on one packet of a service. It does not allocate.
func (t *Table) Steer(service model.ServiceTag, packet []byte, scratch *Scratch) Decision {
	lookup, known := t.services[service]
	if !known {
		return Decision{Verdict: UnknownService}
	}
	id, form := DestinationID(packet)
	if form == FormInvalid {
		return Decision{Verdict: Malformed}
	}
	if location, ours := t.sealer.Open(id, service, scratch); ours {
		return t.steerEstablished(lookup, location, id)
	}
	if form == FormShort {
		return Decision{Verdict: UnknownID}
	}
	if len(id) < minInitialID {
		return Decision{Verdict: Malformed}
	}
	return t.steerFirst(lookup, id)
}

func (t *Table) steerEstablished(lookup *lookup, location Location, id []byte) Decision {
	if !t.gone(location) {
		return Decision{Verdict: Established, Agent: location.Agent}
	}
	other, _ := lookup.pair(xxhash.Sum64(id))
	if other == nil {
		return Decision{Verdict: NoTarget}
	}
	return Decision{Verdict: Gone, Agent: other.Agent}
}

// gone reports whether the agent at a location must get no packets of its flows. An
// address that is not in the view is trusted, because only an agent can have encrypted
// it: a balancer that has just started has an empty view.
func (t *Table) gone(location Location) bool {
	if _, out := t.zonesOut[location.Zone]; out {
		return true
	}
	if _, refusing := t.refusing[location.Agent]; refusing {
		return true
	}
	entry, known := t.agents[location.Agent]
	return known && (!entry.running || entry.service != location.Service)
}

func (t *Table) steerFirst(lookup *lookup, id []byte) Decision {
	choice, alternate := lookup.pair(xxhash.Sum64(id))
	if choice == nil {
		return Decision{Verdict: NoTarget}
	}
	decision := Decision{Verdict: First, Agent: choice.Agent}
	if alternate != nil {
		decision.Alternate = alternate.Agent
	}
	return decision
}
