package balancer

import (
	"net/netip"
	"sync"

	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
	"github.com/balsamlink/balsamlink/internal/steering"
)

// tableBuilder builds a new steering table whenever one of its inputs changes.
// The forwarder uses the new table before the call that reported the change
// returns.
type tableBuilder struct {
	forwarder *Forwarder
	refusals  *refusalTracker
	services  []model.Service
	sealer    *steering.Sealer

	mu        sync.Mutex
	view      *membership.View
	documents *plan.Snapshot
	// announcements holds the newest record of each agent address.
	announcements map[netip.AddrPort]announcement
}

// announcement identifies one record published by an agent. It distinguishes
// successive agents, incarnations and versions at one address.
type announcement struct {
	node        model.NodeID
	incarnation uint64
	version     uint64
}

// start builds the first table from the inputs that have been set so far.
func (b *tableBuilder) start(forwarder *Forwarder, refusals *refusalTracker) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forwarder = forwarder
	b.refusals = refusals
	b.rebuild()
}

// setView replaces the view of the nodes.
func (b *tableBuilder) setView(view *membership.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view = view
	b.clearRefusals()
	b.rebuild()
}

// clearRefusals removes the refusals of agents that have published a new record
// since the last view. An agent publishes one only after it has opened its
// socket.
func (b *tableBuilder) clearRefusals() {
	announced := make(map[netip.AddrPort]announcement, len(b.view.Records))
	for _, record := range b.view.Records {
		if record.Role != model.RoleAgent {
			continue
		}
		current := announcement{record.Node, record.Incarnation, record.Version}
		if b.refusals != nil && b.announcements[record.Data] != current {
			b.refusals.remove(record.Data)
		}
		announced[record.Data] = current
	}
	b.announcements = announced
}

// setDocuments replaces the snapshot of the operators' documents.
func (b *tableBuilder) setDocuments(documents *plan.Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.documents = documents
	b.rebuild()
}

// refusalsChanged rebuilds the table for the current set of refusing agents.
func (b *tableBuilder) refusalsChanged() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rebuild()
}

// rebuild builds and installs the table, once start has been called. The calling function
// holds the lock.
func (b *tableBuilder) rebuild() {
	if b.forwarder == nil {
		return
	}
	input := steering.Input{
		Services: b.services,
		Sealer:   b.sealer,
		Refusing: b.refusals.addresses(),
		ZonesOut: b.documents.ZonesOut(),
		Revision: b.documents.Revisions()[model.DocumentOutOfService],
	}
	for _, record := range b.view.Records {
		if record.Role == model.RoleAgent {
			input.Targets = append(input.Targets, b.target(record))
		}
	}
	b.forwarder.SetTable(steering.NewTable(input))
}

// target returns the input of the table for the record of an agent. Only an active agent
// has a weight, which is its target's number of slots.
func (b *tableBuilder) target(record membership.Record) steering.Target {
	target := steering.Target{
		Node:         record.Node,
		Service:      record.Service,
		Zone:         record.Zone,
		Agent:        record.Data,
		Running:      !record.State.Ended(),
		OutOfService: b.documents.TargetOut(record.Node),
	}
	if record.State == membership.StateActive {
		target.Weight = record.Slots
	}
	return target
}
