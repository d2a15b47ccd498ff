package steering

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Target is an agent with its target as the balancer's view shows it.
type Target struct {
	Node    model.NodeID
	Service model.Service
	Zone    model.Zone
	Agent   netip.AddrPort
	// Weight is the share of new flows; 0 for a target that takes none.
	Weight uint16
	// Running is false for an agent that is known to run no more.
	Running bool
	// OutOfService is true for a target that operators have taken out of service.
	OutOfService bool
}

// Input is everything that a table depends on.
type Input struct {
	Services []model.Service
	Targets  []Target
	// Refusing are the agents' addresses whose VMs refuse datagrams, whether the
	// view knows them or not.
	Refusing []netip.AddrPort
	// ZonesOut are the zones that operators have taken out of service.
	ZonesOut []model.Zone
	// Revision is the revision of the document that ZonesOut is from.
	Revision model.Revision
	Sealer   *Sealer
}

// Table is an immutable answer to where packets go. It is safe for concurrent
// use.
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

// NewTable makes a table. Agents in a zone that is out get nothing. When two
// running agents claim one address, the later one in the input owns it.
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
		if t.takesFirst(target) {
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

func (t *Table) takesFirst(target Target) bool {
	_, out := t.zonesOut[target.Zone.Tag()]
	_, refusing := t.refusing[target.Agent]
	return target.Running && !refusing && !target.OutOfService && !out && target.Weight > 0
}

// Revision returns the revision of the document of what is out.
func (t *Table) Revision() model.Revision { return t.revision }

// Verdict tells what to do with a packet.
type Verdict uint8

// The verdicts.
const (
	// Established packets go to the agent that issued their connection ID.
	Established Verdict = iota + 1
	// First packets of a new flow go to a chosen agent with an alternate.
	First
	// Gone packets belong to a flow whose agent is gone or out of service; they
	// go to another agent, which answers with a stateless reset.
	Gone
	// NoTarget packets cannot be served: nobody takes new flows.
	NoTarget
	// UnknownID packets carry a connection ID that no agent issued for the
	// service.
	UnknownID
	// Malformed packets are not QUIC packets.
	Malformed
	// UnknownService packets came on an address without a service.
	UnknownService
)

// String returns the name of the verdict used in metrics.
func (v Verdict) String() string {
	names := [...]string{"none", "established", "first", "gone", "no_target", "unknown", "malformed", "unknown_service"}
	if int(v) < len(names) {
		return names[v]
	}
	return "invalid"
}

// Decision is a verdict with the agents that it names.
type Decision struct {
	Verdict   Verdict
	Agent     netip.AddrPort
	Alternate netip.AddrPort
}

// Steer decides on one packet of a service. It allocates nothing.
func (t *Table) Steer(service model.ServiceTag, packet []byte, scratch *Scratch) Decision {
	lookup, known := t.services[service]
	if !known {
		return Decision{Verdict: UnknownService}
	}
	id, form := DestinationID(packet)
	if form == FormInvalid {
		return Decision{Verdict: Malformed}
	}
	if place, ours := t.sealer.Open(id, service, scratch); ours {
		return t.steerEstablished(lookup, place, id)
	}
	if form == FormShort {
		return Decision{Verdict: UnknownID}
	}
	if len(id) < minInitialID {
		return Decision{Verdict: Malformed}
	}
	return t.steerFirst(lookup, id)
}

func (t *Table) steerEstablished(lookup *lookup, place Location, id []byte) Decision {
	if !t.gone(place) {
		return Decision{Verdict: Established, Agent: place.Agent}
	}
	other, _ := lookup.pair(xxhash.Sum64(id))
	if other == nil {
		return Decision{Verdict: NoTarget}
	}
	return Decision{Verdict: Gone, Agent: other.Agent}
}

// gone reports whether the place must get no packet of its flows. An address
// that the view does not know is trusted, since only an agent can have sealed
// it: a balancer that has just started has an empty view.
func (t *Table) gone(place Location) bool {
	if _, out := t.zonesOut[place.Zone]; out {
		return true
	}
	if _, refusing := t.refusing[place.Agent]; refusing {
		return true
	}
	entry, known := t.agents[place.Agent]
	return known && (!entry.running || entry.service != place.Service)
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
